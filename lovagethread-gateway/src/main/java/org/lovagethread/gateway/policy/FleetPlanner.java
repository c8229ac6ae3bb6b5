package org.lovagethread.gateway.policy;

import java.util.ArrayList;
import java.util.List;
import org.lovagethread.gateway.config.ServiceSpec;
import org.lovagethread.gateway.config.ServiceSpec.EngineSpec;
import org.lovagethread.gateway.config.ServiceSpec.FleetSpec;
import org.lovagethread.gateway.duty.DutyApi.FleetOrder;

/**
 * Plans how many instances of a service each availability zone should have.
 *
 * <p>Reclaimable instances carry the load where they are cheaper, spread evenly so that the loss of one zone's leaves
 * enough. Others fill what is missing, in the cheapest zones first. The loads that this answers are a zone's reclaimable
 * instances taken away at once with none to be had for a while, and traffic that rises within seconds.
 */
public final class FleetPlanner {
    /** Share of the slots that generate at the planned load, of those that reading prompts leaves. */
    private static final double PLANNED_SLOT_SHARE = 0.6;

    /** Share of the tokens that requests bring and ask for which engines have to read. */
    private static final double READ_SHARE = 0.6;

    /** Share of an engine's time that reading takes at the planned load; beyond it prompts wait for each other. */
    private static final double PLANNED_READING = 0.40;

    /** Prompt tokens that wait at an engine when its load is as planned or a little higher. */
    private static final double WAITING_TOKENS = 40_000;

    /** Requests that generate for each engine that is busy with reading, where nothing is known of the load yet. */
    private static final double GENERATING_PER_READER = 24;

    /** Share of the customers' quotas that is expected when traffic begins. */
    private static final double EXPECTED_QUOTA_SHARE = 0.5;

    /** Part of a fleet's time that reading takes at the most in the correction of a measured load. */
    private static final double MOST_READING = 0.6;

    /** Share of the fleet at the start that is kept at any load. */
    private static final double FLOOR_SHARE = 0.6;

    /** Reclaimable instances that are ordered for each needed one, since several zones may lose theirs in turn. */
    private static final double SPARE_FACTOR = 1.2;

    /** Share of the needed instances that is left if one more zone's reclaimable instances are taken away. */
    private static final double SURVIVING_SHARE = 0.6;

    /** Price of a reclaimable instance, relative to others, from which on none is ordered. */
    private static final double WORTHLESS_PRICE = 0.8;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    /**
     * The load of a service.
     *
     * @param generating the requests over all gateways that have produced an event and are not complete
     * @param tokensPerSecond the tokens that requests bring and ask for, over all gateways
     * @param unreadTokens the prompt tokens that engines have still to read, smoothed over some seconds
     * @param instances the instances at work
     */
    public record Load(double generating, double tokensPerSecond, double unreadTokens, int instances) {}

    /**
     * The instances of a service in one availability zone that are at work.
     *
     * @param zone the availability zone
     * @param reclaimable the reclaimable instances that do not leave
     * @param steady the other instances that do not leave
     */
    public record ZoneFleet(String zone, int reclaimable, int steady) {}

    /**
     * Returns the number of instances that are kept at any load, so that traffic that begins at once is met.
     *
     * @param atFirst the instances that were at work when this gateway started
     * @return the number of instances; at least one
     */
    public int floor(int atFirst) {
        return Math.max(1, (int) Math.ceil(atFirst * FLOOR_SHARE));
    }

    /**
     * Returns the number of instances that carry a load.
     *
     * <p>Reading and generating share an engine's time, so a fleet that reads much generates slowly; the requests that
     * would generate without that are estimated from the instances at work. Requests that only wait count by their
     * prompts alone, since a fleet that is too small would seem to need far too many.
     *
     * @param engine the properties of the engines
     * @param load the load
     * @return the number of instances; at least one
     */
    public int needed(EngineSpec engine, Load load) {
        double readers = readers(load.tokensPerSecond());
        double reading = Math.min(MOST_READING, readers / Math.max(1, load.instances()));
        int waiting = (int) Math.ceil(readers + load.unreadTokens() / WAITING_TOKENS);
        return Math.max(waiting, carrying(engine, readers, load.generating() * (1 - reading)));
    }

