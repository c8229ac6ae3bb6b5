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

/** HTTP server of a stand-in. It handles all requests on a single thread, so a stand-in needs no locks. */
public final class StandInServer implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

    private final EventLoopGroup eventLoopGroup = new NioEventLoopGroup(1);
    private final Channel serverChannel;

    /**
     * Starts a server on the loopback address.
     *
     * @param port the port to listen on; zero selects a free port
     * @param handler handles the requests; called on the event loop thread of the server
     * @throws InterruptedException if the thread is interrupted while the port is bound
     */
    public StandInServer(int port, Consumer<Exchange> handler) throws InterruptedException {
        serverChannel = new ServerBootstrap()
                .group(eventLoopGroup)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new HttpServerCodec())
                                .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                                .addLast(new RequestHandler(handler));
                    }
                })
                .bind("127.0.0.1", port)
                .sync()
                .channel();
    }

    @Override
    public void close() {
        eventLoopGroup.shutdownGracefully();
    }

    /** Blocks until the server is closed. */
    void awaitClose() throws InterruptedException {
        serverChannel.closeFuture().sync();
    }

    EventLoopGroup eventLoopGroup() {
        return eventLoopGroup;
    }

    /**
     * Returns the port that the server listens on.
     *
     * @return the local port
     */
    public int port() {
        return ((InetSocketAddress) serverChannel.localAddress()).getPort();
    }

    private static final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Consumer<Exchange> handler;

        private RequestHandler(Consumer<Exchange> handler) {
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
