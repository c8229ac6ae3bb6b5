package org.lovagethread.core.limit;

/** Limits a rate; holds at most one second's worth of permits, and never less than one permit. */
public final class TokenBucket {
    private double permits;
    private double permitsPerSecond;
    private long filledAtMillis;

    /**
     * Creates a full bucket.
     *
     * @param permitsPerSecond the rate
     * @param nowMillis the present time in milliseconds since the epoch
     */
    public TokenBucket(double permitsPerSecond, long nowMillis) {
        this.permitsPerSecond = permitsPerSecond;
        this.permits = Math.max(1.0, permitsPerSecond);
        this.filledAtMillis = nowMillis;
    }

    /**
     * Changes the rate from now on.
     *
     * @param value the new rate in permits a second
     * @param nowMillis the present time in milliseconds since the epoch
     */
    public void rate(double value, long nowMillis) {
        refill(nowMillis);
        permitsPerSecond = value;
        permits = Math.min(permits, Math.max(1.0, value));
    }

    /**
     * Returns the time at which the next permit will be there.
     *
     * @param nowMillis the present time in milliseconds since the epoch
     * @return a time in milliseconds since the epoch, not before {@code nowMillis}
     */
    public long nextPermitMillis(long nowMillis) {
        refill(nowMillis);
        if (permits >= 1.0) {
            return nowMillis;
        }
        return nowMillis + (long) Math.ceil((1.0 - permits) * 1000.0 / permitsPerSecond);
    }

    /**
     * Takes a permit if there is one.
     *
     * @param nowMillis the present time in milliseconds since the epoch
     * @return true if a permit was taken
     */
    public boolean tryTake(long nowMillis) {
        refill(nowMillis);
        if (permits < 1.0) {
            return false;
        }
        permits -= 1.0;
        return true;
    }

    private void refill(long nowMillis) {
        if (nowMillis > filledAtMillis) {
            double earned = (nowMillis - filledAtMillis) * permitsPerSecond / 1000.0;
            permits = Math.min(Math.max(1.0, permitsPerSecond), permits + earned);
            filledAtMillis = nowMillis;
        }
    }
}
