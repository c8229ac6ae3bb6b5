package org.lovagethread.gateway.policy;

/**
 * The times of the latest responses to prompts with one part.
 *
 * <p>A complete response shows that the part is sound. One that begins shows only that upstreams do not crash before their
 * first event, since an upstream may crash after any event.
 *
 * @param begunMillis when the latest response began, in milliseconds; {@link #NEVER} if none did
 * @param completedMillis when the latest response was complete, in milliseconds; {@link #NEVER} if none was
 */
public record LatestResponses(long begunMillis, long completedMillis) {
    /** Time of a response that there has not been. */
    public static final long NEVER = Long.MIN_VALUE;

    /** No responses. */
    public static final LatestResponses NONE = new LatestResponses(NEVER, NEVER);

    /**
     * Returns whether the responses show that a crash was not due to the part.
     *
     * @param begun whether the crash interrupted a response to the part that had begun
     * @param atMillis when the crash occurred, in milliseconds
     * @return true if a response has got further since than the interrupted one
     */
    public boolean clears(boolean begun, long atMillis) {
        return (begun ? completedMillis : Math.max(begunMillis, completedMillis)) >= atMillis;
    }

    /**
     * Combines the times.
     *
     * @param other the times that another gateway or an earlier response contributes
     * @return the later time of each kind
     */
    public LatestResponses latest(LatestResponses other) {
        return new LatestResponses(
                Math.max(begunMillis, other.begunMillis), Math.max(completedMillis, other.completedMillis));
    }
}
