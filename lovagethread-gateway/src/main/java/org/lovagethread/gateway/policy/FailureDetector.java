package org.lovagethread.gateway.policy;

/**
 * Decides from the outcomes of requests whether an upstream should get new ones.
 *
 * <p>Failures and successes decay exponentially. An upstream with a high failure rate gets only single trial requests
 * until the rate drops.
 */
public final class FailureDetector {
    /** Half-life of the weight of an outcome, in milliseconds. */
    private static final double HALF_LIFE_MILLIS = 2_500;

    /** Total weight of outcomes below which the failure rate is not evaluated. */
    private static final double LEAST_EVIDENCE = 1.8;

    /** Failure rate at which an upstream is avoided. */
    private static final double AVOIDED_SHARE = 0.3;

    /** Minimum time between two trials of an avoided upstream, in milliseconds. */
    private static final long TRIAL_MILLIS = 600;

    private double failures;
    private double successes;
    private long fadedAtMillis;
    private long nextTrialMillis;
    private long unreachableUntilMillis;

    /**
     * Records the outcome of a request.
     *
     * @param success whether the request succeeded
     * @param nowMillis the current time in milliseconds
     */
    public void observed(boolean success, long nowMillis) {
        fade(nowMillis);
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
     * @param millis the time for which the upstream is avoided, in milliseconds
     */
    public void unreachable(long nowMillis, long millis) {
        fade(nowMillis);
        failures += 1;
        unreachableUntilMillis = Math.max(unreachableUntilMillis, nowMillis + millis);
    }

    /**
     * Returns whether new requests should go to other upstreams if there are any.
     *
     * @param nowMillis the current time in milliseconds
     * @return true if the upstream is to be avoided
     */
    public boolean avoided(long nowMillis) {
        if (nowMillis < unreachableUntilMillis) {
            return true;
        }
        fade(nowMillis);
        double evidence = failures + successes;
        return evidence >= LEAST_EVIDENCE && failures / evidence >= AVOIDED_SHARE;
    }

    /**
     * Reserves the next trial of an avoided upstream if one is due.
     *
     * @param nowMillis the current time in milliseconds
     * @return true if one request may be sent as a trial
     */
    public boolean tryTrial(long nowMillis) {
        if (nowMillis < nextTrialMillis || nowMillis < unreachableUntilMillis) {
            return false;
        }
        nextTrialMillis = nowMillis + TRIAL_MILLIS;
        return true;
    }

    private void fade(long nowMillis) {
        if (nowMillis > fadedAtMillis) {
            double factor = Math.pow(0.5, (nowMillis - fadedAtMillis) / HALF_LIFE_MILLIS);
            failures *= factor;
            successes *= factor;
            fadedAtMillis = nowMillis;
        }
    }
}
