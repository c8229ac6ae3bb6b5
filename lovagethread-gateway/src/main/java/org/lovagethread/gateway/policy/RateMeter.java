package org.lovagethread.gateway.policy;

/** Measures the rate of counted events as an exponentially weighted moving average. */
public final class RateMeter {
    private static final double MILLIS_PER_SECOND = 1_000.0;

    /** Time constant of the exponential decay, in milliseconds. */
    private static final double TIME_CONSTANT_MILLIS = 2_500;

    private double perSecond;
    private long updatedMillis;

    /**
     * Adds a count.
     *
     * @param count the count
     * @param nowMillis the current time in milliseconds
     */
    public void add(long count, long nowMillis) {
        decay(nowMillis);
        perSecond += count * MILLIS_PER_SECOND / TIME_CONSTANT_MILLIS;
    }

    /**
     * Returns the current rate.
     *
     * @param nowMillis the current time in milliseconds
     * @return the count per second
     */
    public double perSecond(long nowMillis) {
        decay(nowMillis);
        return perSecond;
    }

    private void decay(long nowMillis) {
        if (nowMillis > updatedMillis) {
            perSecond *= Math.exp((updatedMillis - nowMillis) / TIME_CONSTANT_MILLIS);
            updatedMillis = nowMillis;
        }
    }
}
