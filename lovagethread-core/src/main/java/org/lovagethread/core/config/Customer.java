package org.lovagethread.core.config;

import org.lovagethread.core.Checks;

/**
 * A customer and its share of the capacity.
 *
 * @param name the name by which requests identify the customer
 * @param requestsPerSecond the rate limit across all nodes
 * @param weight the relative share of a contended upstream
 */
public record Customer(String name, int requestsPerSecond, int weight) {

    /** Validates the components. */
    public Customer {
        Checks.notBlank(name, "customer name");
        Checks.inRange(requestsPerSecond, 1, 1_000_000, "requests per second");
        Checks.inRange(weight, 1, 1_000, "weight");
    }
}
