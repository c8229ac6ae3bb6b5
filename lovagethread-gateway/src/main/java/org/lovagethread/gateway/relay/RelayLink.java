package org.lovagethread.gateway.relay;

import com.google.protobuf.ByteString;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import java.net.InetSocketAddress;
import org.lovagethread.wire.generated.RelayError;
import org.lovagethread.wire.generated.RelayFrame;
import org.lovagethread.wire.generated.RelayOffer;
import org.lovagethread.wire.generated.RelayRequest;
import org.lovagethread.wire.generated.RelayResponse;
import org.lovagethread.wire.generated.RelayResponseHead;

/**
 * The connection to a peer that is asked to run one request.
 *
 * <p>Closing it resets it, so that no bytes of the request outlast it; see the bootstrap of the gateway. Neither
 * {@code SO_KEEPALIVE} nor {@code TCP_USER_TIMEOUT} is set: the heartbeats decide when a silent peer is given up.
 */
final class RelayLink extends SimpleChannelInboundHandler<RelayFrame> {
    /** Maximum size of a frame with a complete response. */
    private static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;

    /** Number of gateways that an offered request has passed through. */
    private static final int HOPS = 1;

    private final RelayClient client;
    private final InetSocketAddress peer;
    private final Listener listener;
    private final RelayKeepAlive keepAlive;

    /** Time until which the offer must be accepted, in milliseconds of the time in which data could be read. */
    private final long handshakeDeadlineMillis;

    private Channel channel;
    private boolean requestSent;
    private boolean readingPaused;
    private boolean closed;

    /** Receives what happens on a link. After {@link #onNotRun} and {@link #onBroken} the link is closed. */
    interface Listener {
        /** The peer is ready to receive the request. */
        void onAccepted();

        /** The peer has not run the request and will not run it. */
        void onNotRun(String reason);

        /** The link broke after the request was sent. */
        void onBroken(String reason);

        void onResponse(RelayResponse response);

        void onError(RelayError error);

        void onStreamStart(RelayResponseHead head);

        void onStreamData(ByteString data);

        void onStreamEnd(boolean aborted);

        /** All data that was available has been passed on. */
        void onReadComplete();
    }

    RelayLink(RelayClient client, InetSocketAddress peer, Listener listener) {
        this.client = client;
        this.peer = peer;
        this.listener = listener;
        this.keepAlive = new RelayKeepAlive(client.timeouts(), client.clock());
        this.handshakeDeadlineMillis =
                client.clock().observedMillis() + client.timeouts().handshakeMillis();
    }

    InetSocketAddress peer() {
        return peer;
    }

    /** Connects to the peer and offers it a request. */
    void open(int bodyBytes) {
        client.selector().recordStart(peer);
        var connecting = client.createBootstrap()
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel newChannel) {
                        newChannel.pipeline().addLast(keepAlive);
                        RelayCodec.addTo(newChannel.pipeline(), MAX_FRAME_BYTES);
                        newChannel.pipeline().addLast(RelayLink.this);
                    }
                })
                .connect(peer);
        channel = connecting.channel();
        connecting.addListener(future -> {
            if (future.isSuccess()) {
                offer(bodyBytes);
            } else {
                fail("no connection");
            }
        });
    }

    private void offer(int bodyBytes) {
        channel.pipeline().firstContext().write(Unpooled.copyInt(RelayServer.PREFACE));
        channel.writeAndFlush(RelayFrame.newBuilder()
                .setOffer(RelayOffer.newBuilder().setHops(HOPS).setBodyBytes(bodyBytes))
                .build());
    }

    /** Sends the request, from now on it may be run. */
    void send(RelayRequest request) {
        requestSent = true;
        channel.writeAndFlush(RelayFrame.newBuilder().setRequest(request).build());
    }

    boolean isRequestSent() {
        return requestSent;
    }

    void setReading(boolean reading) {
        if (readingPaused == reading) {
            readingPaused = !reading;
            keepAlive.restart();
            channel.config().setAutoRead(reading);
        }
    }

    void tick() {
        keepAlive.sendIfDue(channel);
        if (!requestSent && client.clock().observedMillis() >= handshakeDeadlineMillis) {
            fail("offer not accepted in time");
        } else if (requestSent && !readingPaused && keepAlive.isSilent()) {
            fail("silent");
        }
    }

    /** Closes the connection, which cancels the request if it is in progress. */
    void close() {
        if (!closed) {
            closed = true;
            client.selector().recordEnd(peer);
            channel.close();
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, RelayFrame frame) {
        if (closed) {
            return;
        }
        switch (frame.getContentCase()) {
            case ACCEPTANCE -> listener.onAccepted();
            case REFUSAL -> refuse(RelayRefusals.label(frame.getRefusal().getReason()));
            case RESPONSE -> listener.onResponse(frame.getResponse());
            case ERROR -> listener.onError(frame.getError());
            case STREAM_START -> listener.onStreamStart(frame.getStreamStart().getHead());
            case STREAM_DATA -> listener.onStreamData(frame.getStreamData());
            case STREAM_END -> listener.onStreamEnd(frame.getStreamEnd().getAborted());
            case HEARTBEAT -> {}
            default -> fail("unexpected frame");
        }
    }

    private void refuse(String reason) {
        close();
        listener.onNotRun(reason);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (!closed) {
            listener.onReadComplete();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        fail("connection closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        fail(cause.toString());
    }

    private void fail(String reason) {
        if (closed) {
            return;
        }
        close();
        if (requestSent) {
            listener.onBroken(reason);
        } else {
            listener.onNotRun(reason);
        }
    }
}
