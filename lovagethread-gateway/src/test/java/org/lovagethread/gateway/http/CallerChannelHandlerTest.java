package org.lovagethread.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.ByteArrayOutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.core.error.ErrorKind;
import org.lovagethread.gateway.GatewaySettings;
import org.lovagethread.gateway.SilenceTimeouts;
import org.lovagethread.gateway.config.ClientLimits;
import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.store.FakeStore;

class CallerChannelHandlerTest {
    private static final HttpHeaders NO_HEADERS = new DefaultHttpHeaders();

    private final Gateway gateway = new Gateway(
            settings(),
            client -> new PlatformPorts(new FakeStore(), null, null, new FakeExchangeContext(0), null),
            new EventLog("node", new ByteArrayOutputStream()));
    private final CallerChannelHandler handler = new CallerChannelHandler(gateway.callerServer(), ClientLimits.DEFAULT);
    private final EmbeddedChannel channel =
            new EmbeddedChannel(new StrictRequestDecoder(65_536), new HttpResponseEncoder(), handler);

    private static ByteBuf text() {
        return Unpooled.copiedBuffer("error", StandardCharsets.US_ASCII);
    }

    private static GatewaySettings settings() {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        return new GatewaySettings(
                "node",
                "127.0.0.1",
                "a",
                Map.of("a", "north"),
                address,
                address,
                address,
                0,
                address,
                1,
                List.of(),
                new GatewaySettings.Bounds(
                        10_000, 0.2, 52, 10_000, 0.1, 100, 5_000, 5_000, 2_000, 2_000, new SilenceTimeouts(4_000)));
    }

    @BeforeEach
    void startStream() {
        channel.writeInbound(Unpooled.copiedBuffer(
                "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n", StandardCharsets.US_ASCII));
        handler.startStream(HttpResponseStatus.OK, NO_HEADERS);
        handler.addStreamData(Unpooled.copiedBuffer("id: 1\n\n", StandardCharsets.US_ASCII));
        handler.flushStream();
    }

    private String written() {
        return writtenTo(channel);
    }

    private static String writtenTo(EmbeddedChannel connection) {
        StringBuilder text = new StringBuilder();
        ByteBuf bytes = connection.readOutbound();
        while (bytes != null) {
            text.append(bytes.toString(StandardCharsets.US_ASCII));
            bytes.release();
            bytes = connection.readOutbound();
        }
        return text.toString();
    }

    private void assertAbortedWithOneHead() {
        assertThat(channel.isActive()).isFalse();
        assertThat(written())
                .containsOnlyOnce("HTTP/1.1")
                .doesNotContain("error")
                .doesNotEndWith("0\r\n\r\n");
    }

    @Test
    void doesNotWriteResponseIntoStream() {
        assertThatThrownBy(() -> handler.sendResponse(HttpResponseStatus.NOT_FOUND, NO_HEADERS, text()))
                .isInstanceOf(IllegalStateException.class);
        assertAbortedWithOneHead();
    }

    @Test
    void doesNotWriteErrorIntoStream() {
        assertThatThrownBy(() -> handler.sendError(ErrorKind.UPSTREAM_FAILED, 0))
                .isInstanceOf(IllegalStateException.class);
        assertAbortedWithOneHead();
    }

    @Test
    void doesNotStartStreamTwice() {
        assertThatThrownBy(() -> handler.startStream(HttpResponseStatus.OK, NO_HEADERS))
                .isInstanceOf(IllegalStateException.class);
        assertAbortedWithOneHead();
    }

    @Test
    void doesNotContinueStreamAfterItsEnd() {
        handler.endStream();
        String before = written();
        assertThatThrownBy(() -> handler.addStreamData(text())).isInstanceOf(IllegalStateException.class);
        assertThat(before).endsWith("0\r\n\r\n");
        assertThat(written()).isEmpty();
    }

    // Each event was written on its own, so that one upstream with many small ones kept the event loop busy for
    // seconds.
    @Test
    void writesPartsThatAreAddedTogetherAsOneChunk() {
        written();
        handler.addStreamData(text());
        handler.addStreamData(text());
        assertThat(written()).isEmpty();
        handler.flushStream();
        assertThat(written()).isEqualTo("a\r\nerrorerror\r\n");
        handler.flushStream();
        assertThat(written()).isEmpty();
    }

    @Test
    void writesPartsThatWereAddedBeforeTheEnd() {
        written();
        handler.addStreamData(text());
        handler.endStream();
        assertThat(written()).isEqualTo("5\r\nerror\r\n0\r\n\r\n");
    }

    @Test
    void writesPartsThatWereAddedBeforeItIsAborted() {
        written();
        handler.addStreamData(text());
        handler.abort();
        assertThat(written()).isEqualTo("5\r\nerror\r\n");
        assertThat(channel.isActive()).isFalse();
    }

    /** Remembers the buffers that it has allocated. */
    private static final class RecordingAllocator extends PooledByteBufAllocator {
        private final List<ByteBuf> allocated = new ArrayList<>();

        RecordingAllocator() {
            super(false);
        }

        @Override
        protected ByteBuf newHeapBuffer(int initialCapacity, int maxCapacity) {
            ByteBuf buffer = super.newHeapBuffer(initialCapacity, maxCapacity);
            allocated.add(buffer);
            return buffer;
        }
    }

