package org.lovagethread.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.lovagethread.wire.generated.Frame;

/**
 * Transport for messages between nodes over TCP.
 *
 * <p>Delivery is best-effort: a message that cannot be sent immediately is dropped, which {@link #send} reports to its
 * caller. Outbound connections are opened on first use and reopened after a failure, at most once per
 * {@link #RECONNECT_INTERVAL_MILLIS}.
 */
public final class PeerTransport implements AutoCloseable {
    /** User event fired when the other node of a connection has proved possession of the peer key. */
    static final Object AUTHENTICATED = new Object();

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long RECONNECT_INTERVAL_MILLIS = 500;
    private static final int LENGTH_FIELD_BYTES = 4;
    private static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;
    private static final WriteBufferWaterMark WRITE_BUFFER_WATER_MARK =
            new WriteBufferWaterMark(4 * 1024 * 1024, 8 * 1024 * 1024);

    private final EventLoopGroup group = new NioEventLoopGroup(1, new DefaultThreadFactory("peers", true));
    private final PeerKey key;
    private final PeerListener listener;
    private final Map<String, Connection> outbound = new ConcurrentHashMap<>();
    private final String localNode;
    private Channel server;

    /**
     * Creates a transport that does not accept connections until {@link #listen} is called.
     *
     * @param localNode the name of this node
     * @param key the key shared by all nodes
     * @param listener receives the messages of authenticated peers
     */
    public PeerTransport(String localNode, PeerKey key, PeerListener listener) {
        this.localNode = localNode;
        this.key = key;
        this.listener = listener;
    }

    private static final class Connection {
        private Channel channel;
        private volatile boolean authenticated;
        private long retryAtNanos = System.nanoTime();
    }

    @Override
    public void close() {
        group.shutdownGracefully();
    }

    /**
     * Starts listening for connections of peers.
     *
     * @param host the address to listen on
     * @param port the port to listen on; zero for any free port
     * @return the port that the transport listens on
     * @throws InterruptedException if the thread is interrupted
     */
    public int listen(String host, int port) throws InterruptedException {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new Initializer(null));
        server = bootstrap.bind(host, port).sync().channel();
        return ((InetSocketAddress) server.localAddress()).getPort();
    }

    /**
     * Closes the outbound connections to all addresses except the given ones.
     *
     * @param addresses the addresses whose connections are kept
     */
    public void retainConnections(Set<String> addresses) {
        outbound.entrySet().removeIf(entry -> {
            boolean obsolete = !addresses.contains(entry.getKey());
            if (obsolete && entry.getValue().channel != null) {
                entry.getValue().channel.close();
            }
            return obsolete;
        });
    }

    /**
     * Sends a message if the connection is authenticated and its write buffer is not full; otherwise drops the message.
     *
     * @param address the host and port of the peer
     * @param message the message
     * @return true if the message was written to the connection; false if it was dropped
     */
    public boolean send(String address, PeerMessage message) {
        Connection connection = outbound.computeIfAbsent(address, unused -> new Connection());
        Channel channel;
        synchronized (connection) {
            channel = connection.channel;
            boolean open = channel != null && channel.isOpen();
            if (!open) {
                connect(address, connection);
                return false;
            }
        }
        if (!connection.authenticated || !channel.isWritable()) {
            return false;
        }
        channel.writeAndFlush(PeerCodec.encode(message));
        return true;
    }

    private void connect(String address, Connection connection) {
        if (System.nanoTime() < connection.retryAtNanos) {
            return;
        }
        connection.retryAtNanos = System.nanoTime() + RECONNECT_INTERVAL_MILLIS * 1_000_000;
        connection.authenticated = false;
        int colon = address.lastIndexOf(':');
        ChannelFuture future = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_WATER_MARK)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new Initializer(connection))
                .connect(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        connection.channel = future.channel();
    }

    private final class Initializer extends ChannelInitializer<SocketChannel> {
        private final Connection connection;

        private Initializer(Connection connection) {
            this.connection = connection;
        }

        @Override
        protected void initChannel(SocketChannel channel) {
            channel.pipeline()
                    .addLast(new LengthFieldBasedFrameDecoder(
                            MAX_FRAME_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES))
                    .addLast(new ProtobufDecoder(Frame.getDefaultInstance()))
                    .addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES))
                    .addLast(new ProtobufEncoder())
                    .addLast(new PeerChannelHandler(localNode, key, listener));
            if (connection != null) {
                channel.pipeline().addLast(new AuthenticationListener(connection));
            }
        }
    }

    private static final class AuthenticationListener extends ChannelInboundHandlerAdapter {
        private final Connection connection;

        private AuthenticationListener(Connection connection) {
            this.connection = connection;
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event == AUTHENTICATED) {
                connection.authenticated = true;
            }
        }
    }
}
