package org.lovagethread.gateway.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.lovagethread.gateway.config.ServiceSpec;
import org.lovagethread.gateway.config.ServiceSpec.EngineSpec;
import org.lovagethread.gateway.config.ServiceSpec.FleetSpec;
import org.lovagethread.gateway.duty.DutyApi.FleetOrder;
import org.lovagethread.gateway.engine.EngineEstimate;

/**
 * Plans the number of instances of a service in each availability zone.
 *
 * <p>Reclaimable instances serve the load where they are cheaper. They are distributed by the demand of the zones, evenly
 * if it is unknown, so that enough of them remain if one zone loses all of its reclaimable instances. On-demand instances cover the shortfall, in the
 * cheapest zones first.
 *
 * <p>This handles the reclaim of all reclaimable instances of a zone at once while no replacements are available, and
 * traffic that rises within seconds.
 */
public final class FleetPlanner {
    /** Target share of generating slots among those not lost to prompt processing. */
    private static final double TARGET_SLOT_UTILIZATION = 0.6;

    /** Headroom of reclaimable instances: the load may double before new instances are ready. */
    public static final double RECLAIMABLE_HEADROOM = 2;

    /** Headroom of on-demand instances, which cost several times as much. */
    public static final double ON_DEMAND_HEADROOM = 1.5;

    /** Time in which an engine should process its queued prompts, as a multiple of the target latency. */
    private static final double MAX_QUEUE_TARGETS = 1.5;

    /** Share of the customers' quotas that is expected to be used when traffic starts. */
    private static final double EXPECTED_QUOTA_SHARE = 0.5;

    /** Maximum share of engine time spent on prompt processing when a measured load is corrected for it. */
    private static final double MAX_PROMPT_UTILIZATION = 0.6;

    /** Share of the initial fleet that is kept at any load. */
    private static final double MIN_FLEET_SHARE = 0.6;

    /** Reclaimable instances ordered per needed instance, since several zones may lose theirs one after the other. */
    private static final double SPARE_FACTOR = 1.1;

    /** Share of the needed instances that must remain if another zone loses its reclaimable instances. */
    private static final double SURVIVING_SHARE = 0.6;

    /** Price of a reclaimable instance relative to on-demand ones at and above which none is ordered. */
    private static final double RECLAIMABLE_PRICE_LIMIT = 0.8;

    /** Missing capacity in instances that causes no order, since the speeds of instances are estimated. */
    private static final double CAPACITY_TOLERANCE = 0.25;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    /**
     * Load of a service.
     *
     * @param generating the number of requests, over all gateways, that have produced an event and are not complete
     * @param tokensPerSecond the prompt tokens and requested output tokens per second, over all gateways
     * @param unreadTokens the prompt tokens that engines still have to process, smoothed over some seconds
     * @param instances the number of running instances
     */
    public record Load(double generating, double tokensPerSecond, double unreadTokens, int instances) {}

    /**
     * Running instances of a service in one availability zone.
     *
     * @param zone the availability zone
     * @param reclaimable the number of reclaimable instances that are running or starting and not leaving
     * @param onDemand the number of on-demand instances that are not leaving
     * @param reclaimableCapacity the sum of the speeds of the reclaimable instances; their number if all are equal
     */
    public record ZoneFleet(String zone, int reclaimable, int onDemand, double reclaimableCapacity) {
        /**
         * Creates a fleet of instances of mean speed.
         *
         * @param zone the availability zone
         * @param reclaimable the number of reclaimable instances that are running or starting and not leaving
         * @param onDemand the number of on-demand instances that are not leaving
         */
        public ZoneFleet(String zone, int reclaimable, int onDemand) {
            this(zone, reclaimable, onDemand, (double) reclaimable);
        }
    }

    /**
     * Returns the number of instances that are kept at any load, as a reserve for a sudden start of traffic.
     *
     * @param initialInstances the number of instances that were running when this gateway started
     * @return the number of instances; at least one
     */
    public int minInstances(int initialInstances) {
        return Math.max(1, (int) Math.ceil(initialInstances * MIN_FLEET_SHARE));
    }

