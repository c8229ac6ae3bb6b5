package org.lovagethread.gateway.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import org.lovagethread.gateway.link.LinkMonitor;
import org.lovagethread.gateway.upstream.UpstreamEntry;

/** Opens connections to upstreams, which carry nothing, to see whether they can be established. */
final class LinkProber {
    private final Bootstrap bootstrap;
    private final LinkReporter reporter;
    private long probes;

    LinkProber(EventLoop loop, LinkReporter reporter) {
        this.bootstrap = ClientBootstrap.create(loop, LinkMonitor.PROBE_TIMEOUT_MILLIS);
        this.reporter = reporter;
    }

    /** Returns the number of probes since the start. */
    long probes() {
        return probes;
    }

    void probe(UpstreamEntry upstream) {
        probes++;
        ChannelFuture connecting =
                bootstrap.clone().handler(new ChannelInboundHandlerAdapter()).connect(upstream.host(), upstream.port());
        reporter.follow(upstream, connecting);
        connecting.addListener(ChannelFutureListener.CLOSE);
    }
}
