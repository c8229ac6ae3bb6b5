package org.lovagethread.core.limit;

/** Token bucket rate limiter with a capacity of one second's worth of permits, but at least one permit. */
public final class TokenBucket {
    private double permits;
    private double permitsPerSecond;
    private long lastRefillMillis;

    /**
     * Creates a full bucket.
     *
     * @param permitsPerSecond the rate in permits per second
     * @param nowMillis the current time in milliseconds since the epoch
     */
    public TokenBucket(double permitsPerSecond, long nowMillis) {
        this.permitsPerSecond = permitsPerSecond;
        this.permits = Math.max(1.0, permitsPerSecond);
        this.lastRefillMillis = nowMillis;
    }

    /**
     * Changes the rate.
     *
     * @param value the new rate in permits per second
     * @param nowMillis the current time in milliseconds since the epoch
     */
    public void setRate(double value, long nowMillis) {
        refill(nowMillis);
        permitsPerSecond = value;
        permits = Math.min(permits, Math.max(1.0, value));
    }

    /**
     * Returns the earliest time at which a permit is available.
     *
     * @param nowMillis the current time in milliseconds since the epoch
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
     * Acquires a permit if one is available.
     *
     * @param nowMillis the current time in milliseconds since the epoch
     * @return true if a permit was acquired
     */
    public boolean tryAcquire(long nowMillis) {
        refill(nowMillis);
        if (permits < 1.0) {
            return false;
        }
        permits -= 1.0;
        return true;
    }

    private void refill(long nowMillis) {
        if (nowMillis > lastRefillMillis) {
            double addedPermits = (nowMillis - lastRefillMillis) * permitsPerSecond / 1000.0;
            permits = Math.min(Math.max(1.0, permitsPerSecond), permits + addedPermits);
            lastRefillMillis = nowMillis;
        }
    }
}
