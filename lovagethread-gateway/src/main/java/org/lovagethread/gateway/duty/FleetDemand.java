package org.lovagethread.gateway.duty;

import java.util.HashMap;
import java.util.Map;
import org.lovagethread.gateway.config.Customer;
import org.lovagethread.gateway.config.GatewayConfiguration;
import org.lovagethread.gateway.config.ServiceSpec;
import org.lovagethread.gateway.config.ServiceSpec.EngineSpec;
import org.lovagethread.gateway.config.ServiceSpec.FleetSpec;
import org.lovagethread.gateway.engine.EngineEstimate;
import org.lovagethread.gateway.engine.EngineModels;
import org.lovagethread.gateway.log.LogLine;
import org.lovagethread.gateway.policy.FleetPlanner;
import org.lovagethread.gateway.policy.FleetPlanner.Load;
import org.lovagethread.gateway.policy.SlidingMaximum;
import org.lovagethread.gateway.upstream.Upstream;
import org.lovagethread.gateway.upstream.UpstreamLoad.Work;
import org.lovagethread.gateway.upstream.UpstreamSpeed;
import org.lovagethread.gateway.upstream.UpstreamTable;

/** Measures the load of services and derives how many instances of the mean speed of the running ones they need. */
final class FleetDemand {
    /** Length of the sliding window whose maximum need reclaimable instances are kept for, in milliseconds. */
    private static final long NEED_WINDOW_MILLIS = 12_000;

    /** Length of the sliding window whose maximum need on-demand instances are kept for, in milliseconds. */
    private static final long ON_DEMAND_WINDOW_MILLIS = 6_000;

    /** Weight of the latest sample in the smoothed number of queued prompt tokens, at ten samples per second. */
    private static final double UNREAD_SMOOTHING = 0.05;

    /** Target time to the first event of a service whose routes state none, in milliseconds. */
    private static final long DEFAULT_TARGET_MILLIS = 1_000;

    private static final int MILLIS_PER_SECOND = 1_000;
    private static final int PERCENT = 100;

    private final UpstreamTable upstreams;
    private final EngineModels models;
    private final FleetPlanner planner;
    private final Map<String, History> histories = new HashMap<>();

    /** Recent load and needs of one service. */
    private static final class History {
        private final SlidingMaximum needed = new SlidingMaximum(NEED_WINDOW_MILLIS);
        private final SlidingMaximum minNeeded = new SlidingMaximum(ON_DEMAND_WINDOW_MILLIS);
        private int initialInstances;
        private double smoothedUnreadTokens;
    }

    /**
     * The instances that a service needs.
     *
     * @param needed the number of instances if reclaimable ones are available
     * @param minNeeded the number of instances in any case
     * @param load the load from which the need was derived
     * @param estimate the estimated performance of an engine of mean speed
     */
    record Need(int needed, int minNeeded, Load load, EngineEstimate estimate) {
        /** Adds what the need was derived from to a log line. */
        LogLine addTo(LogLine line) {
            return line.put("needed", needed)
                    .put("min_needed", minNeeded)
                    .put("generating", (long) load.generating())
                    .put("tokens_per_second", (long) load.tokensPerSecond())
                    .put("unread_tokens", (long) load.unreadTokens())
                    .put("engine_tokens_per_second", (long) (estimate.tokensPerMilli() * MILLIS_PER_SECOND))
                    .put("engine_overhead_ms", (long) estimate.overheadMillis())
                    .put("engine_samples", (long) estimate.samples())
                    .put("unread_percent", (long) (estimate.unreadShare() * PERCENT))
                    .put("stream_ms", (long) estimate.streamMillis())
                    .put("at_work", load.instances());
        }
    }

    /**
     * Creates a demand without any measurement.
     *
     * @param upstreams the running instances
     * @param models the performance models of the engines
     * @param planner calculates the need for a load
     */
    FleetDemand(UpstreamTable upstreams, EngineModels models, FleetPlanner planner) {
        this.upstreams = upstreams;
        this.models = models;
        this.planner = planner;
    }

    /** Records the instances that run before any order. */
    void recordInitialInstances(ServiceSpec service) {
        History history = history(service);
        history.initialInstances = Math.max(
                history.initialInstances, upstreams.available(service.name()).size());
    }

    /**
     * Returns the current need of a service.
     *
     * @param configuration the active configuration
     * @param service the service
     * @param tokensPerSecond the prompt tokens and requested output tokens per second, over all gateways
     * @param nowMillis the current time in milliseconds
     * @return the need
     */
    Need measure(GatewayConfiguration configuration, ServiceSpec service, double tokensPerSecond, long nowMillis) {
        History history = history(service);
        EngineSpec engine = service.engine().orElseThrow();
        double meanSpeed = UpstreamSpeed.mean(upstreams.available(service.name()), nowMillis);
        EngineEstimate estimate = models.of(service.name()).estimate(nowMillis).atSpeed(meanSpeed);
        double targetMillis =
                configuration.routes().latencyTargets().shortest(service.name()).orElse(DEFAULT_TARGET_MILLIS);
        Load load = measureLoad(service, history, tokensPerSecond, nowMillis);
        int needed;
        int minNeeded;
        if (tokensPerSecond > 0) {
            needed = planner.requiredInstances(engine, estimate, targetMillis, FleetPlanner.RECLAIMABLE_HEADROOM, load);
            minNeeded =
                    planner.requiredInstances(engine, estimate, targetMillis, FleetPlanner.ON_DEMAND_HEADROOM, load);
        } else {
            needed = planner.expectedInstances(engine, estimate, targetMillis, quotaTokensPerSecond(configuration));
            minNeeded = needed;
        }
        int floor = planner.minInstances(history.initialInstances);
        int paused = paused(service, nowMillis);
        return new Need(
                history.needed.add(Math.max(floor, needed + paused), nowMillis),
                history.minNeeded.add(Math.max(floor, minNeeded + paused), nowMillis),
                load,
                estimate);
    }

    private History history(ServiceSpec service) {
        return histories.computeIfAbsent(service.name(), name -> new History());
    }

    /** Returns the number of instances that are paused for longer than others need to start. */
    private int paused(ServiceSpec service, long nowMillis) {
        long startMillis = service.fleet().map(FleetSpec::bootMillis).orElse(0L);
        return (int) upstreams.available(service.name()).stream()
                .filter(upstream -> upstreams.pauses().isPausedFor(upstream.entry(), startMillis, nowMillis))
                .count();
    }

    private Load measureLoad(ServiceSpec service, History history, double tokensPerSecond, long nowMillis) {
        double generating = 0;
        double unreadTokens = 0;
        for (Upstream upstream : upstreams.available(service.name())) {
            Work work = upstream.load().total(nowMillis);
            generating += work.generating();
            unreadTokens += work.unreadTokens();
        }
        history.smoothedUnreadTokens += UNREAD_SMOOTHING * (unreadTokens - history.smoothedUnreadTokens);
        return new Load(
                generating,
                tokensPerSecond,
                history.smoothedUnreadTokens,
                upstreams.unpaused(service.name(), nowMillis).size());
    }

    private static double quotaTokensPerSecond(GatewayConfiguration configuration) {
        return configuration.customers().stream()
                .mapToDouble(Customer::tokensPerSecond)
                .sum();
    }
}
