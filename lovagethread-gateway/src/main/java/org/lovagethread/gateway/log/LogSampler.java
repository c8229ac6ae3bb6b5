package org.lovagethread.gateway.log;

/** Bounds the lines about ordinary events: a few each second are written, the others are counted. */
public final class LogSampler {
    private static final long MILLIS_PER_SECOND = 1_000;

    private final int linesPerSecond;
    private long second;
    private int written;
    private long omitted;

    /**
     * Creates a sampler.
     *
     * @param linesPerSecond the most lines in one second
     */
    public LogSampler(int linesPerSecond) {
        this.linesPerSecond = linesPerSecond;
    }

    /**
     * Decides about one line.
     *
     * @param nowMillis the present time in milliseconds
     * @return true if the line is written; otherwise it is counted
     */
    public boolean take(long nowMillis) {
        long now = nowMillis / MILLIS_PER_SECOND;
        if (now != second) {
            second = now;
            written = 0;
        }
        if (written < linesPerSecond) {
            written++;
            return true;
        }
        omitted++;
        return false;
    }

    /**
     * Returns the lines that were left out since the last call.
     *
     * @return the number of lines
     */
    public long takeOmitted() {
        long count = omitted;
        omitted = 0;
        return count;
    }
}
