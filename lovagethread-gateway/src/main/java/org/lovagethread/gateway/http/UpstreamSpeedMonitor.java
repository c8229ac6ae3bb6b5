package org.lovagethread.gateway.http;

import java.util.HashMap;
import java.util.Map;
import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.log.GatewayMetrics;
import org.lovagethread.gateway.upstream.Upstream;
import org.lovagethread.gateway.upstream.UpstreamTable;

/** Logs clear changes of the speeds of upstreams, and exposes their range as metrics. */
final class UpstreamSpeedMonitor {
    private static final int PERCENT = 100;

    private final UpstreamTable upstreams;
    private final EventLog log;
    private final Map<String, Double> loggedWeights = new HashMap<>();

    UpstreamSpeedMonitor(UpstreamTable upstreams, EventLog log) {
        this.upstreams = upstreams;
        this.log = log;
    }

    /** Logs the upstreams whose speed has changed by a level since the last call. */
    void logChanges(long nowMillis) {
        for (Upstream upstream : upstreams.all()) {
            String id = upstream.entry().id();
            double weight = upstream.speed().weight(nowMillis);
            Double previous = loggedWeights.put(id, weight);
            if (weight != (previous == null ? 1 : previous)) {
                log.add(log.line("upstream-speed")
                        .put("upstream", id)
                        .put("service", upstream.entry().service())
                        .put(
                                "speed_percent",
                                Math.round(PERCENT * upstream.speed().factor(nowMillis)))
                        .put(
                                "error_percent",
                                Math.round(PERCENT * upstream.speed().error())));
            }
        }
        loggedWeights.keySet().removeIf(id -> upstreams.find(id).isEmpty());
    }

    /** Sets the metrics of the speeds of all services. */
    void updateMetrics(GatewayMetrics metrics, long nowMillis) {
        Map<String, double[]> rangeByService = new HashMap<>();
        for (Upstream upstream : upstreams.all()) {
            double speed = upstream.speed().factor(nowMillis);
            double[] range =
                    rangeByService.computeIfAbsent(upstream.entry().service(), name -> new double[] {speed, speed});
            range[0] = Math.min(range[0], speed);
            range[1] = Math.max(range[1], speed);
        }
        rangeByService.forEach((service, range) -> metrics.setUpstreamSpeeds(service, range[0], range[1]));
    }
}