    /**
     * Returns the number of instances needed for a load.
     *
     * <p>Prompt processing and generation share an engine's time, so a fleet that processes many prompts generates
     * slowly. The number of generating requests without this slowdown is estimated from the running instances. Requests
     * that are only waiting count by their prompt tokens alone; otherwise the need of an undersized fleet would be
     * greatly overestimated.
     *
     * @param engine the properties of the engines
     * @param estimate the estimated performance of the engines
     * @param targetMillis the target time to the first event in milliseconds
     * @param headroom the ratio of the load that the instances should be able to serve to the measured load
     * @param load the load
     * @return the number of instances; at least one
     */
    public int requiredInstances(
            EngineSpec engine, EngineEstimate estimate, double targetMillis, double headroom, Load load) {
        double promptEngines = promptEngines(estimate, load.tokensPerSecond());
        double promptUtilization = Math.min(MAX_PROMPT_UTILIZATION, promptEngines / Math.max(1, load.instances()));
        int forQueue = (int) Math.ceil(
                promptEngines + estimate.processingMillis(load.unreadTokens()) / (MAX_QUEUE_TARGETS * targetMillis));
        double generating = load.generating() * (1 - promptUtilization);
        double utilization = PromptQueue.maxUtilization(estimate, targetMillis) / headroom;
        return Math.max(forQueue, instancesFor(engine, utilization, promptEngines, generating));
    }

    /**
     * Returns the number of instances needed for the traffic that is expected before any load has been measured.
     *
     * @param engine the properties of the engines
     * @param estimate the estimated performance of the engines
     * @param targetMillis the target time to the first event in milliseconds
     * @param quotaTokensPerSecond the sum of the customers' quotas; zero if unknown
     * @return the number of instances; at least one
     */
    public int expectedInstances(
            EngineSpec engine, EngineEstimate estimate, double targetMillis, double quotaTokensPerSecond) {
        double tokensPerSecond = quotaTokensPerSecond * EXPECTED_QUOTA_SHARE;
        double streamsPerSecond = tokensPerSecond / estimate.requestedTokens();
        double generating = streamsPerSecond * estimate.streamMillis() / MILLIS_PER_SECOND;
        double utilization = PromptQueue.maxUtilization(estimate, targetMillis) / RECLAIMABLE_HEADROOM;
        return instancesFor(engine, utilization, promptEngines(estimate, tokensPerSecond), generating);
    }

    private static double promptEngines(EngineEstimate estimate, double tokensPerSecond) {
        return estimate.processingMillis(estimate.unreadShare() * tokensPerSecond) / MILLIS_PER_SECOND;
    }

    private static int instancesFor(
            EngineSpec engine, double promptUtilization, double promptEngines, double generating) {
        double bySlots = promptEngines + generating / (engine.slots() * TARGET_SLOT_UTILIZATION);
        double byPrompts = promptEngines / promptUtilization;
        return Math.max(1, (int) Math.ceil(Math.max(bySlots, byPrompts)));
    }

    /**
     * Returns the orders that describe the planned fleet.
     *
     * @param service the service; it must have a fleet
     * @param zones the running instances, one entry per zone in which the service may run
     * @param needed the number of instances needed for the load if reclaimable ones are available
     * @param minNeeded the number of instances needed for the load in any case
     * @return one order per zone and kind of instance
     */
    public List<FleetOrder> plan(ServiceSpec service, List<ZoneFleet> zones, int needed, int minNeeded) {
        return plan(service, zones, needed, minNeeded, Map.of());
    }

