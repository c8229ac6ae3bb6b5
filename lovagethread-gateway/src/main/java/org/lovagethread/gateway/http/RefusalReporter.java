package org.lovagethread.gateway.http;

import io.netty.handler.codec.http.HttpRequest;
import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.log.GatewayMetrics;
import org.lovagethread.gateway.log.LogRateLimiter;

/** Writes requests that are not admitted to the metrics, and some of them to the log. */
final class RefusalReporter {
    private static final int MAX_LINES_PER_SECOND = 40;

    private final EventLog log;
    private final GatewayMetrics metrics;
    private final HeaderCodec headerCodec;
    private final LogRateLimiter lines = new LogRateLimiter(MAX_LINES_PER_SECOND);

    RefusalReporter(EventLog log, GatewayMetrics metrics, HeaderCodec headerCodec) {
        this.log = log;
        this.metrics = metrics;
        this.headerCodec = headerCodec;
    }

    /**
     * Reports a request.
     *
     * @param request the header of the request
     * @param refusal why it is not admitted
     * @param version the version of the active configuration; negative if there is none
     * @param nowMillis the current time in milliseconds
     */
    void report(HttpRequest request, Refusal refusal, long version, long nowMillis) {
        metrics.recordRefusal(refusal.kind().label());
        if (!lines.tryAcquire(nowMillis)) {
            return;
        }
        RequestAttributes attributes = headerCodec.readAttributes(request);
        log.add(log.line("request-refused")
                .put("omitted_before", lines.resetOmitted())
                .put("request", attributes.requestId())
                .put("resumed", attributes.resumedRequestId().orElse(""))
                .put("outcome", refusal.kind().label())
                .put("configuration", version)
                .put("retry_after_ms", refusal.retryAfterMillis()));
    }
}
