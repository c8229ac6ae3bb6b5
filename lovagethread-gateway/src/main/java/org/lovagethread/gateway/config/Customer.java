package org.lovagethread.gateway.config;

/**
 * A customer whose requests are told apart by a key and bounded by a quota.
 *
 * @param name the name of the customer, as upstreams are told
 * @param priority the rank that goes before that of a route; negative if the customer has none
 * @param tokensPerSecond the quota in tokens a second over all gateways; zero if unlimited
 * @param burstTokens the tokens allowed beyond the rate at once
 * @param plainTokens the tokens that a request without a stated size counts
 */
public record Customer(String name, int priority, double tokensPerSecond, double burstTokens, int plainTokens) {}
