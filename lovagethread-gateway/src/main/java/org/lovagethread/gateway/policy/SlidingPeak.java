package org.lovagethread.gateway.policy;

/** Maximum of the values added within a sliding window. */
public final class SlidingPeak {
    /** Number of slices into which the window is divided. */
    private static final int SLICES = 6;

    private final int[] highest = new int[SLICES];
    private final long sliceMillis;
    private long slice;

    /**
     * Creates a maximum without values.
     *
     * @param rememberedMillis the length of the window in milliseconds; values expire with a granularity of one slice
     */
    public SlidingPeak(long rememberedMillis) {
        this.sliceMillis = Math.max(1, rememberedMillis / SLICES);
    }

    /**
     * Adds a value.
     *
     * @param value the value; must not be negative
     * @param nowMillis the current time in milliseconds; must not decrease between calls
     * @return the maximum within the window, including this value
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
