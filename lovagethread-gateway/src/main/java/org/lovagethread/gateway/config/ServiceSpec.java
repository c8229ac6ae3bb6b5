package org.lovagethread.gateway.config;

import java.util.Map;
import java.util.Optional;

/**
 * Specification of a service that is provided by upstreams.
 *
 * @param name the name of the service
 * @param maxConnections the maximum number of connections that one upstream accepts from all callers together
 * @param engine the properties of the model engines; empty for a plain service
 * @param fleet the limits and prices for ordering instances; empty if instances cannot be ordered
 */
public record ServiceSpec(String name, int maxConnections, Optional<EngineSpec> engine, Optional<FleetSpec> fleet) {

    /**
     * Properties of the model engines of a service.
     *
     * @param slots the maximum number of requests that one engine runs concurrently
     * @param memoryTokens the capacity of the memory of one engine, in tokens
     */
    public record EngineSpec(int slots, long memoryTokens) {}

    /**
     * Limits and prices for ordering instances of a service.
     *
     * @param minInstances the minimum number of instances per availability zone
     * @param maxInstances the maximum number of instances per availability zone
     * @param bootMillis the time from an order until the instance accepts requests, in milliseconds
     * @param reclaimablePrice the price of a reclaimable instance relative to an on-demand instance
     * @param zonePrices the price of an instance by availability zone
     */
    public record FleetSpec(
            int minInstances,
            int maxInstances,
            long bootMillis,
            double reclaimablePrice,
            Map<String, Double> zonePrices) {}
}
