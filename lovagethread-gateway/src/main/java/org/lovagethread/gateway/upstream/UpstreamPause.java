package org.lovagethread.gateway.upstream;

/**
 * The pause that one process of an upstream has requested from this gateway. Its end is stored as a deadline.
 *
 * <p>After the end, the share of requests that may be sent to the upstream grows linearly from zero to one. So neither
 * all gateways nor all requests return at the same time.
 */
final class UpstreamPause {
    /** Time in which the requests return, as a share of the pause. */
    private static final double RETURN_SHARE = 0.25;

    private static final double MIN_RETURN_MILLIS = 100;
    private static final double MAX_RETURN_MILLIS = 1_000;

    private final UpstreamEntry upstream;
    private long endMillis;
    private double returnMillis;
    private long sentMillis = Long.MIN_VALUE;

    UpstreamPause(UpstreamEntry upstream, long nowMillis) {
        this.upstream = upstream;
        this.endMillis = nowMillis;
    }

    /**
     * Applies a requested duration. The end is moved by the response to the request that was sent last; a response to an
     * earlier one, which may have been created earlier, does not shorten the pause.
     *
     * @return true if the end has changed
     */
    boolean request(long durationMillis, long newSentMillis, long nowMillis) {
        long requestedEndMillis = nowMillis + durationMillis;
        if (newSentMillis < sentMillis && requestedEndMillis <= endMillis) {
            return false;
        }
        sentMillis = Math.max(sentMillis, newSentMillis);
        boolean changed = requestedEndMillis != endMillis;
        endMillis = requestedEndMillis;
        returnMillis = Math.max(MIN_RETURN_MILLIS, Math.min(MAX_RETURN_MILLIS, RETURN_SHARE * durationMillis));
        return changed;
    }

    boolean isPaused(long nowMillis) {
        return nowMillis < endMillis;
    }

    /** Returns the share of requests that may be sent to the upstream. */
    double admittedShare(long nowMillis) {
        return Math.max(0, Math.min(1.0, (nowMillis - endMillis) / returnMillis));
    }

    boolean isOver(long nowMillis) {
        return nowMillis >= endMillis + returnMillis;
    }

    UpstreamEntry upstream() {
        return upstream;
    }

    long endMillis() {
        return endMillis;
    }

    double returnMillis() {
        return returnMillis;
    }
}