    // Each stream without bytes behind its last event left a buffer that was neither sent nor released.
    @Test
    void releasesAllBuffersOfAStreamThatEndsWithAnEmptyPart() {
        RecordingAllocator allocator = new RecordingAllocator();
        channel.config().setAllocator(allocator);
        handler.addStreamData(text());
        handler.flushStream();
        handler.addStreamData(Unpooled.EMPTY_BUFFER);
        handler.endStream();
        channel.releaseOutbound();
        assertThat(allocator.allocated).isNotEmpty().allMatch(buffer -> buffer.refCnt() == 0);
    }

    // The body of an error followed a response that has none, where the caller expects the next response.
    @Test
    void writesNoBodyOfAnErrorToAHeadRequest() {
        EmbeddedChannel connection = connectionWithRequest("HEAD /x HTTP/1.1");
        callerOf(connection).sendError(ErrorKind.NO_UPSTREAM, 0);
        assertThat(writtenTo(connection)).endsWith("\r\n\r\n").containsIgnoringCase("content-length");
    }

    private EmbeddedChannel connectionWithRequest(String requestLine) {
        EmbeddedChannel connection = new EmbeddedChannel(
                new StrictRequestDecoder(65_536),
                new HttpResponseEncoder(),
                new CallerChannelHandler(gateway.callerServer(), ClientLimits.DEFAULT));
        connection.freezeTime();
        connection.writeInbound(Unpooled.copiedBuffer(
                requestLine + "\r\nHost: h\r\nContent-Length: 5\r\n\r\n", StandardCharsets.US_ASCII));
        return connection;
    }

    private static CallerChannelHandler callerOf(EmbeddedChannel connection) {
        return connection.pipeline().get(CallerChannelHandler.class);
    }

    @Nested
    class PipelinedRequests {
        private final CallerChannelHandler failing = new CallerChannelHandler(gateway.callerServer(), null);
        private final EmbeddedChannel connection =
                new EmbeddedChannel(new StrictRequestDecoder(65_536), new HttpResponseEncoder(), failing);

        @Test
        void doNotFailTheResponseBeforeThem() {
            while (!gateway.isLagging()) {
                Thread.onSpinWait();
            }
            connection.freezeTime();
            connection.writeInbound(Unpooled.copiedBuffer(
                    "GET /x HTTP/1.1\r\nHost: h\r\n\r\nPOST /y HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab",
                    StandardCharsets.US_ASCII));
            failing.sendResponse(HttpResponseStatus.OK, NO_HEADERS, text());
            assertThat(connection.isActive()).isFalse();
        }
    }

    @Nested
    class CloseDelimitedStreams {
        private static final int MORE_THAN_SOCKETS_HOLD = 64 << 20;

        private final NioEventLoopGroup group = new NioEventLoopGroup(1);
        private final CompletableFuture<CallerChannelHandler> accepted = new CompletableFuture<>();

        @AfterEach
        void stop() {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        }

        private Channel listen() throws InterruptedException {
            return new ServerBootstrap()
                    .group(group)
                    .channel(NioServerSocketChannel.class)
                    .childHandler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel connection) {
                            CallerChannelHandler caller =
                                    new CallerChannelHandler(gateway.callerServer(), ClientLimits.DEFAULT);
                            connection
                                    .pipeline()
                                    .addLast(new StrictRequestDecoder(65_536), new HttpResponseEncoder(), caller)
                                    .addLast(new ChannelInboundHandlerAdapter() {
                                        @Override
                                        public void channelReadComplete(ChannelHandlerContext ctx) {
                                            accepted.complete(caller);
                                        }
                                    });
                        }
                    })
                    .bind(InetAddress.getLoopbackAddress(), 0)
                    .sync()
                    .channel();
        }

        private byte[] readStream(Consumer<CallerChannelHandler> ending) throws Exception {
            InetSocketAddress address = (InetSocketAddress) listen().localAddress();
            try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
                socket.setSoTimeout(5_000);
                socket.getOutputStream()
                        .write("POST /x HTTP/1.0\r\nHost: h\r\nContent-Length: 5\r\n\r\n"
                                .getBytes(StandardCharsets.US_ASCII));
                CallerChannelHandler caller = accepted.get(5_000, TimeUnit.MILLISECONDS);
                group.next().execute(() -> {
                    caller.startStream(HttpResponseStatus.OK, NO_HEADERS);
                    caller.addStreamData(text());
                    ending.accept(caller);
                });
                return socket.getInputStream().readAllBytes();
            }
        }

        @Test
        void areResetIfTheyAreAborted() {
            assertThatThrownBy(() -> readStream(CallerChannelHandler::abort)).isInstanceOf(SocketException.class);
        }

        // The caller took a stream without its last events for a complete one.
        @Test
        void areResetIfTheyAreClosedBeforeAllIsSent() {
            assertThatThrownBy(() -> readStream(caller -> {
                        caller.addStreamData(Unpooled.wrappedBuffer(new byte[MORE_THAN_SOCKETS_HOLD]));
                        caller.endStream();
                        caller.abort();
                    }))
                    .isInstanceOf(SocketException.class);
        }

        @Test
        void areClosedIfTheyAreComplete() throws Exception {
            assertThat(new String(readStream(CallerChannelHandler::endStream), StandardCharsets.US_ASCII))
                    .endsWith("\r\n\r\nerror");
        }
    }
}
