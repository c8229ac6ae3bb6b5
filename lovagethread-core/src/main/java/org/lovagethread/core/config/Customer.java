package org.lovagethread.core.config;

import org.lovagethread.core.Checks;

/**
 * Declares one customer and its share of the system.
 *
 * @param name the name that calls carry
 * @param requestsPerSecond the rate limit over all nodes together
 * @param weight the share of a contended upstream, relative to the other customers
 */
public record Customer(String name, int requestsPerSecond, int weight) {

    /** Validates the fields. */
    public Customer {
        Checks.notBlank(name, "customer name");
        Checks.inRange(requestsPerSecond, 1, 1_000_000, "requests per second");
        Checks.inRange(weight, 1, 1_000, "weight");
    }
}
