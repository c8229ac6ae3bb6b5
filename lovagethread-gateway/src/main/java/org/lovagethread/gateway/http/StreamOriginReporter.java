package org.lovagethread.gateway.http;

import java.util.HashSet;
import java.util.Set;
import org.lovagethread.core.error.ErrorKind;
import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.log.GatewayMetrics;
import org.lovagethread.gateway.log.LogRateLimiter;
import org.lovagethread.gateway.stream.StreamOrigin;

/** Writes to the log and to the metrics which services have several versions, and which streams could not go on. */
final class StreamOriginReporter {
    private static final int MAX_LINES_PER_SECOND = 20;

    private final EventLog log;
    private final GatewayMetrics metrics;
    private final LogRateLimiter lines = new LogRateLimiter(MAX_LINES_PER_SECOND);
    private Set<String> mixedServices = Set.of();

    StreamOriginReporter(EventLog log, GatewayMetrics metrics) {
        this.log = log;
        this.metrics = metrics;
    }

    /** Reports the services whose state has changed. */
    void reportMixed(Set<String> mixed) {
        if (mixed.equals(mixedServices)) {
            return;
        }
        logEach("versions-side-by-side", mixed, mixedServices);
        logEach("versions-single", mixedServices, mixed);
        mixedServices = mixed;
        metrics.setState("services_with_several_versions", mixed.size());
    }

    private void logEach(String event, Set<String> services, Set<String> except) {
        Set<String> changed = new HashSet<>(services);
        changed.removeAll(except);
        changed.forEach(service -> log.add(log.line(event).put("service", service)));
    }

    /** Reports the calls to the store since the start. */
    void reportCalls(long writes, long lists) {
        metrics.setState("stream_origin_writes", writes);
        metrics.setState("stream_origin_lists", lists);
    }

    /** Reports a request that has ended, if it took up a stream. */
    void reportEnd(ExchangeRecord ended, long nowMillis) {
        if (!ended.admitted().isResumption()) {
            return;
        }
        StreamOrigin origin = ended.origin();
        String service = ended.admitted().service().name();
        boolean isRefused = ended.outcome().equals(ErrorKind.VERSION_UNAVAILABLE.label());
        metrics.recordResumption(service, origin.source().label(), isRefused);
        if (isRefused && lines.tryAcquire(nowMillis)) {
            log.add(log.line("resumption-refused")
                    .put("request", ended.admitted().attributes().requestId())
                    .put("resumed", ended.admitted().streamId().orElse(""))
                    .put("service", service)
                    .put("version", origin.version().orElse(""))
                    .put("source", origin.source().label())
                    .put("reason", ended.reason())
                    .put("omitted_before", lines.resetOmitted()));
        }
    }
}
