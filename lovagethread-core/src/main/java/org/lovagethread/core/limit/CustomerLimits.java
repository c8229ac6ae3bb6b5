package org.lovagethread.core.limit;

import java.util.Map;
import java.util.TreeMap;
import org.lovagethread.core.config.Customer;

/**
 * Holds each customer's rate limit on this node.
 *
 * <p>Every listed node may use an equal share of the limit, whether the nodes hear each other or not, so the shares
 * never sum to more than the limit.
 */
public final class CustomerLimits {
    private final Map<String, TokenBucket> buckets = new TreeMap<>();
    private int nodes = 1;

    /**
     * Sets the number of nodes that share each limit.
     *
     * @param count the number of listed nodes; values below 1 count as 1
     */
    public void nodes(int count) {
        nodes = Math.max(1, count);
    }

    /**
     * Returns the time at which the customer's next call can be admitted.
     *
     * @param customer the customer
     * @param nowMillis the present time in milliseconds since the epoch
     * @return a time in milliseconds since the epoch, not before {@code nowMillis}
     */
    public long nextPermitMillis(Customer customer, long nowMillis) {
        return bucket(customer, nowMillis).nextPermitMillis(nowMillis);
    }

    /**
     * Takes one permit of the customer if there is one.
     *
     * @param customer the customer
     * @param nowMillis the present time in milliseconds since the epoch
     * @return true if the call is within the limit
     */
    public boolean tryTake(Customer customer, long nowMillis) {
        return bucket(customer, nowMillis).tryTake(nowMillis);
    }

    private TokenBucket bucket(Customer customer, long nowMillis) {
        double share = (double) customer.requestsPerSecond() / nodes;
        TokenBucket bucket = buckets.computeIfAbsent(customer.name(), name -> new TokenBucket(share, nowMillis));
        bucket.rate(share, nowMillis);
        return bucket;
    }
}
