package org.lovagethread.gateway.policy;

/**
 * Tells whether the gateway's thread is late, from the pauses between its ticks.
 *
 * <p>The load that this answers is a slowed or suspended instance: what it reads then may have waited for seconds, and its
 * callers may have left.
 */
public final class LagDetector {
    /** Pause between two ticks from which the thread is late, in milliseconds. */
    private static final long LATE_MILLIS = 120;

    /** Time for which the thread counts as late afterwards, in milliseconds. */
    private static final long REMEMBERED_MILLIS = 1_500;

    private long tickedMillis;
    private long lateUntilMillis;

    /**
     * Takes a tick.
     *
     * @param nowMillis the present time in milliseconds
     */
    public void ticked(long nowMillis) {
        if (nowMillis - tickedMillis > LATE_MILLIS) {
            lateUntilMillis = nowMillis + REMEMBERED_MILLIS;
        }
        tickedMillis = nowMillis;
    }

    /**
     * Tells whether what is read now may have waited for long.
     *
     * @param nowMillis the present time in milliseconds
     * @return true if the thread is or lately was late
     */
    public boolean late(long nowMillis) {
        return nowMillis < lateUntilMillis || nowMillis - tickedMillis > LATE_MILLIS;
    }
}
