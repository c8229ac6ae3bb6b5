package org.lovagethread.standins;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.function.Consumer;

/** Serves HTTP on one thread, so that a stand-in needs no locks. */
public final class StandInServer implements AutoCloseable {
    private static final int MOST_BODY_BYTES = 4 * 1024 * 1024;

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final Channel server;

    /**
     * Starts to serve on loopback.
     *
     * @param port the port; zero for a free one
     * @param handler answers requests, on the server's thread
     * @throws InterruptedException if the thread is interrupted
     */
    public StandInServer(int port, Consumer<Exchange> handler) throws InterruptedException {
        server = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new HttpServerCodec())
                                .addLast(new HttpObjectAggregator(MOST_BODY_BYTES))
                                .addLast(new Handler(handler));
                    }
                })
                .bind("127.0.0.1", port)
                .sync()
                .channel();
    }

    @Override
    public void close() {
        group.shutdownGracefully();
    }

    /** Waits until the server is closed. */
    void await() throws InterruptedException {
        server.closeFuture().sync();
    }

    EventLoopGroup group() {
        return group;
    }

    /**
     * Returns the port.
     *
     * @return the port that is listened on
     */
    public int port() {
        return ((InetSocketAddress) server.localAddress()).getPort();
    }

    private static final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Consumer<Exchange> handler;

        private Handler(Consumer<Exchange> handler) {
            this.handler = handler;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            Exchange exchange = new Exchange(ctx.channel(), request);
            try {
                handler.accept(exchange);
            } catch (IllegalArgumentException e) {
                exchange.reply(400, Map.of("error", String.valueOf(e.getMessage())));
            }
        }
    }
}
