package org.lovagethread.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.GatewaySettings;
import org.lovagethread.gateway.SilenceTimeouts;
import org.lovagethread.gateway.config.ClientLimits;
import org.lovagethread.gateway.config.ConfigurationDecoder;
import org.lovagethread.gateway.config.Customer;
import org.lovagethread.gateway.config.GatewayConfiguration;
import org.lovagethread.gateway.config.Route;
import org.lovagethread.gateway.config.RouteKind;
import org.lovagethread.gateway.config.RouteTable;
import org.lovagethread.gateway.config.ServiceSpec;
import org.lovagethread.gateway.duty.DutyApi;
import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.store.FakeStore;
import org.lovagethread.gateway.store.ObjectKind;
import org.lovagethread.gateway.store.StoredObject;
import org.lovagethread.gateway.upstream.UpstreamEntry;

/** Two gateways and a caller of the first, whose requests only the second can pass to an upstream. */
class RelayServiceTest {
    private static final int READ_TIMEOUT_MILLIS = 5_000;
    private static final int MAX_TRIES = 100;
    private static final long RETRY_MILLIS = 50;
    private static final int REQUEST_TOKENS = 10;
    private static final String CUSTOMER = "owner";
    private static final String KEY = "key";
    private static final String SERVICE = "desk";
    private static final String EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    private static final String ANSWER =
            "HTTP/1.1 200 OK\r\nproof: 1\r\nX-Request-Id: id\r\nContent-Length: 6\r\n\r\nanswer";

    private volatile String upstreamAnswer = ANSWER;
    private final int peerPort = freePort();
    private final ScriptedServer upstream =
            new ScriptedServer((connection, request) -> ScriptedServer.Reply.keep(upstreamAnswer));
    private final Gateway first = createGateway("127.0.0.2", "127.0.0.3");
    private final Gateway second = createGateway("127.0.0.3", "127.0.0.2");
    private volatile int upstreamPort = upstream.address().getPort();
    private volatile int upstreamPortOfFirst = upstreamPort;

