package org.lovagethread.gateway.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.function.Consumer;
import org.lovagethread.wire.generated.GatewayDatagram;

/** Sends and receives the state of gateways over UDP. */
public final class PeerDatagramChannel {
    /** Maximum payload of a UDP datagram over IPv4. */
    private static final int MAX_DATAGRAM_BYTES = 65_507;

    private final Channel channel;
    private final int port;

    /**
     * Creates the channel and binds its socket.
     *
     * @param loop the event loop of the gateway
     * @param host the IP address of this gateway
     * @param port the UDP port, the same on all gateways
     * @param listener receives the datagrams of peers
     * @param errorHandler receives the reason when a datagram cannot be received or decoded
     * @throws InterruptedException if the thread is interrupted while it waits for the socket to be bound
     */
    public PeerDatagramChannel(
            EventLoop loop, String host, int port, Consumer<GatewayDatagram> listener, Consumer<String> errorHandler)
            throws InterruptedException {
        this.port = port;
        this.channel = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
                .handler(new Receiver(listener, errorHandler))
                .bind(host, port)
                .sync()
                .channel();
    }

    /**
     * Sends a datagram to peers.
     *
     * @param datagram the content
     * @param hosts the IP addresses of the peers
     */
    public void send(GatewayDatagram datagram, Set<String> hosts) {
        byte[] bytes = datagram.toByteArray();
        if (bytes.length > MAX_DATAGRAM_BYTES) {
            throw new IllegalArgumentException(
                    "gateway state does not fit into a datagram: " + bytes.length + " bytes");
        }
        for (String host : hosts) {
            channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), new InetSocketAddress(host, port)));
        }
        channel.flush();
    }

    private static final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
        private final Consumer<GatewayDatagram> listener;
        private final Consumer<String> errorHandler;

        private Receiver(Consumer<GatewayDatagram> listener, Consumer<String> errorHandler) {
            this.listener = listener;
            this.errorHandler = errorHandler;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) throws IOException {
            try (ByteBufInputStream bytes = new ByteBufInputStream(packet.content())) {
                listener.accept(GatewayDatagram.parseFrom(bytes));
            } catch (InvalidProtocolBufferException e) {
                errorHandler.accept(e.getMessage());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            errorHandler.accept(cause.toString());
        }
    }
}
