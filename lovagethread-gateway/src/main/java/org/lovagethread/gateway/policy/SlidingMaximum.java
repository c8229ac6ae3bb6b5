package org.lovagethread.gateway.policy;

/** Maximum of the values added within a sliding window. */
public final class SlidingMaximum {
    /** Number of slices into which the window is divided. */
    private static final int SLICES = 6;

    private final int[] maxima = new int[SLICES];
    private final long sliceMillis;
    private long slice;

    /**
     * Creates a maximum without values.
     *
     * @param windowMillis the length of the window in milliseconds; values expire with a granularity of one slice
     */
    public SlidingMaximum(long windowMillis) {
        this.sliceMillis = Math.max(1, windowMillis / SLICES);
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
        for (long expired = Math.max(slice + 1, now - SLICES + 1); expired <= now; expired++) {
            maxima[(int) (expired % SLICES)] = 0;
        }
        slice = now;
        int index = (int) (now % SLICES);
        maxima[index] = Math.max(maxima[index], value);
        int maximum = 0;
        for (int sliceMaximum : maxima) {
            maximum = Math.max(maximum, sliceMaximum);
        }
        return maximum;
    }
}
