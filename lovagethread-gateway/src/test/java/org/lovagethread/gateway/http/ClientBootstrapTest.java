package org.lovagethread.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ClientBootstrapTest {
    private static final int TIMEOUT_MILLIS = 5_000;
    private static final long TOTAL_BYTES = 64L * 1024 * 1024;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    /** Records the largest number of bytes that are received between two tasks of the event loop. */
    private final class TurnRecorder extends SimpleChannelInboundHandler<ByteBuf> {
        private final CompletableFuture<Long> maxBytesPerTurn = new CompletableFuture<>();
        private long bytesInTurn;
        private long max;
        private long total;

        private void startTurn() {
            bytesInTurn = 0;
            if (!maxBytesPerTurn.isDone()) {
                loop.execute(this::startTurn);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
            bytesInTurn += bytes.readableBytes();
            total += bytes.readableBytes();
            max = Math.max(max, bytesInTurn);
            if (total >= TOTAL_BYTES) {
                maxBytesPerTurn.complete(max);
                ctx.close();
            }
        }
    }

    // A server that sends without end kept the event loop from all other connections for sixteen buffers at a time.
    @Test
    void readsOneBufferBeforeOtherTasksRun() throws Exception {
        TurnRecorder recorder = new TurnRecorder();
        try (EndlessServer server = new EndlessServer("", "x")) {
            Channel channel = ClientBootstrap.create(loop, TIMEOUT_MILLIS)
                    .handler(recorder)
                    .connect(server.address())
                    .sync()
                    .channel();
            loop.execute(recorder::startTurn);
            channel.writeAndFlush(Unpooled.copiedBuffer("x", StandardCharsets.US_ASCII));
            assertThat(recorder.maxBytesPerTurn.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS))
                    .isLessThanOrEqualTo(ClientBootstrap.MAX_BYTES_PER_TURN);
        }
    }

    // With keep-alive probes, a TCP_USER_TIMEOUT would decide when the system gives up a silent connection.
    @Test
    void leavesSilentConnectionsToTheTimeoutsOfTheGateway() throws Exception {
        try (EndlessServer server = new EndlessServer("", "x")) {
            Channel channel = ClientBootstrap.create(loop, TIMEOUT_MILLIS)
                    .handler(new TurnRecorder())
                    .connect(server.address())
                    .sync()
                    .channel();
            assertThat(channel.config().getOption(ChannelOption.SO_KEEPALIVE)).isFalse();
            assertThat(channel.config().getOptions().keySet())
                    .extracting(ChannelOption::name)
                    .noneMatch(name -> name.contains("TCP_USER_TIMEOUT"));
            channel.close();
        }
    }
}
