package org.lovagethread.gateway.duty;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.lovagethread.gateway.config.GatewayConfiguration;
import org.lovagethread.gateway.config.ServiceSpec;
import org.lovagethread.gateway.duty.DutyApi.FleetOrder;
import org.lovagethread.gateway.engine.EngineModels;
import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.policy.FleetPlanner;
import org.lovagethread.gateway.policy.FleetPlanner.ZoneFleet;
import org.lovagethread.gateway.upstream.Upstream;
import org.lovagethread.gateway.upstream.UpstreamEntry;
import org.lovagethread.gateway.upstream.UpstreamSpeed;
import org.lovagethread.gateway.upstream.UpstreamTable;

/** Orders instances of services while this gateway holds the lease. */
public final class FleetManager {
    /** Time for which an accepted order counts as starting instances, as a multiple of the time that they take. */
    private static final double START_TOLERANCE = 1.25;

    /** Time after the start in which the running fleet is discovered and no orders are sent, in milliseconds. */
    private static final long DISCOVERY_MILLIS = 2_500;

    /** Delay before a refused order is retried, in milliseconds. */
    private static final long REFUSED_RETRY_MILLIS = 3_000;

    /** Delay before an order with unknown outcome is retried, in milliseconds. */
    private static final long UNKNOWN_RETRY_MILLIS = 500;

    private final DutyApi api;
    private final UpstreamTable upstreams;
    private final FleetPlanner planner = new FleetPlanner();
    private final FleetDemand demand;
    private final ZoneDemand zoneDemand = new ZoneDemand();
    private final Map<String, Map<String, Double>> zoneShares = new HashMap<>();
    private final LongSupplier monotonicClock;
    private final Supplier<OptionalLong> fencingToken;
    private final EventLog log;
    private final Map<OrderTarget, Integer> acceptedCounts = new HashMap<>();
    private final Map<OrderTarget, Long> nextAttemptMillis = new HashMap<>();
    private final Map<String, Long> nextProbeMillis = new HashMap<>();
    private final Map<OrderTarget, Integer> startingCounts = new HashMap<>();
    private final Map<OrderTarget, Long> startDeadlineMillis = new HashMap<>();
    private final Map<String, Integer> plannedInstances = new HashMap<>();
    private OptionalLong term = OptionalLong.empty();

