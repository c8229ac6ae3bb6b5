package org.lovagethread.gateway.store;

/** Remembers whether the store answers, from the outcomes of calls. */
public final class StoreLink {
    /** Time without an answer from which the store counts as away, in milliseconds. */
    private static final long AWAY_MILLIS = 400;

    /** A time long before any other. */
    private static final long NEVER_MILLIS = -(1L << 40);

    private long failingSinceMillis = -1;
    private long returnedMillis = NEVER_MILLIS;
    private long calledMillis = NEVER_MILLIS;

    /**
     * Takes the outcome of a call.
     *
     * @param answered whether the store answered
     * @param nowMillis the present time in milliseconds
     * @return true if the store was lost or regained with this call
     */
    public boolean called(boolean answered, long nowMillis) {
        boolean before = reachable();
        calledMillis = nowMillis;
        if (!answered) {
            failingSinceMillis = failingSinceMillis < 0 ? nowMillis : failingSinceMillis;
        } else {
            if (failingSinceMillis >= 0 && nowMillis - failingSinceMillis >= AWAY_MILLIS) {
                returnedMillis = nowMillis;
            }
            failingSinceMillis = -1;
        }
        return before != reachable();
    }

    /**
     * Tells whether the last call was answered.
     *
     * @return true if the store is not known to be away
     */
    public boolean reachable() {
        return failingSinceMillis < 0;
    }

    /**
     * Returns when the store last answered again after an outage.
     *
     * @return a time in milliseconds, long past if there was no outage
     */
    public long returnedMillis() {
        return returnedMillis;
    }

    /**
     * Returns since when calls have failed.
     *
     * @param nowMillis the present time in milliseconds
     * @return milliseconds since the first failed call, or zero if the store answers
     */
    public long awayMillis(long nowMillis) {
        return failingSinceMillis < 0 ? 0 : nowMillis - failingSinceMillis;
    }

    /**
     * Returns the time since the last outcome.
     *
     * @param nowMillis the present time in milliseconds
     * @return milliseconds, very many if there was no call
     */
    public long idleMillis(long nowMillis) {
        return nowMillis - calledMillis;
    }
}
