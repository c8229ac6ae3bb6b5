package org.lovagethread.gateway.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import java.util.function.LongSupplier;
import org.lovagethread.gateway.link.LinkMonitor;
import org.lovagethread.gateway.upstream.UpstreamEntry;

/** Opens connections to upstreams, which carry nothing, to see whether they can be established. */
final class LinkProber {
    private final Bootstrap bootstrap;
    private final LinkMonitor monitor;
    private final LongSupplier clock;
    private long probes;

    LinkProber(EventLoop loop, LinkMonitor monitor, LongSupplier clock) {
        this.bootstrap = ClientBootstrap.create(loop, LinkMonitor.PROBE_TIMEOUT_MILLIS)
                .handler(new ChannelInboundHandlerAdapter());
        this.monitor = monitor;
        this.clock = clock;
    }

    /** Returns the number of probes since the start. */
    long probes() {
        return probes;
    }

    void probe(UpstreamEntry upstream) {
        probes++;
        long beganMillis = clock.getAsLong();
        ChannelFuture connecting = bootstrap.connect(upstream.host(), upstream.port());
        connecting.addListener(future -> {
            if (future.isSuccess()) {
                monitor.recordConnected(upstream, clock.getAsLong());
            } else {
                monitor.recordFailed(upstream, beganMillis, clock.getAsLong());
            }
            connecting.channel().close();
        });
    }
}
