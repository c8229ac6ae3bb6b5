package org.lovagethread.gateway.policy;

/** Measures a rate over the last seconds, from counts that are added as they occur. */
public final class RateMeter {
    private static final double MILLIS_PER_SECOND = 1_000.0;

    /** Time after which a count has lost most of its weight, in milliseconds. */
    private static final double MEMORY_MILLIS = 2_500;

    private double perSecond;
    private long updatedMillis;

    /**
     * Adds a count.
     *
     * @param count the count
     * @param nowMillis the present time in milliseconds
     */
    public void add(long count, long nowMillis) {
        fade(nowMillis);
        perSecond += count * MILLIS_PER_SECOND / MEMORY_MILLIS;
    }

    /**
     * Returns the rate.
     *
     * @param nowMillis the present time in milliseconds
     * @return the count for each second
     */
    public double perSecond(long nowMillis) {
        fade(nowMillis);
        return perSecond;
    }

    private void fade(long nowMillis) {
        if (nowMillis > updatedMillis) {
            perSecond *= Math.exp((updatedMillis - nowMillis) / MEMORY_MILLIS);
            updatedMillis = nowMillis;
        }
    }
}
