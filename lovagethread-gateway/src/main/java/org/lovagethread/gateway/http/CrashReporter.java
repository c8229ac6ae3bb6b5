package org.lovagethread.gateway.http;

import java.util.List;
import java.util.stream.Collectors;
import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.log.GatewayMetrics;
import org.lovagethread.gateway.log.LogRateLimiter;
import org.lovagethread.gateway.policy.CrashLog;
import org.lovagethread.gateway.policy.PromptQuarantine;

/** Writes the crashes of upstreams, and the prompt parts that they are blamed on, to the log and to the metrics. */
final class CrashReporter {
    private static final int MAX_LINES_PER_SECOND = 40;

    /** Maximum number of prompt parts in a line. */
    private static final int MAX_PARTS = 20;

    private final EventLog log;
    private final GatewayMetrics metrics;
    private final LogRateLimiter lines = new LogRateLimiter(MAX_LINES_PER_SECOND);

    CrashReporter(EventLog log, GatewayMetrics metrics) {
        this.log = log;
        this.metrics = metrics;
    }

    /** Reports the changes of the states of prompt parts. */
    void report(List<PromptQuarantine.Change> changes, long nowMillis) {
        for (PromptQuarantine.Change change : changes) {
            if (change.kind() == PromptQuarantine.ChangeKind.SUSPECTED && !lines.tryAcquire(nowMillis)) {
                continue;
            }
            log.add(log.line(change.kind().label())
                    .put("part", change.part())
                    .put(
                            "crashes",
                            change.crashIds().stream()
                                    .map(Integer::toHexString)
                                    .sorted()
                                    .collect(Collectors.joining(" "))));
        }
    }

    /** Reports the crashes that have not been reported before. */
    void report(CrashLog crashLog, long nowMillis) {
        for (CrashLog.Crash crash : crashLog.takeUnreported(nowMillis)) {
            metrics.recordUpstreamBreak(crash.upstream().service(), !crash.isRefuted());
            if (!lines.tryAcquire(nowMillis)) {
                continue;
            }
            log.add(log.line("upstream-broke-connections")
                    .put("upstream", crash.upstream().id())
                    .put("service", crash.upstream().service())
                    .put("incarnation", crash.upstream().startedAtMillis())
                    .put("crash", Integer.toHexString(crash.id()))
                    .put("crashed", !crash.isRefuted())
                    .put("requests", crash.brokenRequests())
                    .put("unanswered", crash.unansweredRequests())
                    .put(
                            "parts",
                            crash.interruptedParts().stream().limit(MAX_PARTS).collect(Collectors.joining(" ")))
                    .put("omitted_before", lines.resetOmitted()));
        }
    }
}
