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
 * until it is reachable again or has been removed.
 *
 * <p>This handles a customer that requests many times its quota at every gateway.
 */
public final class TokenQuota {
    private static final double MILLIS_PER_SECOND = 1_000.0;

    /** Time after a peer's report for which its grants are extrapolated, in milliseconds. */
    private static final long EXTRAPOLATION_MILLIS = 1_000;

    /** Age of the last report at which a peer's grants are discarded, in milliseconds. */
    private static final long PEER_EXPIRY_MILLIS = 60_000;

    /** Weight of the latest report in the smoothed rate of a peer. */
    private static final double RATE_SMOOTHING = 0.4;

    /** Share of the tolerance that is granted, as delayed reports of peers cause refusals within the quota. */
    private static final double GRANTED_TOLERANCE_SHARE = 0.4;

    private final double rateFactor;
    private final double extraBurstTokens;

    private final Map<String, Bucket> buckets = new HashMap<>();
    private final RateMeter grantRate = new RateMeter();

    /**
     * Creates quotas without any grants.
     *
     * @param tolerance the share of a quota that may be granted in excess of it
     * @param toleranceTokens the number of tokens that may be granted per window in excess of the quota, in addition
     */
    public TokenQuota(double tolerance, double toleranceTokens) {
        this.rateFactor = 1.0 + GRANTED_TOLERANCE_SHARE * tolerance;
        this.extraBurstTokens = GRANTED_TOLERANCE_SHARE * toleranceTokens;
    }

    /** Grants of one peer to one customer. */
    private static final class PeerUsage {
        private long reportedTotal;
        private long chargedTokens;
        private long reportedMillis;
        private double tokensPerMilli;
        private double predictedTokens;

        /** Returns the predicted tokens of a period and adds them to the prediction since the last report. */
        private double predict(long fromMillis, long toMillis) {
            long end = Math.min(toMillis, reportedMillis + EXTRAPOLATION_MILLIS);
            double tokens = Math.max(0, end - Math.max(fromMillis, reportedMillis)) * tokensPerMilli;
            predictedTokens += tokens;
            return tokens;
        }

        /** Records a reported total and returns its difference from the prediction; negative if that was too high. */
        private double recordTotal(long newTotal, long nowMillis) {
            long granted = Math.max(0, newTotal - reportedTotal);
            long elapsed = Math.max(1, nowMillis - reportedMillis);
            double correction = granted - predictedTokens;
            tokensPerMilli += RATE_SMOOTHING * ((double) granted / elapsed - tokensPerMilli);
            predictedTokens = 0;
            chargedTokens += granted;
            reportedTotal = newTotal;
            reportedMillis = nowMillis;
            return correction;
        }
    }

    private static final class Bucket {
        private final Map<String, PeerUsage> peers = new HashMap<>();
        private double level;
        private long refilledMillis;
        private long localTotal;
        private boolean initialized;
    }

    /**
     * Grants a request if the customer's quota permits it.
     *
     * @param customer the customer
     * @param tokens the number of tokens to charge for the request
     * @param unreachableShare the share of the rate, from zero to one, that is reserved for unreachable peers
     * @param nowMillis the current time in milliseconds
     * @return true if the request is within the quota and has been charged
     */
    public boolean tryAcquire(Customer customer, long tokens, double unreachableShare, long nowMillis) {
        Bucket bucket = buckets.computeIfAbsent(customer.name(), name -> new Bucket());
        if (customer.tokensPerSecond() <= 0) {
            bucket.localTotal += tokens;
            grantRate.add(tokens, nowMillis);
            return true;
        }
        refill(bucket, customer, unreachableShare, nowMillis);
        if (bucket.level < Math.min((double) tokens, customer.burstTokens())) {
            return false;
        }
        bucket.level -= (double) tokens;
        bucket.localTotal += tokens;
        grantRate.add(tokens, nowMillis);
        return true;
    }

    /**
     * Refunds the tokens charged for a request that was not executed.
     *
     * @param customer the name of the customer
     * @param tokens the number of tokens charged
     */
    public void refund(String customer, long tokens) {
        Bucket bucket = buckets.get(customer);
        if (bucket != null) {
            bucket.level += (double) tokens;
            bucket.localTotal -= tokens;
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
        double missingTokens = Math.min((double) tokens, customer.burstTokens()) - bucket.level;
        return Math.max(0, (long) (missingTokens * MILLIS_PER_SECOND / customer.tokensPerSecond()));
    }

    /**
     * Charges the tokens that a peer has granted since its last report.
     *
     * @param peer the peer's name and incarnation
     * @param customer the name of the customer
     * @param total the number of tokens that the peer has granted since it started
     * @param nowMillis the current time in milliseconds
     */
    public void update(String peer, String customer, long total, long nowMillis) {
        Bucket bucket = buckets.computeIfAbsent(customer, name -> new Bucket());
        PeerUsage usage = bucket.peers.get(peer);
        if (usage == null) {
            PeerUsage newUsage = new PeerUsage();
            newUsage.reportedTotal = total;
            newUsage.reportedMillis = nowMillis;
            bucket.peers.put(peer, newUsage);
            return;
        }
        grantRate.add(Math.max(0, total - usage.reportedTotal), nowMillis);
        double correction = usage.recordTotal(total, nowMillis);
        if (bucket.initialized) {
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
            bucket.peers.values().removeIf(usage -> nowMillis - usage.reportedMillis > PEER_EXPIRY_MILLIS);
        }
    }

    /**
     * Returns the rate at which all gateways grant tokens.
     *
     * @param nowMillis the current time in milliseconds
     * @return the tokens per second, averaged over the last seconds
     */
    public double tokensPerSecond(long nowMillis) {
        return grantRate.perSecond(nowMillis);
    }

    /**
     * Returns the tokens that this gateway has granted since it started.
     *
     * @return the totals by customer
     */
    public Map<String, Long> totals() {
        Map<String, Long> totals = new HashMap<>();
        buckets.forEach((customer, bucket) -> {
            if (bucket.localTotal > 0) {
                totals.put(customer, bucket.localTotal);
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
    public Map<String, Long> totalsExcept(String prefix) {
        Map<String, Long> totals = new HashMap<>();
        buckets.forEach((customer, bucket) -> {
            long sum = bucket.localTotal;
            for (Map.Entry<String, PeerUsage> peer : bucket.peers.entrySet()) {
                sum += peer.getKey().startsWith(prefix) ? 0 : peer.getValue().chargedTokens;
            }
            if (sum > 0) {
                totals.put(customer, sum);
            }
        });
        return totals;
    }

    private double maxLevel(Customer customer) {
        return customer.burstTokens() + extraBurstTokens;
    }

    private void refill(Bucket bucket, Customer customer, double unreachableShare, long nowMillis) {
        if (!bucket.initialized) {
            bucket.initialized = true;
            bucket.level = maxLevel(customer);
            bucket.refilledMillis = nowMillis;
        }
        if (nowMillis <= bucket.refilledMillis) {
            return;
        }
        double rate = customer.tokensPerSecond() * rateFactor * (1.0 - unreachableShare);
        double refillTokens = (nowMillis - bucket.refilledMillis) * rate / MILLIS_PER_SECOND;
        for (PeerUsage usage : bucket.peers.values()) {
            refillTokens -= usage.predict(bucket.refilledMillis, nowMillis);
        }
        bucket.level = Math.min(maxLevel(customer), bucket.level + refillTokens);
        bucket.refilledMillis = nowMillis;
    }
}
