package org.lovagethread.gateway.rollout;

/**
 * Limits of version rollouts that the operators guarantee to callers.
 *
 * @param exposeShare the share of the requests of a service that a bad version may receive
 * @param exposeSlack the number of requests that it may receive in addition
 * @param rollbackMillis the time after the 50th bad response within which it must no longer receive requests, in
 *     milliseconds
 */
public record RolloutBounds(double exposeShare, double exposeSlack, long rollbackMillis) {
    /** Time to roll back if the settings do not specify it, in milliseconds. */
    public static final long DEFAULT_ROLLBACK_MILLIS = 5_000;

    /** Checks the limits. */
    public RolloutBounds {
        if (!(exposeShare >= 0 && exposeShare <= 1)) {
            throw new IllegalArgumentException("exposeShare must be between 0 and 1 but was " + exposeShare);
        }
        if (!(exposeSlack >= 0)) {
            throw new IllegalArgumentException("exposeSlack must not be negative but was " + exposeSlack);
        }
        if (rollbackMillis <= 0) {
            throw new IllegalArgumentException("rollbackMillis must be positive but was " + rollbackMillis);
        }
    }
}
