package org.lovagethread.gateway.policy;

/**
 * Decides from the outcomes of requests whether an upstream should receive new ones.
 *
 * <p>Failures and successes decay exponentially. An upstream with a high failure rate receives only single trial
 * requests until the rate drops.
 */
public final class FailureDetector {
    /** Half-life of the weight of an outcome, in milliseconds. */
    private static final double HALF_LIFE_MILLIS = 2_500;

    /** Total weight of outcomes below which the failure rate is not evaluated. */
    private static final double MIN_TOTAL_WEIGHT = 1.8;

    /** Failure rate at which an upstream is avoided. */
    private static final double FAILURE_RATE_THRESHOLD = 0.3;

    /** Minimum time between two trials of an avoided upstream, in milliseconds. */
    private static final long TRIAL_INTERVAL_MILLIS = 600;

    private double failures;
    private double successes;
    private long decayedMillis;
    private long nextTrialMillis;
    private long unreachableUntilMillis;

    /**
     * Records the outcome of a request.
     *
     * @param success whether the request succeeded
     * @param nowMillis the current time in milliseconds
     */
    public void recordOutcome(boolean success, long nowMillis) {
        decay(nowMillis);
        if (success) {
            successes += 1;
            unreachableUntilMillis = 0;
        } else {
            failures += 1;
        }
    }

    /**
     * Records that no connection could be opened or that the upstream timed out.
     *
     * @param nowMillis the current time in milliseconds
     * @param avoidMillis the time for which the upstream is avoided, in milliseconds
     */
    public void recordUnreachable(long nowMillis, long avoidMillis) {
        decay(nowMillis);
        failures += 1;
        unreachableUntilMillis = Math.max(unreachableUntilMillis, nowMillis + avoidMillis);
    }

    /**
     * Returns whether new requests should go to other upstreams if there are any, because of recent failures.
     *
     * @param nowMillis the current time in milliseconds
     * @return true if the upstream is to be avoided
     */
    public boolean shouldAvoid(long nowMillis) {
        if (nowMillis < unreachableUntilMillis) {
            return true;
        }
        decay(nowMillis);
        double totalWeight = failures + successes;
        return totalWeight >= MIN_TOTAL_WEIGHT && failures / totalWeight >= FAILURE_RATE_THRESHOLD;
    }

    /**
     * Reserves the next trial of an avoided upstream if one is due.
     *
     * @param nowMillis the current time in milliseconds
     * @return true if one request may be sent as a trial
     */
    public boolean tryAcquireTrial(long nowMillis) {
        if (nowMillis < nextTrialMillis || nowMillis < unreachableUntilMillis) {
            return false;
        }
        nextTrialMillis = nowMillis + TRIAL_INTERVAL_MILLIS;
        return true;
    }

    /** Forgets all outcomes, which turned out to be no fault of the upstream. */
    public void forget() {
        failures = 0;
        successes = 0;
        unreachableUntilMillis = 0;
    }

    private void decay(long nowMillis) {
        if (nowMillis > decayedMillis) {
            double factor = Math.pow(0.5, (nowMillis - decayedMillis) / HALF_LIFE_MILLIS);
            failures *= factor;
            successes *= factor;
            decayedMillis = nowMillis;
        }
    }
}
