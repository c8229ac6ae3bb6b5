package org.lovagethread.gateway.config;

import java.util.Map;
import java.util.Optional;

/**
 * A service that upstreams offer.
 *
 * @param name the name of the service
 * @param mostConnections the most connections that one upstream accepts from all callers together
 * @param engine the properties of its model engines; empty for a plain service
 * @param fleet the bounds and prices for ordering its instances; empty if they cannot be ordered
 */
public record ServiceSpec(String name, int mostConnections, Optional<EngineSpec> engine, Optional<FleetSpec> fleet) {

    /**
     * Properties of the model engines of a service.
     *
     * @param slots the requests that run at once in one engine
     * @param memoryTokens the tokens that the memory of one engine holds
     */
    public record EngineSpec(int slots, long memoryTokens) {}

    /**
     * Bounds and prices for ordering instances of a service.
     *
     * @param least the fewest instances in an availability zone
     * @param most the most instances in an availability zone
     * @param bootMillis the time from an order until an instance serves, in milliseconds
     * @param reclaimablePrice the price of a reclaimable instance relative to others
     * @param zonePrices the price of an instance by availability zone
     */
    public record FleetSpec(
            int least, int most, long bootMillis, double reclaimablePrice, Map<String, Double> zonePrices) {}
}
