package org.lovagethread.gateway.store;

/** Tracks the reachability of the store from the outcomes of calls. */
public final class StoreHealth {
    /** Minimum time of consecutive failed calls that counts as an outage, in milliseconds. */
    private static final long MIN_OUTAGE_MILLIS = 400;

    /** Timestamp that lies long before all others. */
    private static final long NEVER_MILLIS = -(1L << 40);

    private long failingSinceMillis = -1;
    private long recoveredMillis = NEVER_MILLIS;
    private long lastCallMillis = NEVER_MILLIS;

    /**
     * Records the outcome of a call.
     *
     * @param processed whether the store processed the call
     * @param nowMillis the current time in milliseconds
     * @return true if this call changed the value of {@link #isReachable}
     */
    public boolean recordCall(boolean processed, long nowMillis) {
        boolean wasReachable = isReachable();
        lastCallMillis = nowMillis;
        if (!processed) {
            failingSinceMillis = failingSinceMillis < 0 ? nowMillis : failingSinceMillis;
        } else {
            if (failingSinceMillis >= 0 && nowMillis - failingSinceMillis >= MIN_OUTAGE_MILLIS) {
                recoveredMillis = nowMillis;
            }
            failingSinceMillis = -1;
        }
        return wasReachable != isReachable();
    }

    /**
     * Records that the store has come back from an older copy, which counts as the end of an outage.
     *
     * @param nowMillis the current time in milliseconds
     */
    public void recordRestore(long nowMillis) {
        recoveredMillis = nowMillis;
    }

    /**
     * Returns whether the store processed the last call.
     *
     * @return true if the store processed the last call, or no call has been made
     */
    public boolean isReachable() {
        return failingSinceMillis < 0;
    }

    /**
     * Returns the time at which the store recovered from its latest outage.
     *
     * @return the time in milliseconds, long past if there has been no outage
     */
    public long recoveredMillis() {
        return recoveredMillis;
    }

    /**
     * Returns the time for which calls have failed.
     *
     * @param nowMillis the current time in milliseconds
     * @return the milliseconds since the first failed call, or zero if the store processed the last call
     */
    public long outageMillis(long nowMillis) {
        return failingSinceMillis < 0 ? 0 : nowMillis - failingSinceMillis;
    }

    /**
     * Returns the time since the outcome of the last call.
     *
     * @param nowMillis the current time in milliseconds
     * @return the time in milliseconds, very large if no call has been made
     */
    public long idleMillis(long nowMillis) {
        return nowMillis - lastCallMillis;
    }
}
