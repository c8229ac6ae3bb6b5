package org.lovagethread.gateway.duty;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.lovagethread.gateway.config.Customer;
import org.lovagethread.gateway.config.GatewayConfiguration;
import org.lovagethread.gateway.config.ServiceSpec;
import org.lovagethread.gateway.config.ServiceSpec.EngineSpec;
import org.lovagethread.gateway.duty.DutyApi.FleetOrder;
import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.policy.FleetPlanner;
import org.lovagethread.gateway.policy.FleetPlanner.Load;
import org.lovagethread.gateway.policy.FleetPlanner.ZoneFleet;
import org.lovagethread.gateway.policy.SlidingPeak;
import org.lovagethread.gateway.upstream.Upstream;
import org.lovagethread.gateway.upstream.UpstreamEntry;
import org.lovagethread.gateway.upstream.UpstreamLoad.Work;
import org.lovagethread.gateway.upstream.UpstreamTable;

/** Orders instances of services while this gateway holds the lease. */
public final class FleetManager {
    /** Length of the sliding window whose maximum need is planned for, in milliseconds. */
    private static final long PEAK_MILLIS = 12_000;

    /** Weight of the latest sample in the smoothed number of queued prompt tokens, at ten samples per second. */
    private static final double UNREAD_SMOOTHING = 0.05;

    /** Time after the start in which the running fleet is discovered and no orders are sent, in milliseconds. */
    private static final long LEARNING_MILLIS = 2_500;

    /** Delay before a refused order is retried, in milliseconds. */
    private static final long REFUSED_MILLIS = 3_000;

    /** Delay before an order with unknown outcome is retried, in milliseconds. */
    private static final long UNKNOWN_MILLIS = 500;

    private final DutyApi api;
    private final UpstreamTable upstreams;
    private final FleetPlanner planner = new FleetPlanner();
    private final LongSupplier steady;
    private final Supplier<OptionalLong> fence;
    private final EventLog log;
    private final Map<Subject, Integer> accepted = new HashMap<>();
    private final Map<Subject, Long> nextTryMillis = new HashMap<>();
    private final Map<String, Long> nextProbeMillis = new HashMap<>();
    private final Map<String, SlidingPeak> peaks = new HashMap<>();
    private final Map<String, Integer> firstFleet = new HashMap<>();
    private final Map<String, Double> smoothedUnread = new HashMap<>();
    private final Map<String, Integer> planned = new HashMap<>();
    private OptionalLong term = OptionalLong.empty();

    /** Target of an order. */
    private record Subject(String service, String zone, boolean reclaimable) {
        // Explicit methods: the generated ones are linked at run time, which delays the start of the process by tens of
        // milliseconds.
        @Override
        public boolean equals(Object other) {
            return other instanceof Subject subject
                    && service.equals(subject.service)
                    && zone.equals(subject.zone)
                    && reclaimable == subject.reclaimable;
        }

        @Override
        public int hashCode() {
            return Objects.hash(service, zone, reclaimable);
        }
    }

    /**
     * Creates a manager.
     *
     * @param api receives the orders
     * @param upstreams the running instances
     * @param steady a monotonic clock in milliseconds
     * @param fence supplies the fencing token if a call may be started
     * @param log receives a line for each order
     */
    public FleetManager(
            DutyApi api, UpstreamTable upstreams, LongSupplier steady, Supplier<OptionalLong> fence, EventLog log) {
        this.api = api;
        this.upstreams = upstreams;
        this.steady = steady;
        this.fence = fence;
        this.log = log;
    }

    /**
     * Sends the orders that are due.
     *
     * @param configuration the active configuration
     * @param tokensPerSecond the prompt tokens and requested output tokens per second, over all gateways
     */
    public void tick(GatewayConfiguration configuration, double tokensPerSecond) {
        long now = steady.getAsLong();
        List<FleetOrder> plan = new ArrayList<>();
        for (ServiceSpec service : configuration.services().values()) {
            if (service.fleet().isPresent() && service.engine().isPresent()) {
                plan.addAll(plan(configuration, service, tokensPerSecond, now));
            }
        }
        OptionalLong number = fence.get();
        if (number.isEmpty() || now < LEARNING_MILLIS) {
            return;
        }
        if (!number.equals(term)) {
            term = number;
            accepted.clear();
            nextTryMillis.clear();
        }
        plan.forEach(order -> give(order, number.getAsLong(), now));
    }

