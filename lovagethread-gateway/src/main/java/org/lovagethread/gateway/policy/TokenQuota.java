package org.lovagethread.gateway.policy;

import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;
import org.lovagethread.gateway.config.Customer;

/**
 * Limits each customer to its token quota across all gateways.
 *
 * <p>Every gateway models one token bucket per customer and charges it with its own grants and with the totals that
 * peers report. Grants that not all peers know yet are limited to this gateway's part of the level ({@link GrantLimit}),
 * since otherwise all gateways would grant the same tokens when the demand increases. How long grants remain unknown
 * follows from the intervals between the reports of peers ({@link ReportHorizon}). For unreachable peers an even share
 * of the rate and of the level is reserved until they are reachable again or have been removed.
 *
 * <p>A gateway does not know what was granted before its start, so its buckets are empty then.
 */
public final class TokenQuota {
    /** Prefix of the names of peers that are cells. */
    public static final String CELL_PREFIX = "cell:";

    private static final double MILLIS_PER_SECOND = 1_000.0;

    /** Age of the last report at which a peer's grants are discarded, in milliseconds. */
    private static final long PEER_EXPIRY_MILLIS = 60_000;

    /** Interval at which the rate of this gateway is measured, in milliseconds. */
    private static final long OWN_RATE_INTERVAL_MILLIS = 250;

    /** Time since its start in which a peer that was unknown counts as new, in milliseconds. */
    private static final long NEW_PEER_MILLIS = 20_000;

    /** Time in which a gateway that starts grants nothing, in milliseconds. */
    private static final long START_DIFFERENCE_MILLIS = 500;

    /** Duration of the window in which the tolerance applies, in seconds. */
    private static final double WINDOW_SECONDS = 8;

    /** Share of the tolerance that is granted, as delayed reports of peers cause refusals within the quota. */
    private static final double GRANTED_TOLERANCE_SHARE = 0.2;

    /**
     * Share of the tolerance by which the limits of all gateways together may exceed the level, since a gateway's part
     * of a small quota is less than one request. Not all gateways reach their limits before they receive reports.
     */
    private static final double ROUNDING_TOLERANCE_SHARE = 1.0;

    /**
     * Share of a request that must be within the limit if it exceeds the gateway's part of the tolerance. If all of it
     * had to be, two large requests that a gateway receives shortly after each other would be refused although the
     * customer is below its quota.
     */
    private static final double LARGE_REQUEST_SHARE = 0.3;

    private final double tolerance;
    private final double toleranceTokens;
    private final double rateFactor;
    private final double extraBurstTokens;
    private final long startMillis;
    private final DoubleSupplier random;

    private final Map<String, Bucket> buckets = new HashMap<>();
    private final RateMeter grantRate = new RateMeter();
    private final ReportHorizon horizon = new ReportHorizon();
    private int gateways = 1;

    /**
     * Creates quotas without any grants.
     *
     * @param tolerance the share of a quota that may be granted in excess of it
     * @param toleranceTokens the number of tokens that may be granted per window in excess of the quota, in addition
     * @param startMillis when this gateway was started, in milliseconds; buckets are empty then
     * @param random returns random numbers from zero to one
     */
    public TokenQuota(double tolerance, double toleranceTokens, long startMillis, DoubleSupplier random) {
        this.tolerance = tolerance;
        this.toleranceTokens = toleranceTokens;
        this.rateFactor = 1.0 + GRANTED_TOLERANCE_SHARE * tolerance;
        this.extraBurstTokens = GRANTED_TOLERANCE_SHARE * toleranceTokens;
        this.startMillis = startMillis;
        this.random = random;
    }

    private static final class Bucket {
        private final Map<String, PeerGrants> peers = new HashMap<>();
        private final GrantHistory history = new GrantHistory();
        private final PeerGrants own;
        private double level;
        private double reservedLevel;
        private double reservedShare;
        private long refilledMillis;
        private long localTotal;
        private long limitWaitMillis;
        private long nextRoundingMillis;
        private boolean initialized;

