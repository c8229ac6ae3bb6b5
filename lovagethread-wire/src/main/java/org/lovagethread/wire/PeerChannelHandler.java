package org.lovagethread.wire;

import com.google.protobuf.ByteString;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Optional;
import org.lovagethread.wire.generated.Frame;
import org.lovagethread.wire.generated.Hello;

/** Authenticates one connection and passes its messages to the listener; closes the connection on invalid input. */
final class PeerChannelHandler extends SimpleChannelInboundHandler<Frame> {
    private static final Logger LOG = System.getLogger(PeerChannelHandler.class.getName());

    private final PeerKey key;
    private final PeerListener listener;
    private final byte[] nonce;
    private final String localNode;
    private String peer = "";
    private boolean authenticated;

    PeerChannelHandler(String localNode, PeerKey key, PeerListener listener) {
        this.localNode = localNode;
        this.key = key;
        this.listener = listener;
        this.nonce = key.newNonce();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        Hello hello = Hello.newBuilder()
                .setNode(localNode)
                .setNonce(ByteString.copyFrom(nonce))
                .build();
        ctx.writeAndFlush(Frame.newBuilder().setHello(hello).build());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        LOG.log(Level.WARNING, "peer-connection-closed {0}: {1}", ctx.channel().remoteAddress(), cause.toString());
        ctx.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Frame frame) {
        switch (frame.getBodyCase()) {
            case HELLO -> onHello(ctx, frame.getHello());
            case PROOF -> onProof(ctx, frame.getProof().getSignature().toByteArray());
            default -> onMessage(ctx, frame);
        }
    }

    private void onHello(ChannelHandlerContext ctx, Hello hello) {
        peer = hello.getNode();
        byte[] signature = key.sign(hello.getNonce().toByteArray(), localNode);
        Frame.Builder proof = Frame.newBuilder();
        proof.getProofBuilder().setSignature(ByteString.copyFrom(signature));
        ctx.writeAndFlush(proof.build());
    }

    private void onMessage(ChannelHandlerContext ctx, Frame frame) {
        if (!authenticated) {
            throw new IllegalArgumentException("message received before authentication");
        }
        Optional<PeerMessage> message = PeerCodec.decode(frame);
        message.ifPresent(received -> listener.onMessage(received, reply -> ctx.writeAndFlush(PeerCodec.encode(reply))
                .addListener(ChannelFutureListener.CLOSE_ON_FAILURE)));
    }

    private void onProof(ChannelHandlerContext ctx, byte[] signature) {
        if (peer.isEmpty() || !key.verify(nonce, peer, signature)) {
            throw new IllegalArgumentException(
                    "invalid proof of the peer key, or proof received before the hello frame");
        }
        authenticated = true;
        ctx.fireUserEventTriggered(PeerTransport.AUTHENTICATED);
    }
}
