package org.lovagethread.gateway.http;

import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.util.function.LongSupplier;
import org.lovagethread.gateway.link.LinkMonitor;
import org.lovagethread.gateway.upstream.UpstreamEntry;

/** Reports to the monitor of the links what becomes of connections to upstreams, and what is read from them. */
final class LinkReporter {
    private final LinkMonitor monitor;
    private final LongSupplier clock;

    /**
     * Creates a reporter.
     *
     * @param monitor the monitor
     * @param clock supplies the current time in milliseconds
     */
    LinkReporter(LinkMonitor monitor, LongSupplier clock) {
        this.monitor = monitor;
        this.clock = clock;
    }

    /** Reports how a connection that is being opened ends up. */
    void follow(UpstreamEntry upstream, Future<?> connecting) {
        long beganMillis = clock.getAsLong();
        connecting.addListener(ended -> {
            if (ended.isSuccess()) {
                monitor.recordConnected(upstream, beganMillis, clock.getAsLong());
            } else if (isFailureOfLink(ended.cause())) {
                monitor.recordFailed(upstream, beganMillis, clock.getAsLong());
            } else {
                monitor.recordAbandoned(upstream);
            }
        });
    }

    /** Reports bytes from an upstream. */
    void onReceived() {
        monitor.recordReceived(clock.getAsLong());
    }

    /** Reports that an established connection was reset. */
    void onReset() {
        monitor.recordReset(clock.getAsLong());
    }

    /** Returns false if the gateway itself closed the connection, or could not begin to open it. */
    private static boolean isFailureOfLink(Throwable cause) {
        return cause instanceof IOException && !(cause instanceof ClosedChannelException);
    }
}