        private Bucket(long startMillis) {
            this.own = new PeerGrants(0, startMillis);
        }

        private double peerRate(long nowMillis) {
            double rate = 0;
            for (PeerGrants peer : peers.values()) {
                rate += peer.rate(nowMillis);
            }
            return rate;
        }
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
        Bucket bucket = bucket(customer.name());
        if (customer.tokensPerSecond() > 0) {
            refill(bucket, customer, unreachableShare, nowMillis);
            double needed = Math.min((double) tokens, customer.burstTokens());
            if (bucket.level < needed || !isWithinLimit(bucket, customer, needed, unreachableShare, nowMillis)) {
                return false;
            }
            bucket.level -= (double) tokens;
            bucket.history.add(tokens, nowMillis);
        }
        bucket.localTotal += tokens;
        grantRate.add(tokens, nowMillis);
        return true;
    }

    /** Returns whether this gateway may grant more tokens before all peers know its latest grants. */
    private boolean isWithinLimit(
            Bucket bucket, Customer customer, double needed, double unreachableShare, long nowMillis) {
        double sharing = Math.max(gateways, bucket.peers.size() + 1) * (1.0 - unreachableShare);
        if (sharing <= 1.0) {
            return true;
        }
        double horizonMillis = horizon.millis(nowMillis);
        measureOwnRate(bucket, horizonMillis, nowMillis);
        double unknown = bucket.history.weightedSum(horizonMillis, nowMillis);
        double ownRate = bucket.own.rate(nowMillis);
        double totalRate = ownRate + bucket.peerRate(nowMillis);
        double refillRate = customer.tokensPerSecond() / MILLIS_PER_SECOND;
        double expected = Math.min(totalRate, refillRate) * horizonMillis / 2;
        double rounding = roundingTokens(customer) / sharing;
        double limit = new GrantLimit(ownRate, totalRate, sharing).tokens(bucket.level + unknown, expected) + rounding;
        double limited = needed <= rounding ? needed : LARGE_REQUEST_SHARE * needed;
        boolean isWithin = unknown + limited <= limit || isRoundedUp(bucket, needed, limit, horizonMillis, nowMillis);
        bucket.limitWaitMillis = isWithin ? 0 : (long) horizonMillis / 2;
        return isWithin;
    }

    /**
     * Returns whether a request of which only a part is within the limit is granted: with the probability of this part,
     * once within the horizon. If each request were decided on its own, one of many requests would always be granted.
     */
    private boolean isRoundedUp(Bucket bucket, double needed, double limit, double horizonMillis, long nowMillis) {
        if (nowMillis < bucket.nextRoundingMillis) {
            return false;
        }
        bucket.nextRoundingMillis = nowMillis + (long) horizonMillis;
        return random.getAsDouble() * needed < limit - (double) bucket.history.sum(horizonMillis, nowMillis);
    }

    /** Measures the rate of this gateway from the grants that all peers know, as the peers measure it. */
    private static void measureOwnRate(Bucket bucket, double horizonMillis, long nowMillis) {
        if (nowMillis - bucket.own.reportedMillis() >= OWN_RATE_INTERVAL_MILLIS) {
            bucket.own.record(bucket.localTotal - bucket.history.sum(horizonMillis, nowMillis), nowMillis);
        }
    }

