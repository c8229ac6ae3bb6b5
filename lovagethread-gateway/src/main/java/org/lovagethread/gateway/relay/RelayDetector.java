package org.lovagethread.gateway.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.util.List;

/**
 * Tells relay connections by their first bytes from others on the same port, so that no further port has to be free on
 * all instances.
 */
public final class RelayDetector extends ByteToMessageDecoder {
    private final RelayServer server;
    private final Runnable other;

    /**
     * Creates a handler for a new connection.
     *
     * @param server sets up a relay connection
     * @param other sets up another connection
     */
    public RelayDetector(RelayServer server, Runnable other) {
        this.server = server;
        this.other = other;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf bytes, List<Object> out) {
        if (bytes.readableBytes() < Integer.BYTES) {
            return;
        }
        if (bytes.getInt(bytes.readerIndex()) == RelayServer.PREFACE) {
            bytes.skipBytes(Integer.BYTES);
            server.accept(ctx.pipeline());
        } else {
            other.run();
        }
        ctx.pipeline().remove(this);
    }
}
