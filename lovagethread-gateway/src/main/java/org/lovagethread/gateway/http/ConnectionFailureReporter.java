package org.lovagethread.gateway.http;

import io.netty.handler.codec.http.HttpRequest;
import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.log.GatewayMetrics;
import org.lovagethread.gateway.log.LogRateLimiter;

/** Reports exceptions on connections of callers. */
final class ConnectionFailureReporter {
    private static final int MAX_LINES_PER_SECOND = 40;

    private final EventLog log;
    private final GatewayMetrics metrics;
    private final HeaderCodec headerCodec;
    private final LogRateLimiter lines = new LogRateLimiter(MAX_LINES_PER_SECOND);

    ConnectionFailureReporter(EventLog log, GatewayMetrics metrics, HeaderCodec headerCodec) {
        this.log = log;
        this.metrics = metrics;
        this.headerCodec = headerCodec;
    }

    /**
     * Reports an exception on a caller's connection.
     *
     * @param cause the exception
     * @param request the header of the request in progress, or null if there is none
     * @param nowMillis the current time in milliseconds
     */
    void report(Throwable cause, HttpRequest request, long nowMillis) {
        metrics.recordConnectionFailure(cause.getClass().getSimpleName());
        if (request != null && lines.tryAcquire(nowMillis)) {
            log.add(log.line("connection-failed")
                    .put("omitted_before", lines.resetOmitted())
                    .put("request", requestIdOrEmpty(request))
                    .put("reason", cause.toString()));
        }
    }

    /** Returns the id of a request; empty if reading it fails, which may be what is logged. */
    private String requestIdOrEmpty(HttpRequest request) {
        try {
            return headerCodec.readAttributes(request).requestId();
        } catch (RuntimeException e) {
            return "";
        }
    }
}
