package org.lovagethread.gateway.policy;

import java.util.HashMap;
import java.util.Map;
import org.lovagethread.gateway.config.Customer;

/**
 * Keeps each customer within its quota of tokens over all gateways.
 *
 * <p>Every gateway models one bucket for each customer and charges it with its own grants and with the totals that peers
 * tell. A peer that is not heard is charged an even share of the rate until it is heard again or known to be gone.
 */
public final class TokenQuota {
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final Map<String, Bucket> buckets = new HashMap<>();
    private final RateMeter granted = new RateMeter();

    private static final class Bucket {
        private final Map<String, Long> peerTotals = new HashMap<>();
        private final Map<String, Long> peerCharges = new HashMap<>();
        private double level;
        private long filledAtMillis;
        private long ownTotal;
        private boolean started;
    }

    /**
     * Grants a request if the customer's quota allows it.
     *
     * @param customer the customer
     * @param tokens the tokens that the request counts
     * @param silentShare the part of the rate, from zero to one, that peers which are not heard may be using
     * @param nowMillis the present time in milliseconds
     * @return true if the request is within the quota and has been charged
     */
    public boolean tryTake(Customer customer, long tokens, double silentShare, long nowMillis) {
        Bucket bucket = buckets.computeIfAbsent(customer.name(), name -> new Bucket());
        if (customer.tokensPerSecond() <= 0) {
            bucket.ownTotal += tokens;
            granted.add(tokens, nowMillis);
            return true;
        }
        refill(bucket, customer, silentShare, nowMillis);
        if (bucket.level < Math.min((double) tokens, customer.burstTokens())) {
            return false;
        }
        bucket.level -= (double) tokens;
        bucket.ownTotal += tokens;
        granted.add(tokens, nowMillis);
        return true;
    }

    /**
     * Gives back what was charged for a request that did not run.
     *
     * @param customer the name of the customer
     * @param tokens the tokens that were charged
     */
    public void refund(String customer, long tokens) {
        Bucket bucket = buckets.get(customer);
        if (bucket != null) {
            bucket.level += (double) tokens;
            bucket.ownTotal -= tokens;
        }
    }

    /**
     * Returns the time until a refused request could be granted.
     *
     * @param customer the customer
     * @param tokens the tokens that the request counts
     * @return milliseconds until the bucket holds enough if nothing else is granted
     */
    public long waitMillis(Customer customer, long tokens) {
        Bucket bucket = buckets.get(customer.name());
        if (bucket == null || customer.tokensPerSecond() <= 0) {
            return 0;
        }
        double missing = Math.min((double) tokens, customer.burstTokens()) - bucket.level;
        return Math.max(0, (long) (missing * MILLIS_PER_SECOND / customer.tokensPerSecond()));
    }

    /**
     * Charges what a peer has granted since it was last heard.
     *
     * @param peer the peer's name and incarnation
     * @param customer the name of the customer
     * @param total the tokens that the peer has granted since its start
     * @param nowMillis the present time in milliseconds
     */
    public void heard(String peer, String customer, long total, long nowMillis) {
        Bucket bucket = buckets.computeIfAbsent(customer, name -> new Bucket());
        Long previous = bucket.peerTotals.put(peer, total);
        if (previous != null && total > previous) {
            granted.add(total - previous, nowMillis);
            bucket.peerCharges.merge(peer, total - previous, Long::sum);
        }
        if (previous != null && bucket.started) {
            bucket.level -= Math.max(0, total - previous);
        }
    }

    /**
     * Returns the tokens granted each second by all gateways.
     *
     * @param nowMillis the present time in milliseconds
     * @return the rate over the last seconds
     */
    public double tokensPerSecond(long nowMillis) {
        return granted.perSecond(nowMillis);
    }

    /**
     * Returns the tokens granted by this gateway since its start.
     *
     * @return totals by customer
     */
    public Map<String, Long> totals() {
        Map<String, Long> totals = new HashMap<>();
        buckets.forEach((customer, bucket) -> {
            if (bucket.ownTotal > 0) {
                totals.put(customer, bucket.ownTotal);
            }
        });
        return totals;
    }

    /**
     * Returns the tokens granted since the start of this gateway by it and by peers whose names do not begin with a prefix.
     *
     * @param prefix the prefix
     * @return totals by customer
     */
    public Map<String, Long> cellTotals(String prefix) {
        Map<String, Long> totals = new HashMap<>();
        buckets.forEach((customer, bucket) -> {
            long sum = bucket.ownTotal;
            for (Map.Entry<String, Long> charge : bucket.peerCharges.entrySet()) {
                sum += charge.getKey().startsWith(prefix) ? 0 : charge.getValue();
            }
            if (sum > 0) {
                totals.put(customer, sum);
            }
        });
        return totals;
    }

    private static void refill(Bucket bucket, Customer customer, double silentShare, long nowMillis) {
        if (!bucket.started) {
            bucket.started = true;
            bucket.level = customer.burstTokens();
            bucket.filledAtMillis = nowMillis;
        }
        double rate = customer.tokensPerSecond() * (1.0 - silentShare);
        double earned = (nowMillis - bucket.filledAtMillis) * rate / MILLIS_PER_SECOND;
        bucket.level = Math.min(customer.burstTokens(), bucket.level + Math.max(0, earned));
        bucket.filledAtMillis = Math.max(bucket.filledAtMillis, nowMillis);
    }
}