    RelayServiceTest() throws IOException {}

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    private Gateway createGateway(String host, String peer) throws IOException {
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getByName(host), 0);
        GatewaySettings.Bounds bounds = new GatewaySettings.Bounds(
                2_000, 0.2, 52, 10_000, 0, 0, 3_000, 5_000, 10_000, 5_000, new SilenceTimeouts(4_000));
        GatewaySettings settings = new GatewaySettings(
                host,
                host,
                "a",
                Map.of("a", "r"),
                anyPort,
                anyPort,
                anyPort,
                peerPort,
                anyPort,
                100,
                List.of(peer),
                bounds);
        FakeStore store = new FakeStore();
        store.create(ObjectKind.CONFIGURATION, "1", JsonNodeFactory.instance.numberNode(1), reply -> {});
        store.create(ObjectKind.UPSTREAMS, "i-1", JsonNodeFactory.instance.numberNode(1), reply -> {});
        FakeExchangeContext codec = new FakeExchangeContext(0);
        codec.apiKey = Optional.of(KEY);
        DutyApi duties = (DutyApi) Proxy.newProxyInstance(
                DutyApi.class.getClassLoader(), new Class<?>[] {DutyApi.class}, (proxy, method, args) -> null);
        EventLog log = new EventLog(host, new ByteArrayOutputStream());
        log.start();
        return new Gateway(settings, http -> new PlatformPorts(store, duties, new Decoder(host), codec, null), log);
    }

    /** Decodes every configuration and every upstream as the only one. */
    private final class Decoder implements ConfigurationDecoder {
        private final String host;

        private Decoder(String host) {
            this.host = host;
        }

        @Override
        public Either<String, GatewayConfiguration> decodeConfiguration(JsonNode content) {
            Route answers = route("answers", "/answers", RouteKind.AT_MOST_ONCE);
            Route streams = route("streams", "/streams", RouteKind.EVENT_STREAM);
            Customer customer = new Customer(CUSTOMER, 0, 1_000, 1_000, REQUEST_TOKENS);
            return Either.right(new GatewayConfiguration(
                    1,
                    new RouteTable(List.of(answers, streams)),
                    Map.of(SERVICE, new ServiceSpec(SERVICE, 96, Optional.empty(), Optional.empty())),
                    Map.of(KEY, customer),
                    List.of(customer),
                    ClientLimits.DEFAULT));
        }

        private Route route(String name, String path, RouteKind kind) {
            return Route.builder(name)
                    .match("h", path)
                    .kind(kind, false, 2)
                    .times(2_500, 150, 250)
                    .services(List.of(new Route.WeightedService(SERVICE, 1)))
                    .build();
        }

        @Override
        public Either<String, UpstreamEntry> decodeUpstream(StoredObject object) {
            int port = host.equals(first.settings().host()) ? upstreamPortOfFirst : upstreamPort;
            return Either.right(new UpstreamEntry("i-1", SERVICE, "127.0.0.1", port, "a", 6, false, false, 1));
        }
    }

    private void start() throws InterruptedException {
        first.start();
        second.start();
    }

    @AfterEach
    void stop() throws Exception {
        first.stop();
        second.stop();
        first.awaitStop();
        second.awaitStop();
        upstream.close();
    }

    private static Socket call(Gateway gateway, String path) throws IOException {
        InetSocketAddress address = gateway.boundCallerAddress();
        Socket caller = new Socket(address.getAddress(), address.getPort());
        caller.setSoTimeout(READ_TIMEOUT_MILLIS);
        String request = "GET " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        caller.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
        return caller;
    }

    private static String answer(Gateway gateway, String path) throws IOException {
        try (Socket caller = call(gateway, path)) {
            return new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** Repeats a request that is refused while the gateways do not know each other yet. */
    private static String answerOnceReady(Gateway gateway, String path) throws IOException, InterruptedException {
        String answer = answer(gateway, path);
        for (int i = 0; i < MAX_TRIES && answer.startsWith("HTTP/1.1 503"); i++) {
            Thread.sleep(RETRY_MILLIS);
            answer = answer(gateway, path);
        }
        return answer;
    }

    private static long usage(Gateway gateway) {
        return gateway.usage().latestLocal(Integer.MAX_VALUE).values().stream()
                .mapToLong(counts -> counts.getOrDefault(CUSTOMER, 0L))
                .sum();
    }

    private static long tokens(Gateway gateway) {
        return gateway.quota().totals().getOrDefault(CUSTOMER, 0L);
    }

    private void assertServedBySecond(String answer) {
        assertThat(answer).startsWith("HTTP/1.1 200 OK").contains("proof: 1").endsWith("answer");
        assertThat(upstream.connections()).isEqualTo(1);
        assertThat(tokens(first)).isZero();
        assertThat(tokens(second)).isEqualTo(REQUEST_TOKENS);
        assertThat(usage(first)).isZero();
        assertThat(usage(second)).isEqualTo(1);
    }

    @Nested
    class RequestsAtAnIsolatedGateway {
        @BeforeEach
        void isolate() throws Exception {
            first.relays().followIsolation(() -> true);
            start();
        }

        @Test
        void areRunByAPeer() throws Exception {
            assertServedBySecond(answerOnceReady(first, "/answers"));
        }

        @Test
        void mayBeStreams() throws Exception {
            upstreamAnswer = "HTTP/1.1 200 OK\r\nproof: 1\r\nX-Request-Id: id\r\nContent-Type: text/event-stream\r\n"
                    + "Content-Length: " + EVENTS.length() + "\r\n\r\n" + EVENTS;
            String answer = answerOnceReady(first, "/streams");
            assertThat(answer)
                    .startsWith("HTTP/1.1 200 OK")
                    .contains("id: 1\ndata: a\n\n")
                    .contains("id: 2\ndata: b\n\n")
                    .endsWith("0\r\n\r\n");
        }

        @Test
        void areCancelledAtTheUpstreamWithTheirCaller() throws Exception {
            answerOnceReady(first, "/answers");
            upstreamAnswer = "";
            int connections = upstream.connections();
            try (Socket caller = call(first, "/answers")) {
                for (int i = 0; i < MAX_TRIES && upstream.connections() == connections; i++) {
                    Thread.sleep(RETRY_MILLIS);
                }
                caller.setSoLinger(true, 0);
            }
            assertThat(upstream.awaitClientEnding(READ_TIMEOUT_MILLIS)).isEqualTo(ScriptedServer.ClientEnding.RESET);
        }

        @Test
        void areRefusedAtOnceIfThePeerIsIsolatedToo() throws Exception {
            second.relays().followIsolation(() -> true);
            Thread.sleep(1_000);
            long startNanos = System.nanoTime();
            String answer = answer(first, "/answers");
            assertThat(answer)
                    .startsWith("HTTP/1.1 503")
                    .contains("retry-after")
                    .contains("no-upstream");
            assertThat(System.nanoTime() - startNanos).isLessThan(1_000_000_000L);
            assertThat(upstream.connections()).isZero();
            assertThat(tokens(first) + tokens(second)).isZero();
        }
    }

    @Nested
    class RequestsWithoutAConnection {
        @Test
        void areRunByAPeer() throws Exception {
            upstreamPortOfFirst = freePort();
            start();
            assertServedBySecond(answerOnceReady(first, "/answers"));
        }
    }
}