    private List<FleetOrder> plan(
            GatewayConfiguration configuration, ServiceSpec service, double tokensPerSecond, long nowMillis) {
        List<ZoneFleet> zones = zones(service);
        int atWork = zones.stream()
                .mapToInt(fleet -> fleet.reclaimable() + fleet.steady())
                .sum();
        if (nowMillis < LEARNING_MILLIS) {
            firstFleet.merge(service.name(), atWork, Math::max);
        }
        Load load = load(service, tokensPerSecond, atWork, nowMillis);
        double quota = quotaTokensPerSecond(configuration);
        int present = Math.max(
                planner.floor(firstFleet.getOrDefault(service.name(), 0)),
                present(service.engine().orElseThrow(), load, quota));
        int needed = peaks.computeIfAbsent(service.name(), name -> new SlidingPeak(PEAK_MILLIS))
                .add(present, nowMillis);
        if (fence.get().isPresent() && !Integer.valueOf(needed).equals(planned.put(service.name(), needed))) {
            log.add(log.line("fleet-plan")
                    .put("service", service.name())
                    .put("needed", needed)
                    .put("present_need", present)
                    .put("generating", (long) load.generating())
                    .put("tokens_per_second", (long) tokensPerSecond)
                    .put("unread_tokens", (long) load.unreadTokens())
                    .put("quota_tokens_per_second", (long) quota)
                    .put("at_work", atWork));
        }
        return planner.plan(service, zones, needed);
    }

    /** Returns the running instances, one entry per zone in which the service may run. */
    private List<ZoneFleet> zones(ServiceSpec service) {
        Map<String, ZoneFleet> zones = new HashMap<>();
        for (String zone : service.fleet().orElseThrow().zonePrices().keySet()) {
            zones.put(zone, new ZoneFleet(zone, 0, 0));
        }
        for (Upstream upstream : upstreams.available(service.name())) {
            UpstreamEntry entry = upstream.entry();
            zones.computeIfPresent(
                    entry.zone(),
                    (zone, fleet) -> new ZoneFleet(
                            zone,
                            fleet.reclaimable() + (entry.reclaimable() ? 1 : 0),
                            fleet.steady() + (entry.reclaimable() ? 0 : 1)));
        }
        return List.copyOf(zones.values());
    }

    private Load load(ServiceSpec service, double tokensPerSecond, int atWork, long nowMillis) {
        double generating = 0;
        double unreadTokens = 0;
        for (Upstream upstream : upstreams.available(service.name())) {
            Work work = upstream.load().total(nowMillis);
            generating += work.generating();
            unreadTokens += work.unreadTokens();
        }
        double before = smoothedUnread.getOrDefault(service.name(), 0.0);
        double unread = before + UNREAD_SMOOTHING * (unreadTokens - before);
        smoothedUnread.put(service.name(), unread);
        return new Load(generating, tokensPerSecond, unread, atWork);
    }

    private int present(EngineSpec engine, Load load, double quotaTokensPerSecond) {
        return load.tokensPerSecond() > 0
                ? planner.needed(engine, load)
                : planner.expected(engine, quotaTokensPerSecond);
    }

    private static double quotaTokensPerSecond(GatewayConfiguration configuration) {
        return configuration.customers().stream()
                .mapToDouble(Customer::tokensPerSecond)
                .sum();
    }

    private void give(FleetOrder order, long number, long nowMillis) {
        Subject subject = new Subject(order.service(), order.zone(), order.reclaimable());
        boolean known = accepted.getOrDefault(subject, -1) == order.count();
        if (known || nextTryMillis.getOrDefault(subject, 0L) > nowMillis) {
            return;
        }
        if (order.reclaimable() && nextProbeMillis.containsKey(order.service())) {
            if (nextProbeMillis.get(order.service()) > nowMillis) {
                return;
            }
            nextProbeMillis.put(order.service(), nowMillis + REFUSED_MILLIS);
        }
        nextTryMillis.put(subject, nowMillis + REFUSED_MILLIS);
        api.order(number, order, outcome -> ordered(subject, order, outcome));
    }

    private void ordered(Subject subject, FleetOrder order, DutyApi.Outcome outcome) {
        log.add(log.line("fleet-order")
                .put("service", order.service())
                .put("zone", order.zone())
                .put("count", order.count())
                .put("reclaimable", order.reclaimable())
                .put("outcome", outcome.name()));
        if (outcome == DutyApi.Outcome.ACCEPTED) {
            accepted.put(subject, order.count());
            nextTryMillis.remove(subject);
            nextProbeMillis.remove(order.service());
        } else if (outcome == DutyApi.Outcome.REFUSED && order.reclaimable()) {
            nextTryMillis.remove(subject);
            nextProbeMillis.putIfAbsent(order.service(), steady.getAsLong() + REFUSED_MILLIS);
        } else {
            long pause = outcome == DutyApi.Outcome.REFUSED ? REFUSED_MILLIS : UNKNOWN_MILLIS;
            nextTryMillis.put(subject, steady.getAsLong() + pause);
        }
    }
}
