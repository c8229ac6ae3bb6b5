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
    /** Share of the slots of an engine that are in use at the planned load. */
    private static final double PLANNED_SLOT_SHARE = 0.50;

    /** Share of an engine's time that is spent on reading prompts at the planned load. */
    private static final double PLANNED_READ_SHARE = 0.60;

    /** Share of the fleet at the start that is kept at any load. */
    private static final double FLOOR_SHARE = 0.6;

    /** Share of the needed instances that is left if one more zone's reclaimable instances are taken away. */
    private static final double SURVIVING_SHARE = 0.6;

    /** Price of a reclaimable instance, relative to others, from which on none is ordered. */
    private static final double WORTHLESS_PRICE = 0.8;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    /**
     * The load of a service.
     *
     * @param inFlight the requests in progress over all gateways
     * @param tokensPerSecond the tokens that requests bring and ask for, over all gateways
     */
    public record Load(double inFlight, double tokensPerSecond) {}

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
     * @param engine the properties of the engines
     * @param load the load
     * @return the number of instances; at least one
     */
    public int needed(EngineSpec engine, Load load) {
        double bySlots = load.inFlight() / (engine.slots() * PLANNED_SLOT_SHARE);
        double byReading =
                load.tokensPerSecond() / (Placement.READ_TOKENS_PER_MILLI * MILLIS_PER_SECOND * PLANNED_READ_SHARE);
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
        int reclaimableEach = reclaimableWorth ? limited(ceilDiv(needed, survivors), fleet) : 0;
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
