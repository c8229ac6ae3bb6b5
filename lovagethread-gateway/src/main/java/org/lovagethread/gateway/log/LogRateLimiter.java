package org.lovagethread.gateway.log;

/** Limits the rate of log lines about routine events. Lines beyond the limit are counted. Not thread-safe. */
public final class LogRateLimiter {
    private static final long MILLIS_PER_SECOND = 1_000;

    private final int maxLinesPerSecond;
    private long currentSecond;
    private int linesInSecond;
    private long omitted;

    /**
     * Creates a rate limiter.
     *
     * @param maxLinesPerSecond the maximum number of lines in one second
     */
    public LogRateLimiter(int maxLinesPerSecond) {
        this.maxLinesPerSecond = maxLinesPerSecond;
    }

    /**
     * Checks whether a line may be written, and counts it as omitted if not.
     *
     * @param nowMillis the current time in milliseconds
     * @return true if the line may be written
     */
    public boolean tryAcquire(long nowMillis) {
        long second = nowMillis / MILLIS_PER_SECOND;
        if (second != currentSecond) {
            currentSecond = second;
            linesInSecond = 0;
        }
        if (linesInSecond < maxLinesPerSecond) {
            linesInSecond++;
            return true;
        }
        omitted++;
        return false;
    }

    /**
     * Resets the number of omitted lines and returns its previous value.
     *
     * @return the number of lines
     */
    public long resetOmitted() {
        long count = omitted;
        omitted = 0;
        return count;
    }
}
