package org.lovagethread.gateway.policy;

/** Remembers the highest value of the last seconds. */
public final class SlidingPeak {
    /** Number of slices into which the time is divided. */
    private static final int SLICES = 6;

    private final int[] highest = new int[SLICES];
    private final long sliceMillis;
    private long slice;

    /**
     * Creates a peak without values.
     *
     * @param rememberedMillis the time for which a value counts at the most, in milliseconds
     */
    public SlidingPeak(long rememberedMillis) {
        this.sliceMillis = Math.max(1, rememberedMillis / SLICES);
    }

    /**
     * Takes a value.
     *
     * @param value the value; not negative
     * @param nowMillis the present time in milliseconds, which never goes back
     * @return the highest value of the last seconds with this one
     */
    public int add(int value, long nowMillis) {
        long now = nowMillis / sliceMillis;
        for (long passed = Math.max(slice + 1, now - SLICES + 1); passed <= now; passed++) {
            highest[(int) (passed % SLICES)] = 0;
        }
        slice = now;
        int index = (int) (now % SLICES);
        highest[index] = Math.max(highest[index], value);
        int peak = 0;
        for (int each : highest) {
            peak = Math.max(peak, each);
        }
        return peak;
    }
}