    /** Target of an order. */
    private record OrderTarget(String service, String zone, boolean reclaimable) {
        // Implemented explicitly, because linking the generated methods at run time delays the start of the process by
        // tens of milliseconds.
        @Override
        public boolean equals(Object other) {
            return other instanceof OrderTarget target
                    && service.equals(target.service)
                    && zone.equals(target.zone)
                    && reclaimable == target.reclaimable;
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
     * @param models the performance models of the engines
     * @param monotonicClock a monotonic clock in milliseconds
     * @param fencingToken supplies the fencing token if a call may be started
     * @param log receives a line for each order
     */
    public FleetManager(
            DutyApi api,
            UpstreamTable upstreams,
            EngineModels models,
            LongSupplier monotonicClock,
            Supplier<OptionalLong> fencingToken,
            EventLog log) {
        this.api = api;
        this.upstreams = upstreams;
        this.demand = new FleetDemand(upstreams, models, planner);
        this.monotonicClock = monotonicClock;
        this.fencingToken = fencingToken;
        this.log = log;
    }

    /**
     * Distributes instances over zones by the demand of the zones instead of evenly.
     *
     * @param demandByZone provides the demand of a service by availability zone, in tokens per second; empty if unknown
     */
    public void followDemand(Function<String, Map<String, Double>> demandByZone) {
        zoneDemand.source(demandByZone);
    }

    /**
     * Sends the orders that are due.
     *
     * @param configuration the active configuration
     * @param tokensPerSecond the prompt tokens and requested output tokens per second, over all gateways
     */
    public void tick(GatewayConfiguration configuration, double tokensPerSecond) {
        long now = monotonicClock.getAsLong();
        OptionalLong token = fencingToken.get();
        if (token.isPresent() && !token.equals(term)) {
            term = token;
            acceptedCounts.clear();
            startDeadlineMillis.clear();
            nextAttemptMillis.clear();
        }
        for (ServiceSpec service : configuration.services().values()) {
            if (service.fleet().isPresent() && service.engine().isPresent()) {
                tick(configuration, service, tokensPerSecond, now);
            }
        }
    }

    private void tick(GatewayConfiguration configuration, ServiceSpec service, double tokensPerSecond, long nowMillis) {
        if (nowMillis < DISCOVERY_MILLIS) {
            demand.recordInitialInstances(service);
        }
        zoneShares.put(
                service.name(),
                zoneDemand.update(
                        service.name(),
                        service.fleet().orElseThrow().zonePrices().keySet()));
        FleetDemand.Need need = demand.measure(configuration, service, tokensPerSecond, nowMillis);
        if (fencingToken.get().isEmpty() || nowMillis < DISCOVERY_MILLIS) {
            return;
        }
        if (!Integer.valueOf(need.needed()).equals(plannedInstances.put(service.name(), need.needed()))) {
            log.add(need.addTo(log.line("fleet-plan").put("service", service.name())));
        }
        // Reclaimable instances are ordered first, so on-demand ones are ordered only for what they will not cover.
        plan(service, need, runningFleets(service, nowMillis), true)
                .forEach(order -> sendOrder(service, order, nowMillis));
        onDemandOrders(service, need, nowMillis).forEach(order -> sendOrder(service, order, nowMillis));
    }

    private List<FleetOrder> plan(
            ServiceSpec service, FleetDemand.Need need, List<ZoneFleet> fleets, boolean reclaimable) {
        return planner.plan(service, fleets, need.needed(), need.minNeeded(), zoneShares.get(service.name())).stream()
                .filter(order -> order.reclaimable() == reclaimable)
                .toList();
    }

    /**
     * Returns the orders of on-demand instances. No more of them are ordered while enough reclaimable instances are
     * starting, but those that run are kept until these have started.
     */
    private List<FleetOrder> onDemandOrders(ServiceSpec service, FleetDemand.Need need, long nowMillis) {
        List<ZoneFleet> running = runningFleets(service, nowMillis);
        List<FleetOrder> orders =
                new ArrayList<>(plan(service, need, startedFleets(service, running, nowMillis), false));
        for (FleetOrder present : plan(service, need, running, false)) {
            int kept = Math.min(present.count(), presentOnDemand(present, running));
            orders.replaceAll(order -> order.zone().equals(present.zone()) && order.count() < kept
                    ? new FleetOrder(order.service(), order.zone(), kept, false)
                    : order);
        }
        return orders;
    }

    /** Returns the on-demand instances of an order's zone that were ordered or, by an earlier holder, are running. */
    private int presentOnDemand(FleetOrder order, List<ZoneFleet> running) {
        OrderTarget target = new OrderTarget(order.service(), order.zone(), false);
        int runningInZone = running.stream()
                .filter(fleet -> fleet.zone().equals(order.zone()))
                .mapToInt(ZoneFleet::onDemand)
                .sum();
        return Math.max(runningInZone, acceptedCounts.getOrDefault(target, 0));
    }

    /** Returns the running instances, one entry per zone in which the service may run. */
    private List<ZoneFleet> runningFleets(ServiceSpec service, long nowMillis) {
        Map<String, ZoneFleet> zones = new TreeMap<>();
        for (String zone : service.fleet().orElseThrow().zonePrices().keySet()) {
            zones.put(zone, new ZoneFleet(zone, 0, 0));
        }
        List<Upstream> running = upstreams.available(service.name());
        double meanSpeed = UpstreamSpeed.mean(running, nowMillis);
        for (Upstream upstream : running) {
            UpstreamEntry entry = upstream.entry();
            int reclaimable = entry.reclaimable() ? 1 : 0;
            double capacity = upstream.speed().factor(nowMillis) / meanSpeed;
            zones.computeIfPresent(
                    entry.zone(),
                    (zone, fleet) -> new ZoneFleet(
                            zone,
                            fleet.reclaimable() + reclaimable,
                            fleet.onDemand() + 1 - reclaimable,
                            fleet.reclaimableCapacity() + reclaimable * capacity));
        }
        return List.copyOf(zones.values());
    }

    /** Returns the instances that will run when the reclaimable ones that are starting have started. */
    private List<ZoneFleet> startedFleets(ServiceSpec service, List<ZoneFleet> running, long nowMillis) {
        Set<String> reclaimedZones = zonesWithLeavingInstances(service);
        return running.stream()
                .map(fleet -> reclaimedZones.contains(fleet.zone())
                        ? fleet
                        : withStarting(fleet, starting(service, fleet.zone(), nowMillis)))
                .toList();
    }

    /** Returns the fleet when an order has been completed; instances that are starting count as of mean speed. */
    private static ZoneFleet withStarting(ZoneFleet fleet, int ordered) {
        int starting = Math.max(0, ordered - fleet.reclaimable());
        return new ZoneFleet(
                fleet.zone(), fleet.reclaimable() + starting, fleet.onDemand(), fleet.reclaimableCapacity() + starting);
    }

    /** Returns the zones in which reclaimable instances are leaving, so those that start may be lost as well. */
    private Set<String> zonesWithLeavingInstances(ServiceSpec service) {
        Set<String> reclaimed = new HashSet<>();
        for (Upstream upstream : upstreams.all()) {
            UpstreamEntry entry = upstream.entry();
            if (entry.service().equals(service.name()) && entry.reclaimable() && entry.leaving()) {
                reclaimed.add(entry.zone());
            }
        }
        return reclaimed;
    }

    /**
     * Returns the number of reclaimable instances that will run in a zone when those of the last order have started.
     */
    private int starting(ServiceSpec service, String zone, long nowMillis) {
        OrderTarget target = new OrderTarget(service.name(), zone, true);
        return nowMillis < startDeadlineMillis.getOrDefault(target, 0L) ? startingCounts.getOrDefault(target, 0) : 0;
    }

    private void sendOrder(ServiceSpec service, FleetOrder order, long nowMillis) {
        OrderTarget target = new OrderTarget(order.service(), order.zone(), order.reclaimable());
        boolean alreadyAccepted = acceptedCounts.getOrDefault(target, -1) == order.count();
        if (alreadyAccepted || nextAttemptMillis.getOrDefault(target, 0L) > nowMillis) {
            return;
        }
        if (order.reclaimable() && nextProbeMillis.containsKey(order.service())) {
            if (nextProbeMillis.get(order.service()) > nowMillis) {
                return;
            }
            nextProbeMillis.put(order.service(), nowMillis + REFUSED_RETRY_MILLIS);
        } else if (order.reclaimable()) {
            startingCounts.put(target, order.count());
            startDeadlineMillis.put(target, nowMillis + startMillis(service));
        }
        nextAttemptMillis.put(target, nowMillis + REFUSED_RETRY_MILLIS);
        long token = term.orElseThrow();
        api.order(token, order, outcome -> onOutcome(service, order, token, outcome));
    }

    private void onOutcome(ServiceSpec service, FleetOrder order, long token, DutyApi.Outcome outcome) {
        OrderTarget target = new OrderTarget(order.service(), order.zone(), order.reclaimable());
        log.add(log.line("fleet-order")
                .put("service", order.service())
                .put("zone", order.zone())
                .put("count", order.count())
                .put("reclaimable", order.reclaimable())
                .put("fence", token)
                .put("outcome", outcome.name()));
        if (outcome == DutyApi.Outcome.ACCEPTED) {
            acceptedCounts.put(target, order.count());
            nextAttemptMillis.remove(target);
            if (order.reclaimable()) {
                startingCounts.put(target, order.count());
                startDeadlineMillis.put(target, monotonicClock.getAsLong() + startMillis(service));
                nextProbeMillis.remove(order.service());
            }
        } else if (outcome == DutyApi.Outcome.REFUSED && order.reclaimable()) {
            startDeadlineMillis.remove(target);
            nextAttemptMillis.remove(target);
            nextProbeMillis.putIfAbsent(order.service(), monotonicClock.getAsLong() + REFUSED_RETRY_MILLIS);
        } else {
            long delay = outcome == DutyApi.Outcome.REFUSED ? REFUSED_RETRY_MILLIS : UNKNOWN_RETRY_MILLIS;
            nextAttemptMillis.put(target, monotonicClock.getAsLong() + delay);
        }
    }

    private static long startMillis(ServiceSpec service) {
        return (long) (START_TOLERANCE * service.fleet().orElseThrow().bootMillis());
    }
}
