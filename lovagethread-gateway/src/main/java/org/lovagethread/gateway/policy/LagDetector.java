package org.lovagethread.gateway.policy;

/**
 * Detects delays of the gateway's event loop from the intervals between its ticks.
 *
 * <p>On a slowed-down or suspended instance, data may have waited for seconds before it is read, and callers may have
 * disconnected in the meantime.
 */
public final class LagDetector {
    /** Interval between two ticks above which the event loop is considered delayed, in milliseconds. */
    private static final long LAG_THRESHOLD_MILLIS = 120;

    /** Time for which the event loop is still considered delayed afterwards, in milliseconds. */
    private static final long LAG_RECOVERY_MILLIS = 1_500;

    private long lastTickMillis;
    private long lagUntilMillis;
    private long observedMillis;

    /**
     * Records a tick.
     *
     * @param nowMillis the current time in milliseconds
     */
    public void onTick(long nowMillis) {
        if (nowMillis - lastTickMillis > LAG_THRESHOLD_MILLIS) {
            lagUntilMillis = nowMillis + LAG_RECOVERY_MILLIS;
        }
        observedMillis += Math.min(nowMillis - lastTickMillis, LAG_THRESHOLD_MILLIS);
        lastTickMillis = nowMillis;
    }

    /**
     * Returns the time during which the event loop could have read data that arrived. It advances like the clock, but
     * a delay of the event loop counts for no more than its threshold.
     *
     * @return the time since the start in milliseconds
     */
    public long observedMillis() {
        return observedMillis;
    }

    /**
     * Returns whether data read now may have waited for a long time.
     *
     * @param nowMillis the current time in milliseconds
     * @return true if the event loop is or was recently delayed
     */
    public boolean isLagging(long nowMillis) {
        return nowMillis < lagUntilMillis || nowMillis - lastTickMillis > LAG_THRESHOLD_MILLIS;
    }
}