    private double roundingTokens(Customer customer) {
        double quota = customer.tokensPerSecond() * WINDOW_SECONDS + customer.burstTokens();
        return ROUNDING_TOLERANCE_SHARE * (quota * tolerance + toleranceTokens);
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
            bucket.history.remove(tokens);
        }
    }

    /**
     * Returns the time until a refused request could be granted.
     *
     * @param customer the customer
     * @param tokens the number of tokens to charge for the request
     * @return the milliseconds until the bucket holds enough tokens, or until peers know half of the grants that
     *     reached the limit of this gateway, provided that nothing else is granted
     */
    public long waitMillis(Customer customer, long tokens) {
        Bucket bucket = buckets.get(customer.name());
        if (bucket == null || customer.tokensPerSecond() <= 0) {
            return 0;
        }
        double missingTokens = Math.min((double) tokens, customer.burstTokens()) - bucket.level;
        return Math.max(
                bucket.limitWaitMillis, (long) (missingTokens * MILLIS_PER_SECOND / customer.tokensPerSecond()));
    }

    /**
     * Charges the tokens that a peer has granted since its last report. What it granted before its first report is
     * charged only if it was started recently and not long before this gateway.
     *
     * @param peer the peer's name and incarnation
     * @param peerUptimeMillis the time since the start of the peer, in milliseconds; {@link Long#MAX_VALUE} if unknown
     * @param customer the name of the customer
     * @param total the number of tokens that the peer has granted since it started
     * @param nowMillis the current time in milliseconds
     */
    public void update(String peer, long peerUptimeMillis, String customer, long total, long nowMillis) {
        Bucket bucket = bucket(customer);
        horizon.record(peer, peer.startsWith(CELL_PREFIX), nowMillis);
        PeerGrants grants = bucket.peers.get(peer);
        if (grants == null) {
            boolean isNew = peerUptimeMillis < NEW_PEER_MILLIS
                    && peerUptimeMillis <= nowMillis - startMillis + START_DIFFERENCE_MILLIS;
            grants = new PeerGrants(isNew ? 0 : total, nowMillis);
            bucket.peers.put(peer, grants);
        }
        long granted = grants.record(total, nowMillis);
        grantRate.add(granted, nowMillis);
        bucket.level -= (double) granted;
    }

    /**
     * Updates the number of gateways, which share the level of each bucket, and discards the grants of peers that have
     * stopped reporting.
     *
     * @param newGateways the number of gateways, including this one
     * @param nowMillis the current time in milliseconds
     */
    public void tick(int newGateways, long nowMillis) {
        gateways = Math.max(1, newGateways);
        for (Bucket bucket : buckets.values()) {
            bucket.peers.values().removeIf(grants -> nowMillis - grants.reportedMillis() > PEER_EXPIRY_MILLIS);
        }
        horizon.expire(nowMillis);
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
            for (Map.Entry<String, PeerGrants> peer : bucket.peers.entrySet()) {
                sum += peer.getKey().startsWith(prefix) ? 0 : peer.getValue().chargedTokens();
            }
            if (sum > 0) {
                totals.put(customer, sum);
            }
        });
        return totals;
    }

    private Bucket bucket(String customer) {
        return buckets.computeIfAbsent(customer, name -> new Bucket(startMillis));
    }

    private double maxLevel(Customer customer) {
        return customer.burstTokens() + extraBurstTokens;
    }

    private void refill(Bucket bucket, Customer customer, double unreachableShare, long nowMillis) {
        if (!bucket.initialized) {
            bucket.initialized = true;
            bucket.refilledMillis = startMillis;
        }
        reserve(bucket, unreachableShare);
        double elapsed = Math.max(0, nowMillis - bucket.refilledMillis);
        double refillTokens = elapsed * customer.tokensPerSecond() * rateFactor / MILLIS_PER_SECOND;
        double max = maxLevel(customer);
        bucket.level = Math.min(max * (1.0 - unreachableShare), bucket.level + refillTokens * (1.0 - unreachableShare));
        bucket.reservedLevel = Math.min(max * unreachableShare, bucket.reservedLevel + refillTokens * unreachableShare);
        bucket.refilledMillis = Math.max(bucket.refilledMillis, nowMillis);
    }

    /** Moves tokens between the level and the part reserved for unreachable peers when their share changes. */
    private static void reserve(Bucket bucket, double unreachableShare) {
        double change = unreachableShare - bucket.reservedShare;
        double moved = 0;
        if (change > 0) {
            moved = Math.max(0, bucket.level) * change / (1.0 - bucket.reservedShare);
        } else if (change < 0) {
            moved = bucket.reservedLevel * change / bucket.reservedShare;
        }
        bucket.level -= moved;
        bucket.reservedLevel += moved;
        bucket.reservedShare = unreachableShare;
    }
}
