package org.lovagethread.core.limit;

import java.util.Map;
import java.util.TreeMap;
import org.lovagethread.core.config.Customer;

/**
 * Enforces this node's share of each customer's rate limit.
 *
 * <p>Each listed node may use an equal share of the limit, whether or not the nodes can reach each other. The shares
 * therefore never add up to more than the limit, even during a network partition.
 */
public final class CustomerLimits {
    private final Map<String, TokenBucket> buckets = new TreeMap<>();
    private int nodeCount = 1;

    /**
     * Sets the number of nodes among which each limit is divided.
     *
     * @param count the number of listed nodes; values less than 1 are treated as 1
     */
    public void setNodeCount(int count) {
        nodeCount = Math.max(1, count);
    }

    /**
     * Returns the earliest time at which the customer's next call can be admitted.
     *
     * @param customer the customer
     * @param nowMillis the current time in milliseconds since the epoch
     * @return a time in milliseconds since the epoch, not before {@code nowMillis}
     */
    public long nextPermitMillis(Customer customer, long nowMillis) {
        return bucket(customer, nowMillis).nextPermitMillis(nowMillis);
    }

    /**
     * Acquires a permit for a call of the customer if one is available.
     *
     * @param customer the customer
     * @param nowMillis the current time in milliseconds since the epoch
     * @return true if the permit was acquired
     */
    public boolean tryAcquire(Customer customer, long nowMillis) {
        return bucket(customer, nowMillis).tryAcquire(nowMillis);
    }

    private TokenBucket bucket(Customer customer, long nowMillis) {
        double share = (double) customer.requestsPerSecond() / nodeCount;
        TokenBucket bucket = buckets.computeIfAbsent(customer.name(), name -> new TokenBucket(share, nowMillis));
        bucket.setRate(share, nowMillis);
        return bucket;
    }
}
