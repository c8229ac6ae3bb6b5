package org.lovagethread.gateway.policy;

import java.util.HashMap;
import java.util.Map;
import org.lovagethread.gateway.config.Customer;

/**
 * Limits each customer to its token quota across all gateways.
 *
 * <p>Every gateway models one token bucket per customer and charges it with its own grants and with the totals that
 * peers report. Between two reports of a peer, its grants are extrapolated from its last rate. Otherwise gateways whose
 * reports are delayed would all grant the same tokens. For an unreachable peer an even share of the rate is reserved
 * until it is reachable again or known to be removed.
 *
 * <p>This handles a customer that requests many times its quota at every gateway.
 */
public final class TokenQuota {
    private static final double MILLIS_PER_SECOND = 1_000.0;

    /** Time after a peer's report for which its grants are extrapolated, in milliseconds. */
    private static final long PREDICTED_MILLIS = 1_000;

    /** Age of the last report at which a peer's grants are discarded, in milliseconds. */
    private static final long FORGOTTEN_MILLIS = 60_000;

    /** Weight of the latest report in the smoothed rate of a peer. */
    private static final double RATE_SMOOTHING = 0.4;

    /** Share of the tolerance that is granted, as delayed reports of peers cause refusals within the quota. */
    private static final double GRANTED_TOLERANCE = 0.4;

    private final double rateFactor;
    private final double extraTokens;

    private final Map<String, Bucket> buckets = new HashMap<>();
    private final RateMeter granted = new RateMeter();

    /**
     * Creates quotas without any grants.
     *
     * @param tolerance the share of a quota that may be granted in excess of it
     * @param toleranceTokens the number of tokens that may be granted per window in excess of the quota, in addition
     */
    public TokenQuota(double tolerance, double toleranceTokens) {
        this.rateFactor = 1.0 + GRANTED_TOLERANCE * tolerance;
        this.extraTokens = GRANTED_TOLERANCE * toleranceTokens;
    }

    /** Grants of one peer to one customer. */
    private static final class PeerUse {
        private long total;
        private long charged;
        private long heardMillis;
        private double perMilli;
        private double predicted;

        /** Returns the predicted tokens of a period and adds them to the prediction since the last report. */
        private double predict(long fromMillis, long toMillis) {
            long end = Math.min(toMillis, heardMillis + PREDICTED_MILLIS);
            double tokens = Math.max(0, end - Math.max(fromMillis, heardMillis)) * perMilli;
            predicted += tokens;
            return tokens;
        }

        /** Records a reported total and returns its difference from the prediction; negative if that was too high. */
        private double correct(long newTotal, long nowMillis) {
            long granted = Math.max(0, newTotal - total);
            long elapsed = Math.max(1, nowMillis - heardMillis);
            double correction = granted - predicted;
            perMilli += RATE_SMOOTHING * ((double) granted / elapsed - perMilli);
            predicted = 0;
            charged += granted;
            total = newTotal;
            heardMillis = nowMillis;
            return correction;
        }
    }

    private static final class Bucket {
        private final Map<String, PeerUse> peers = new HashMap<>();
        private double level;
        private long filledAtMillis;
        private long ownTotal;
        private boolean started;
    }

    /**
     * Grants a request if the customer's quota permits it.
     *
     * @param customer the customer
     * @param tokens the number of tokens to charge for the request
     * @param silentShare the share of the rate, from zero to one, that is reserved for unreachable peers
     * @param nowMillis the current time in milliseconds
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
     * Refunds the tokens charged for a request that did not run.
     *
     * @param customer the name of the customer
     * @param tokens the number of tokens charged
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
     * @param tokens the number of tokens to charge for the request
     * @return the milliseconds until the bucket holds enough tokens, provided that nothing else is granted
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
     * Charges the tokens that a peer has granted since its last report.
     *
     * @param peer the peer's name and incarnation
     * @param customer the name of the customer
     * @param total the number of tokens that the peer has granted since it started
     * @param nowMillis the current time in milliseconds
     */
    public void heard(String peer, String customer, long total, long nowMillis) {
        Bucket bucket = buckets.computeIfAbsent(customer, name -> new Bucket());
        PeerUse known = bucket.peers.get(peer);
        if (known == null) {
            PeerUse use = new PeerUse();
            use.total = total;
            use.heardMillis = nowMillis;
            bucket.peers.put(peer, use);
            return;
        }
        granted.add(Math.max(0, total - known.total), nowMillis);
        double correction = known.correct(total, nowMillis);
        if (bucket.started) {
            bucket.level -= correction;
        }
    }

    /**
     * Discards the grants of peers that have stopped reporting.
     *
     * @param nowMillis the current time in milliseconds
     */
    public void expire(long nowMillis) {
        for (Bucket bucket : buckets.values()) {
            bucket.peers.values().removeIf(use -> nowMillis - use.heardMillis > FORGOTTEN_MILLIS);
        }
    }

    /**
     * Returns the rate at which all gateways grant tokens.
     *
     * @param nowMillis the current time in milliseconds
     * @return the tokens per second, averaged over the last seconds
     */
    public double tokensPerSecond(long nowMillis) {
        return granted.perSecond(nowMillis);
    }

    /**
     * Returns the tokens that this gateway has granted since it started.
     *
     * @return the totals by customer
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
     * Returns the tokens granted since the start of this gateway, by it and by peers whose names lack a given prefix.
     *
     * @param prefix the prefix of the names of excluded peers
     * @return the totals by customer
     */
    public Map<String, Long> cellTotals(String prefix) {
        Map<String, Long> totals = new HashMap<>();
        buckets.forEach((customer, bucket) -> {
            long sum = bucket.ownTotal;
            for (Map.Entry<String, PeerUse> peer : bucket.peers.entrySet()) {
                sum += peer.getKey().startsWith(prefix) ? 0 : peer.getValue().charged;
            }
            if (sum > 0) {
                totals.put(customer, sum);
            }
        });
        return totals;
    }

    private double burst(Customer customer) {
        return customer.burstTokens() + extraTokens;
    }

    private void refill(Bucket bucket, Customer customer, double silentShare, long nowMillis) {
        if (!bucket.started) {
            bucket.started = true;
            bucket.level = burst(customer);
            bucket.filledAtMillis = nowMillis;
        }
        if (nowMillis <= bucket.filledAtMillis) {
            return;
        }
        double rate = customer.tokensPerSecond() * rateFactor * (1.0 - silentShare);
        double earned = (nowMillis - bucket.filledAtMillis) * rate / MILLIS_PER_SECOND;
        for (PeerUse use : bucket.peers.values()) {
            earned -= use.predict(bucket.filledAtMillis, nowMillis);
        }
        bucket.level = Math.min(burst(customer), bucket.level + earned);
        bucket.filledAtMillis = nowMillis;
    }
}