    /**
     * Returns the number of instances for traffic that is expected before any was seen.
     *
     * @param engine the properties of the engines
     * @param quotaTokensPerSecond the sum of the customers' quotas; zero if unknown
     * @return the number of instances; at least one
     */
    public int expected(EngineSpec engine, double quotaTokensPerSecond) {
        double readers = readers(quotaTokensPerSecond * EXPECTED_QUOTA_SHARE);
        return carrying(engine, readers, readers * GENERATING_PER_READER);
    }

    private static double readers(double tokensPerSecond) {
        return READ_SHARE * tokensPerSecond / (Placement.READ_TOKENS_PER_MILLI * MILLIS_PER_SECOND);
    }

    private static int carrying(EngineSpec engine, double readers, double generating) {
        double bySlots = readers + generating / (engine.slots() * PLANNED_SLOT_SHARE);
        double byReading = readers / PLANNED_READING;
        return Math.max(1, (int) Math.ceil(Math.max(bySlots, byReading)));
    }

    /**
     * Returns the orders that describe the wanted fleet.
     *
     * @param service the service; it must have a fleet
     * @param zones the instances at work, one entry for each zone in which the service may run
     * @param needed the number of instances that carry the load
     * @return one order for each zone and kind of instance
     */
    public List<FleetOrder> plan(ServiceSpec service, List<ZoneFleet> zones, int needed) {
        FleetSpec fleet = service.fleet().orElseThrow();
        boolean reclaimableWorth = fleet.reclaimablePrice() > 0 && fleet.reclaimablePrice() < WORTHLESS_PRICE;
        int survivors = Math.max(1, zones.size() - 1);
        int wanted = (int) Math.ceil(needed * SPARE_FACTOR);
        int reclaimableEach = reclaimableWorth ? limited(ceilDiv(wanted, survivors), fleet) : 0;
        int missing = reclaimableWorth ? missing(zones, needed) : needed;
        List<FleetOrder> orders = new ArrayList<>();
        int left = zones.size();
        for (ZoneFleet zone : cheapestFirst(zones, fleet)) {
            int steady = Math.min(fleet.most() - Math.min(fleet.most(), zone.reclaimable()), ceilDiv(missing, left));
            if (!reclaimableWorth) {
                steady = limited(steady, fleet);
            }
            missing = Math.max(0, missing - steady);
            left--;
            orders.add(new FleetOrder(service.name(), zone.zone(), steady, false));
            if (reclaimableWorth) {
                int reclaimable = Math.min(reclaimableEach, fleet.most() - steady);
                orders.add(new FleetOrder(service.name(), zone.zone(), reclaimable, true));
            }
        }
        return orders;
    }

    /** Returns the instances that are missing now, or would be if the next zone's reclaimable ones were taken away. */
    private static int missing(List<ZoneFleet> zones, int needed) {
        int ready = zones.stream().mapToInt(ZoneFleet::reclaimable).sum();
        int largest = zones.stream().mapToInt(ZoneFleet::reclaimable).max().orElse(0);
        int afterLoss = (int) Math.ceil(needed * SURVIVING_SHARE) - (ready - largest);
        return Math.max(0, Math.max(needed - ready, afterLoss));
    }

    private static List<ZoneFleet> cheapestFirst(List<ZoneFleet> zones, FleetSpec fleet) {
        List<ZoneFleet> sorted = new ArrayList<>(zones);
        sorted.sort((one, other) -> Double.compare(price(one, fleet), price(other, fleet)));
        return sorted;
    }

    private static double price(ZoneFleet zone, FleetSpec fleet) {
        return fleet.zonePrices().getOrDefault(zone.zone(), 1.0);
    }

    private static int limited(int count, FleetSpec fleet) {
        return Math.max(fleet.least(), Math.min(fleet.most(), count));
    }

    private static int ceilDiv(int value, int divisor) {
        return (value + divisor - 1) / divisor;
    }
}
