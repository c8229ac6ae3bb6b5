package org.lovagethread.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.GatewaySettings;
import org.lovagethread.gateway.SilenceTimeouts;
import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.store.FakeStore;
import org.lovagethread.gateway.upstream.UpstreamEntry;
import org.lovagethread.wire.generated.GatewayState;
import org.lovagethread.wire.generated.LinkState;

/** Tests a gateway with sockets whose upstreams refuse connections while a peer states that it reaches some. */
class LinkServiceTest {
    private static final int TIMEOUT_MILLIS = 10_000;
    private static final int UPSTREAMS = 3;
    private static final long REFRESH_INTERVAL_MILLIS = 50;
    private static final long FIRST_REVISION = 1_000;
    private static final String REQUEST = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

    private final ByteArrayOutputStream logged = new ByteArrayOutputStream();
    private final EventLog log = new EventLog("g", logged);
    private final Gateway gateway = new Gateway(
            settings(), http -> new PlatformPorts(new FakeStore(), null, null, new FakeExchangeContext(0), null), log);
    private final List<Integer> upstreamPorts = new ArrayList<>();
    private final List<ServerSocket> upstreams = new ArrayList<>();
    private long refreshes;

    private static GatewaySettings settings() {
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        GatewaySettings.Bounds bounds = new GatewaySettings.Bounds(
                2_000, 0.2, 52, 10_000, 0, 0, 3_000, 5_000, 10_000, 5_000, new SilenceTimeouts(4_000));
        return new GatewaySettings(
                "g", "127.0.0.1", "a", Map.of("a", "r"), anyPort, anyPort, anyPort, 0, anyPort, 100, List.of(), bounds);
    }

    @BeforeEach
    void start() throws Exception {
        for (int i = 0; i < UPSTREAMS; i++) {
            try (ServerSocket reserved = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                upstreamPorts.add(reserved.getLocalPort());
            }
        }
        log.start();
        gateway.start();
        gateway.schedule(0, this::refresh);
    }

    @AfterEach
    void stop() throws Exception {
        for (ServerSocket upstream : upstreams) {
            upstream.close();
        }
        gateway.stop();
        gateway.awaitStop();
    }

    /** Repeats what peers and the store would tell, since the store of the test holds nothing. */
    private void refresh() {
        refreshes++;
        listUpstreams();
        stateThatAPeerReachesUpstreams();
        gateway.schedule(REFRESH_INTERVAL_MILLIS, this::refresh);
    }

    private void listUpstreams() {
        for (int i = 0; i < UPSTREAMS; i++) {
            gateway.upstreams()
                    .put(
                            new UpstreamEntry(
                                    "i-" + i, "desk", "127.0.0.1", upstreamPorts.get(i), "a", 6, false, false, 1),
                            FIRST_REVISION + refreshes,
                            gateway.nowMillis());
        }
    }

    private void stateThatAPeerReachesUpstreams() {
        GatewayState state = GatewayState.newBuilder()
                .setNode("peer")
                .setHost("127.0.0.9")
                .setSequence(refreshes)
                .setLinks(LinkState.newBuilder().setReachedAgeMillis(0))
                .build();
        gateway.links().applyPeer(state, gateway.nowMillis());
    }

    private void openUpstreams() throws IOException {
        for (int port : upstreamPorts) {
            upstreams.add(new ServerSocket(port, 16, InetAddress.getLoopbackAddress()));
        }
    }

    private boolean isIsolated() {
        return onLoop(() -> gateway.links().isIsolated());
    }

    private <T> T onLoop(Supplier<T> query) {
        CompletableFuture<T> result = new CompletableFuture<>();
        gateway.schedule(0, () -> result.complete(query.get()));
        return result.orTimeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).join();
    }

    private void awaitIsolated(boolean expected) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (isIsolated() != expected && System.nanoTime() < deadlineNanos) {
            Thread.sleep(20);
        }
        assertThat(isIsolated()).isEqualTo(expected);
    }

    private static String exchange(Socket caller) throws IOException {
        caller.setSoTimeout(TIMEOUT_MILLIS);
        caller.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
        byte[] bytes = new byte[4_096];
        return new String(bytes, 0, caller.getInputStream().read(bytes), StandardCharsets.US_ASCII);
    }

    private Socket connect() throws IOException {
        InetSocketAddress address = gateway.boundCallerAddress();
        return new Socket(address.getAddress(), address.getPort());
    }

    @Test
    void isolatesTheGatewayUntilUpstreamsAnswer() throws Exception {
        awaitIsolated(true);
        openUpstreams();
        awaitIsolated(false);
        GatewayState.Builder state = GatewayState.newBuilder();
        onLoop(() -> {
            gateway.links().addTo(state, gateway.nowMillis());
            return true;
        });
        assertThat(state.getLinks().hasReachedAgeMillis()).isTrue();
    }

    @Test
    void leadsCallersAwayBetweenTwoRequests() throws Exception {
        openUpstreams();
        try (Socket caller = connect();
                Socket idleCaller = connect()) {
            assertThat(exchange(caller)).doesNotContainIgnoringCase("connection: close");
            for (ServerSocket upstream : upstreams) {
                upstream.close();
            }
            awaitIsolated(true);
            assertThat(exchange(caller)).containsIgnoringCase("connection: close");
            assertThat(caller.getInputStream().read()).isEqualTo(-1);
            assertThat(exchange(idleCaller)).containsIgnoringCase("connection: close");
        }
    }

    @Test
    void leavesNoPipelinedRequestUnread() throws Exception {
        awaitIsolated(true);
        try (Socket caller = connect()) {
            caller.setSoTimeout(TIMEOUT_MILLIS);
            caller.getOutputStream().write((REQUEST + REQUEST).getBytes(StandardCharsets.US_ASCII));
            String responses = new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertThat(responses.split("HTTP/1.1 ", -1)).hasSize(3);
            assertThat(responses).containsOnlyOnce("connection: close");
        }
    }
}
