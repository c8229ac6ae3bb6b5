package org.lovagethread.gateway.relay;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.log.GatewayMetrics;
import org.lovagethread.gateway.log.LogRateLimiter;
import org.lovagethread.wire.generated.RelayRefusalReason;

/** Reports requests that are passed to peers, and those of peers that are refused. */
public final class RelayReporter {
    private static final int MAX_LINES_PER_SECOND = 40;

    private final EventLog log;
    private final GatewayMetrics metrics;
    private final LogRateLimiter lines = new LogRateLimiter(MAX_LINES_PER_SECOND);

    /**
     * Creates a reporter.
     *
     * @param log the event log
     * @param metrics the metrics
     */
    public RelayReporter(EventLog log, GatewayMetrics metrics) {
        this.log = log;
        this.metrics = metrics;
    }

    /**
     * Reports a request that has ended.
     *
     * @param request the request
     * @param peer the peer that it was last offered to; empty if there was none
     * @param outcome how it has ended
     * @param reason why the last peer did not run it or was given up; an empty string if there is no reason
     * @param startedMillis when the request was to be passed to a peer
     * @param nowMillis the current time in milliseconds
     */
    void reportEnd(
            RelayedRequest request,
            Optional<InetSocketAddress> peer,
            RelayOutcome outcome,
            String reason,
            long startedMillis,
            long nowMillis) {
        metrics.recordRelayedRequest(outcome.label());
        if (lines.tryAcquire(nowMillis)) {
            log.add(log.line("request-relayed")
                    .put("request", request.id())
                    .put("peer", peer.map(InetSocketAddress::getHostString).orElse(""))
                    .put("outcome", outcome.label())
                    .put("reason", reason)
                    .put("total_ms", nowMillis - startedMillis)
                    .put("omitted_before", lines.resetOmitted()));
        }
    }

    /**
     * Reports an exception in the processing of a request of a peer.
     *
     * @param cause the exception
     * @param nowMillis the current time in milliseconds
     */
    void reportException(RuntimeException cause, long nowMillis) {
        metrics.recordConnectionFailure(cause.getClass().getSimpleName());
        if (lines.tryAcquire(nowMillis)) {
            log.add(log.line("relayed-request-failed")
                    .put("reason", cause.toString())
                    .put("omitted_before", lines.resetOmitted()));
        }
    }

    /**
     * Counts an offer of a peer that is refused.
     *
     * @param reason the reason
     */
    void countRefusal(RelayRefusalReason reason) {
        metrics.recordRefusedRelay(RelayRefusals.label(reason));
    }
}
