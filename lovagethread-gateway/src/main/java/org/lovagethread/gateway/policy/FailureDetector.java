package org.lovagethread.gateway.policy;

/**
 * Tells from the outcomes of requests whether an upstream should get new ones.
 *
 * <p>Failures and successes fade over a few seconds. An upstream that fails often gets single trials until its outcomes
 * improve.
 */
public final class FailureDetector {
    /** Time in which the weight of an outcome halves, in milliseconds. */
    private static final double HALF_LIFE_MILLIS = 2_500;

    /** Weight of outcomes below which nothing is concluded. */
    private static final double LEAST_EVIDENCE = 1.8;

    /** Share of failures from which an upstream is avoided. */
    private static final double AVOIDED_SHARE = 0.3;

    /** Time between two trials of an avoided upstream, in milliseconds. */
    private static final long TRIAL_MILLIS = 600;

    private double failures;
    private double successes;
    private long fadedAtMillis;
    private long nextTrialMillis;
    private long unreachableUntilMillis;

    /**
     * Counts an outcome.
     *
     * @param success whether the upstream did what was asked
     * @param nowMillis the present time in milliseconds
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
     * Notes that no connection could be opened or that the upstream fell silent.
     *
     * @param nowMillis the present time in milliseconds
     * @param millis the time for which the upstream is avoided
     */
    public void unreachable(long nowMillis, long millis) {
        fade(nowMillis);
        failures += 1;
        unreachableUntilMillis = Math.max(unreachableUntilMillis, nowMillis + millis);
    }

    /**
     * Tells whether new requests should go elsewhere where possible.
     *
     * @param nowMillis the present time in milliseconds
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
     * Takes the next trial of an avoided upstream if one is due.
     *
     * @param nowMillis the present time in milliseconds
     * @return true if one request may be tried
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
