package org.lovagethread.gateway.relay;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.log.GatewayMetrics;
import org.lovagethread.gateway.policy.ZoneTopology.Distance;
import org.lovagethread.wire.generated.RelayAcceptance;
import org.lovagethread.wire.generated.RelayFrame;
import org.lovagethread.wire.generated.RelayResponseHead;
import org.lovagethread.wire.generated.RelayStreamStart;

/** Both ends of relay connections in one event loop, connected over the loopback interface. */
abstract class RelayFixture {
    static final long AWAIT_MILLIS = 5_000;
    static final long TICK_MILLIS = 5;

    /** Time between two ticks above which this process was held up, so that silence says nothing of the other end. */
    static final long MAX_OBSERVED_TICK_MILLIS = 50;

    static final long NANOS_PER_MILLI = 1_000_000;
    static final long TIMEOUT_MILLIS = 60_000;
    static final RelayTimeouts TIMEOUTS = new RelayTimeouts(3_000, 200, 1_500);
    static final String SEAL = "X-Seal";

    final NioEventLoopGroup group = new NioEventLoopGroup(1);
    final EventLoop loop = group.next();
    final ByteArrayOutputStream logText = new ByteArrayOutputStream();
    final EventLog log = new EventLog("g", logText);
    final GatewayMetrics metrics = new GatewayMetrics();
    final FakeTarget target = new FakeTarget();
    final RelayClock clock = new RelayClock() {
        @Override
        public long nowMillis() {
            return System.nanoTime() / NANOS_PER_MILLI;
        }

        @Override
        public long observedMillis() {
            return observedMillis;
        }
    };
    private long observedMillis;
    private long lastTickMillis = clock.nowMillis();
    final RelayReporter reporter = new RelayReporter(log, metrics);
    final RelayServer server = new RelayServer(target, TIMEOUTS, clock, reporter);
    final List<RelayPeer> peers = new CopyOnWriteArrayList<>();
    final List<FakeCaller> callers = new CopyOnWriteArrayList<>();
    final RelayClient client = new RelayClient(
            this::createBootstrap, TIMEOUTS, clock, () -> peers, new RelayPeerSelector(() -> 0), reporter);
    Channel listener;

    @BeforeEach
    void start() throws Exception {
        log.start();
        listener = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new RelayDetector(server, channel::close));
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync()
                .channel();
        loop.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    @AfterEach
    void stop() {
        log.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    void tick() {
        long now = clock.nowMillis();
        observedMillis += Math.min(now - lastTickMillis, MAX_OBSERVED_TICK_MILLIS);
        lastTickMillis = now;
        server.tick(now);
        callers.stream().filter(caller -> !caller.ended).forEach(caller -> caller.activeRequest.tick(now));
    }

    Bootstrap createBootstrap(int connectTimeoutMillis) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.SO_LINGER, 0)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis);
    }

    void addPeer(InetSocketAddress address) {
        peers.add(new RelayPeer(address, Distance.SAME_ZONE, true, 0));
    }

    void addServer() {
        addPeer((InetSocketAddress) listener.localAddress());
    }

    /** Adds a peer that is preferred to the server. */
    ScriptedPeer addScriptedPeer(ScriptedPeer.Script script) throws Exception {
        ScriptedPeer peer = new ScriptedPeer(script);
        addPeer(peer.address());
        return peer;
    }

    /** Adds the server as a peer that is selected only if there is no other. */
    void addDistantServer() {
        peers.add(new RelayPeer((InetSocketAddress) listener.localAddress(), Distance.OTHER_REGION, true, 0));
    }

    static HttpRequest header() {
        HttpRequest header = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/x?a=b");
        header.headers().add("Host", "h").add("X-Twice", "1").add("X-Twice", "2");
        return header;
    }

    static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
    }

    static HttpHeaders sealed() {
        return new DefaultHttpHeaders().add(SEAL, "s\u00e9al").add("Content-Type", "text/plain");
    }

    FakeCaller relay() throws Exception {
        return relay(bytes("question"), TIMEOUT_MILLIS);
    }

    FakeCaller relay(ByteBuf body, long timeoutMillis) throws Exception {
        return callOnLoop(() -> {
            FakeCaller caller = startRelay(body, timeoutMillis);
            callers.add(caller);
            return caller;
        });
    }

    /** Starts to pass on a request, to whose timeouts nothing is applied. */
    FakeCaller startRelay(ByteBuf body, long timeoutMillis) {
        FakeCaller caller = new FakeCaller();
        client.relay(caller, new RelayedRequest("id", header(), body, clock.nowMillis() + timeoutMillis));
        return caller;
    }

    void runOnLoop(Runnable action) throws Exception {
        callOnLoop(() -> {
            action.run();
            return Optional.empty();
        });
    }

    <T> T callOnLoop(Callable<T> action) throws Exception {
        return loop.submit(action).get(AWAIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    static void await(BooleanSupplier condition) throws InterruptedException {
        for (long i = 0; i < AWAIT_MILLIS && !condition.getAsBoolean(); i++) {
            Thread.sleep(1);
        }
        assertThat(condition.getAsBoolean()).as("condition").isTrue();
    }

    FakeTarget.Run awaitRun() throws InterruptedException {
        await(() -> !target.runs.isEmpty());
        return target.runs.get(0);
    }

    static RelayFrame acceptance() {
        return RelayFrame.newBuilder()
                .setAcceptance(RelayAcceptance.getDefaultInstance())
                .build();
    }

    static RelayFrame streamStart() {
        return RelayFrame.newBuilder()
                .setStreamStart(RelayStreamStart.newBuilder()
                        .setHead(RelayResponseHead.newBuilder().setStatus(200)))
                .build();
    }

    static RelayFrame streamData(String data) {
        return RelayFrame.newBuilder()
                .setStreamData(ByteString.copyFromUtf8(data))
                .build();
    }
}
