package org.lovagethread.gateway.policy;

import org.lovagethread.gateway.config.Route;

/**
 * Decides which requests are refused at once and when their callers should come back.
 *
 * <p>The load that this answers is a burst that fills all engines: a request whose first event is predicted for later
 * than its caller waits would only lengthen the queue of others. Less urgent requests are refused earlier, so that the room which is left
 * goes to the more urgent ones.
 */
public final class Admission {
    /** Times the target for which callers of streams wait for an event. */
    private static final long PATIENCE_TARGETS = 4;

    /** Times the allowed pause for which callers of streams wait for an event. */
    private static final long PATIENCE_GAPS = 8;

    /** Time for which callers of streams wait for an event at least, in milliseconds. */
    private static final long LEAST_PATIENCE_MILLIS = 2_000;

    /** Part of the caller's patience up to which a prediction is trusted to be met, by the rank of the route. */
    private static final double[] TRUSTED_SHARES = {0.9, 0.7, 0.45};

    /** Pause that is asked for when nothing is known of the backlog, in milliseconds. */
    private static final long IDLE_RETRY_MILLIS = 400;

    /** Part of the remaining time that a caller may be asked to pause. */
    private static final int RETRY_SHARE = 3;

    /**
     * Tells whether a request can be served in time.
     *
     * @param route the route of the request
     * @param choice the best upstream
     * @param remainingMillis the time until the deadline in milliseconds
     * @return false if the request should be refused at once
     */
    public boolean worthSending(Route route, Placement.Choice choice, long remainingMillis) {
        if (!route.streaming()) {
            return choice.waitMillis() < remainingMillis;
        }
        double share = TRUSTED_SHARES[Math.min(route.priority(), TRUSTED_SHARES.length - 1)];
        return choice.waitMillis() < share * Math.min(remainingMillis, patienceMillis(route));
    }

    /**
     * Returns when the caller of a refused request should come back.
     *
     * @param choice the best upstream
     * @param remainingMillis the time until the deadline in milliseconds
     * @return a pause in milliseconds
     */
    public long retryAfterMillis(Placement.Choice choice, long remainingMillis) {
        return Math.max(1, Math.min((long) choice.waitMillis() / 2, remainingMillis / RETRY_SHARE));
    }

    /**
     * Returns when a caller should come back if no upstream could take its request.
     *
     * @param remainingMillis the time until the deadline in milliseconds
     * @return a pause in milliseconds
     */
    public long idleRetryMillis(long remainingMillis) {
        return Math.max(1, Math.min(IDLE_RETRY_MILLIS, remainingMillis / RETRY_SHARE));
    }

    private static long patienceMillis(Route route) {
        return Math.max(
                LEAST_PATIENCE_MILLIS,
                Math.max(PATIENCE_TARGETS * route.targetMillis(), PATIENCE_GAPS * route.gapMillis()));
    }
}
