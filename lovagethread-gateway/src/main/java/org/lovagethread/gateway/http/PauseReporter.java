package org.lovagethread.gateway.http;

import java.util.List;
import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.log.GatewayMetrics;
import org.lovagethread.gateway.log.LogRateLimiter;
import org.lovagethread.gateway.upstream.UpstreamPauses;
import org.lovagethread.gateway.upstream.UpstreamTable;

/** Writes the decisions about pauses of upstreams to the log and to the metrics. */
final class PauseReporter {
    private static final int MAX_LINES_PER_SECOND = 20;

    private final EventLog log;
    private final GatewayMetrics metrics;
    private final LogRateLimiter lines = new LogRateLimiter(MAX_LINES_PER_SECOND);

    PauseReporter(EventLog log, GatewayMetrics metrics) {
        this.log = log;
        this.metrics = metrics;
    }

    /** Ends the pauses that are over, and reports the decisions since the last call and the paused upstreams. */
    void tick(UpstreamTable upstreams, long nowMillis) {
        upstreams.pauses().expire(nowMillis);
        report(upstreams.pauses().takeUnreported(), nowMillis);
        upstreams.pauses().pausedByService(upstreams.all(), nowMillis).forEach(metrics::setPausedUpstreams);
        metrics.setState("pause_decisions_omitted", upstreams.pauses().omittedDecisions());
    }

    private void report(List<UpstreamPauses.Decision> decisions, long nowMillis) {
        for (UpstreamPauses.Decision decision : decisions) {
            boolean ended = decision.kind() == UpstreamPauses.DecisionKind.ENDED;
            if (!ended) {
                metrics.recordPauseRequest(
                        decision.upstream().service(), decision.request().form().label());
            }
            if (!lines.tryAcquire(nowMillis)) {
                continue;
            }
            var line = log.line(decision.kind().label())
                    .put("upstream", decision.upstream().id())
                    .put("service", decision.upstream().service())
                    .put("incarnation", decision.upstream().startedAtMillis());
            if (!ended) {
                line.put("form", decision.request().form().label())
                        .put("requested_ms", decision.request().millis())
                        .put("remaining_ms", decision.remainingMillis());
            }
            log.add(line.put("omitted_before", lines.resetOmitted()));
        }
    }
}