    /**
     * Returns the orders that describe the planned fleet, distributed by the demand of the zones.
     *
     * <p>The total is that of an even distribution. No zone has more reclaimable instances than it may lose while those
     * of the other zones still serve the load.
     *
     * @param service the service; it must have a fleet
     * @param zones the running instances, one entry per zone in which the service may run
     * @param needed the number of instances needed for the load if reclaimable ones are available
     * @param minNeeded the number of instances needed for the load in any case
     * @param shareByZone the share of each zone in the demand; empty for an even distribution
     * @return one order per zone and kind of instance
     */
    public List<FleetOrder> plan(
            ServiceSpec service, List<ZoneFleet> zones, int needed, int minNeeded, Map<String, Double> shareByZone) {
        FleetSpec fleet = service.fleet().orElseThrow();
        boolean useReclaimable = fleet.reclaimablePrice() > 0 && fleet.reclaimablePrice() < RECLAIMABLE_PRICE_LIMIT;
        int remainingZones = Math.max(1, zones.size() - 1);
        int withSpares = (int) Math.ceil(needed * SPARE_FACTOR);
        int reclaimableEach = useReclaimable ? clampToLimits(ceilDiv(withSpares, remainingZones), fleet) : 0;
        int missingInstances = useReclaimable ? missingInstances(zones, minNeeded) : minNeeded;
        Map<String, Integer> reclaimableCounts = reclaimableCounts(zones, fleet, reclaimableEach, needed, shareByZone);
        Map<String, Integer> onDemandCounts = useReclaimable || shareByZone.isEmpty()
                ? Map.of()
                : ZoneDistribution.distribute(
                        names(zones), minNeeded, fleet.minInstances(), fleet.maxInstances(), shareByZone);
        List<FleetOrder> orders = new ArrayList<>();
        int zonesLeft = zones.size();
        for (ZoneFleet zone : cheapestFirst(zones, fleet)) {
            int onDemand = Math.min(
                    fleet.maxInstances() - Math.min(fleet.maxInstances(), zone.reclaimable()),
                    onDemandCounts.getOrDefault(zone.zone(), ceilDiv(missingInstances, zonesLeft)));
            if (!useReclaimable) {
                onDemand = clampToLimits(onDemand, fleet);
            }
            missingInstances = Math.max(0, missingInstances - onDemand);
            zonesLeft--;
            orders.add(new FleetOrder(service.name(), zone.zone(), onDemand, false));
            if (useReclaimable) {
                int reclaimable = Math.min(reclaimableCounts.get(zone.zone()), fleet.maxInstances() - onDemand);
                orders.add(new FleetOrder(service.name(), zone.zone(), reclaimable, true));
            }
        }
        return orders;
    }

    /** Returns the reclaimable instances by zone: as many in each, or by the shares of the zones in the demand. */
    private static Map<String, Integer> reclaimableCounts(
            List<ZoneFleet> zones, FleetSpec fleet, int countEach, int needed, Map<String, Double> shareByZone) {
        int total = countEach * zones.size();
        int largest = shareByZone.isEmpty() ? countEach : Math.max(countEach, total - needed);
        return ZoneDistribution.distribute(
                names(zones),
                total,
                Math.min(countEach, fleet.minInstances()),
                Math.min(fleet.maxInstances(), largest),
                shareByZone);
    }

    private static List<String> names(List<ZoneFleet> zones) {
        return zones.stream().map(ZoneFleet::zone).toList();
    }

    /** Returns the number of missing instances, now or after the loss of one more zone's reclaimable instances. */
    private static int missingInstances(List<ZoneFleet> zones, int needed) {
        double available =
                zones.stream().mapToDouble(ZoneFleet::reclaimableCapacity).sum();
        double largestZone =
                zones.stream().mapToDouble(ZoneFleet::reclaimableCapacity).max().orElse(0);
        double afterLoss = Math.ceil(needed * SURVIVING_SHARE) - (available - largestZone);
        return Math.max(0, (int) Math.ceil(Math.max(needed - available, afterLoss) - CAPACITY_TOLERANCE));
    }

    private static List<ZoneFleet> cheapestFirst(List<ZoneFleet> zones, FleetSpec fleet) {
        List<ZoneFleet> sorted = new ArrayList<>(zones);
        sorted.sort((one, other) -> Double.compare(price(one, fleet), price(other, fleet)));
        return sorted;
    }

    private static double price(ZoneFleet zone, FleetSpec fleet) {
        return fleet.zonePrices().getOrDefault(zone.zone(), 1.0);
    }

    private static int clampToLimits(int count, FleetSpec fleet) {
        return Math.max(fleet.minInstances(), Math.min(fleet.maxInstances(), count));
    }

    private static int ceilDiv(int value, int divisor) {
        return (value + divisor - 1) / divisor;
    }
}
