package org.lovagethread.gateway.relay;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import org.lovagethread.wire.generated.RelayFrame;
import org.lovagethread.wire.generated.RelayHeartbeat;

/**
 * Sends heartbeats on a relay connection, and notices when the other end has gone silent. It sees each part of a frame,
 * so that the time for a large one does not count as silence.
 */
final class RelayKeepAlive extends ChannelInboundHandlerAdapter {
    private static final RelayFrame HEARTBEAT = RelayFrame.newBuilder()
            .setHeartbeat(RelayHeartbeat.getDefaultInstance())
            .build();

    private final RelayTimeouts timeouts;
    private final RelayClock clock;
    private long silenceDeadlineMillis;
    private long nextHeartbeatMillis;

    RelayKeepAlive(RelayTimeouts timeouts, RelayClock clock) {
        this.timeouts = timeouts;
        this.clock = clock;
        restart();
    }

    /** Starts to wait for data anew, after a time in which none could be read. */
    void restart() {
        silenceDeadlineMillis = clock.observedMillis() + timeouts.silenceMillis();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        restart();
        ctx.fireChannelRead(message);
    }

    /** Returns whether the other end has sent nothing for so long that it counts as gone. */
    boolean isSilent() {
        return clock.observedMillis() >= silenceDeadlineMillis;
    }

    /** Sends a heartbeat if one is due. None is needed while the other end has not yet read what was sent before. */
    void sendIfDue(Channel channel) {
        long nowMillis = clock.nowMillis();
        if (nowMillis >= nextHeartbeatMillis && channel.isActive() && channel.isWritable()) {
            nextHeartbeatMillis = nowMillis + timeouts.heartbeatMillis();
            channel.writeAndFlush(HEARTBEAT, channel.voidPromise());
        }
    }
}
