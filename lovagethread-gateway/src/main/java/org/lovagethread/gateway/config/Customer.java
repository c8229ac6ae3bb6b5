package org.lovagethread.gateway.config;

/**
 * Customer whose requests are identified by a key and limited by a quota.
 *
 * @param name the name of the customer, as passed to upstreams
 * @param priority the priority, which takes precedence over the priority of a route; negative if the customer has none
 * @param tokensPerSecond the quota in tokens per second over all gateways; zero if unlimited
 * @param burstTokens the number of tokens that may be granted at once in excess of the rate
 * @param defaultRequestTokens the number of tokens charged for a request that does not state its size
 */
public record Customer(
        String name, int priority, double tokensPerSecond, double burstTokens, int defaultRequestTokens) {}
