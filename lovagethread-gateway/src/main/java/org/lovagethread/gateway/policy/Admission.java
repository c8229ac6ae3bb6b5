package org.lovagethread.gateway.policy;

import org.lovagethread.gateway.config.Route;

/**
 * Decides which requests are refused immediately and after what time their callers should retry.
 *
 * <p>During a burst that saturates all engines, a request whose predicted first event comes after its caller has given
 * up would only lengthen the queue. Requests of lower priority are refused earlier, which leaves the remaining capacity
 * to those of higher priority.
 */
public final class Admission {
    /** Caller timeout for the next event of a stream, as a multiple of the target latency of the route. */
    private static final long TIMEOUT_TARGET_FACTOR = 4;

    /** Caller timeout for the next event of a stream, as a multiple of the target gap of the route. */
    private static final long TIMEOUT_GAP_FACTOR = 8;

    /** Minimum caller timeout for the next event of a stream, in milliseconds. */
    private static final long MIN_CALLER_TIMEOUT_MILLIS = 2_000;

    /** Maximum predicted latency as a share of the caller timeout, by the priority of the route. */
    private static final double[] ADMITTED_TIMEOUT_SHARES = {0.9, 0.7, 0.45};

    /** Retry delay if the backlog is unknown, in milliseconds. */
    private static final long DEFAULT_RETRY_AFTER_MILLIS = 400;

    /** Divisor of the remaining time that gives the maximum retry delay. */
    private static final int RETRY_AFTER_DIVISOR = 3;

    /**
     * Returns whether a request is expected to be served in time.
     *
     * @param route the route of the request
     * @param choice the best upstream
     * @param remainingMillis the time until the deadline, in milliseconds
     * @return false if the request should be refused immediately
     */
    public boolean admits(Route route, Placement.Choice choice, long remainingMillis) {
        if (!route.isStreaming()) {
            return choice.predictedLatencyMillis() < remainingMillis;
        }
        double share = ADMITTED_TIMEOUT_SHARES[Math.min(route.priority(), ADMITTED_TIMEOUT_SHARES.length - 1)];
        return choice.predictedLatencyMillis() < share * Math.min(remainingMillis, callerTimeoutMillis(route));
    }

    /**
     * Returns the time after which the caller of a refused request should retry.
     *
     * @param choice the best upstream
     * @param remainingMillis the time until the deadline, in milliseconds
     * @return the delay in milliseconds
     */
    public long retryAfterMillis(Placement.Choice choice, long remainingMillis) {
        return Math.max(1, Math.min((long) choice.predictedLatencyMillis() / 2, remainingMillis / RETRY_AFTER_DIVISOR));
    }

    /**
     * Returns the time after which a caller should retry if no upstream was able to serve its request.
     *
     * @param remainingMillis the time until the deadline, in milliseconds
     * @return the delay in milliseconds
     */
    public long defaultRetryAfterMillis(long remainingMillis) {
        return Math.max(1, Math.min(DEFAULT_RETRY_AFTER_MILLIS, remainingMillis / RETRY_AFTER_DIVISOR));
    }

    private static long callerTimeoutMillis(Route route) {
        return Math.max(
                MIN_CALLER_TIMEOUT_MILLIS,
                Math.max(
                        TIMEOUT_TARGET_FACTOR * route.targetLatencyMillis(),
                        TIMEOUT_GAP_FACTOR * route.targetGapMillis()));
    }
}
