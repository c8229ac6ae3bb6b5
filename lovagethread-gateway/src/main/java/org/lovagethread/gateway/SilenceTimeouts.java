package org.lovagethread.gateway;

/**
 * Decides how soon a gateway notices that open connections have gone silent, without a reset, while new ones work.
 *
 * <p>No connection is relied upon for so long that the loss could go unnoticed until the contact time has passed: a call
 * that waits for changes must end before, with time left for one call on a new connection.
 *
 * @param contactMillis the time after the loss of its connections from which a gateway must act on the current state of
 *     the platform again, in milliseconds
 */
public record SilenceTimeouts(long contactMillis) {
    /** Maximum time until a response to a call that does not wait, in milliseconds. */
    private static final long MAX_CALL_MILLIS = 1_000;

    /** Minimum number of calls that fit into the contact time. */
    private static final long MIN_CALLS = 4;

    /** Calls that time out, or are made on a new connection, within the contact time: one each. */
    private static final long RESERVED_CALLS = 2;

    /**
     * Checks the contact time.
     *
     * @throws IllegalArgumentException if the contact time is shorter than {@code MIN_CALLS} milliseconds
     */
    public SilenceTimeouts {
        if (contactMillis < MIN_CALLS) {
            throw new IllegalArgumentException(
                    "contact time must be at least " + MIN_CALLS + " ms but was " + contactMillis);
        }
    }

    /**
     * Returns the time within which a call must be answered, in addition to the time for which it waits.
     *
     * @return the time in milliseconds
     */
    public long callMillis() {
        return Math.min(MAX_CALL_MILLIS, contactMillis / MIN_CALLS);
    }

    /**
     * Returns the maximum time for which a connection may carry no bytes and still be relied upon: for which a call waits
     * for changes, or for which an idle connection is reused.
     *
     * @return the time in milliseconds
     */
    public long maxQuietMillis() {
        return contactMillis - RESERVED_CALLS * callMillis();
    }
}
