package org.lovagethread.gateway.policy;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.lovagethread.gateway.config.Route;

/**
 * Decides which requests are refused immediately and after what time their callers should retry.
 *
 * <p>This handles a load that saturates all engines, such as a burst or the loss of most engines. If every request were
 * queued, nearly all would be late. Therefore a stream that would miss its target because of the queue is refused, and
 * the callers that were refused return one after the other, at a rate that leaves capacity for others. A long prompt
 * that would miss its target even at an idle engine is refused only if it would also wait long.
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

    /** Share of the target for which any stream may wait in the queue, however long its prompt is. */
    private static final double MIN_WAIT_SHARE = 0.5;

    /** Share of the capacity that returning callers may use. */
    private static final double RETURNED_CAPACITY_SHARE = 0.5;

    /** Retry delay if the backlog is unknown, in milliseconds. */
    private static final long DEFAULT_RETRY_AFTER_MILLIS = 400;

    /** Divisor of the remaining time that gives the maximum retry delay. */
    private static final int RETRY_AFTER_DIVISOR = 3;

    /**
     * A request to be admitted.
     *
     * @param route the route of the request
     * @param targetMillis the shortest target latency of the streams that are at least as urgent as this request, in
     *     milliseconds; empty if there is none
     * @param remainingMillis the time until the deadline of the request, in milliseconds
     */
    public record Candidate(Route route, OptionalLong targetMillis, long remainingMillis) {
        private double maxLatencyMillis(Placement.Choice choice) {
            if (!route.isStreaming()) {
                return remainingMillis;
            }
            double share = ADMITTED_TIMEOUT_SHARES[Math.min(route.priority(), ADMITTED_TIMEOUT_SHARES.length - 1)];
            double patienceMillis = share * Math.min(remainingMillis, callerTimeoutMillis(route));
            if (targetMillis.isEmpty()) {
                return patienceMillis;
            }
            double target = (double) targetMillis.getAsLong();
            return Math.min(patienceMillis, Math.max(target, choice.processingMillis() + MIN_WAIT_SHARE * target));
        }
    }

    private final Map<String, Long> lastReturnMillis = new HashMap<>();

    /**
     * Returns whether a request is expected to be served in time. One to a plain service that finds a free slot is always
     * admitted, because the predicted time is that of all routes together and a slow one would exclude the fast ones.
     *
     * @param candidate the request
     * @param choice the best upstream
     * @return false if the request should be refused immediately
     */
    public boolean admits(Candidate candidate, Placement.Choice choice) {
        boolean startsAtOnce = !candidate.route().isStreaming() && choice.isPlainWithFreeSlot();
        return startsAtOnce || choice.predictedLatencyMillis() < candidate.maxLatencyMillis(choice);
    }

    /**
     * Returns the time after which the caller of a refused request should retry: when the backlog of the best upstream
     * and the requests that were refused before have been processed.
     *
     * @param candidate the request
     * @param choice the best upstream
     * @param processingMillis the time in which the engines of the service process the request, on the assumption that
     *     all gateways refuse as many requests as this one, in milliseconds
     * @param nowMillis the current time in milliseconds
     * @return the delay in milliseconds
     */
    public long retryAfterMillis(
            Candidate candidate, Placement.Choice choice, double processingMillis, long nowMillis) {
        String service = choice.upstream().entry().service();
        long drainedMillis = nowMillis + (long) choice.predictedLatencyMillis();
        long previousMillis = lastReturnMillis.getOrDefault(service, 0L);
        long returnMillis =
                Math.max(drainedMillis, previousMillis + (long) (processingMillis / RETURNED_CAPACITY_SHARE));
        long latestMillis = nowMillis + candidate.remainingMillis() / RETRY_AFTER_DIVISOR;
        lastReturnMillis.put(service, Math.min(returnMillis, latestMillis));
        return Math.max(1, Math.min(returnMillis, latestMillis) - nowMillis);
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
