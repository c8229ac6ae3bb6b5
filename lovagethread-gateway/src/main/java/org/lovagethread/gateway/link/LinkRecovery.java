package org.lovagethread.gateway.link;

import java.util.HashSet;
import java.util.Set;

/**
 * Decides when an isolated gateway counts as connected again. Not thread-safe.
 *
 * <p>Each time that the gateway is isolated again soon after it was connected, it stays isolated for longer, so that it
 * does not alternate between the two states.
 */
final class LinkRecovery {
    /** Number of upstreams that must have answered, if there are as many. */
    private static final int MIN_ANSWERED_UPSTREAMS = 2;

    private static final long MIN_ISOLATION_MILLIS = 500;
    private static final long MAX_MIN_ISOLATION_MILLIS = 4_000;

    /** Time after a return within which another isolation counts as repeated, in milliseconds. */
    private static final long REPETITION_MILLIS = 30_000;

    private final Set<String> answered = new HashSet<>();
    private long minIsolationMillis = MIN_ISOLATION_MILLIS;
    private long lostMillis;
    private long repetitionEndMillis = Long.MIN_VALUE;

    void onLost(long nowMillis) {
        answered.clear();
        lostMillis = nowMillis;
        minIsolationMillis = nowMillis < repetitionEndMillis
                ? Math.min(2 * minIsolationMillis, MAX_MIN_ISOLATION_MILLIS)
                : MIN_ISOLATION_MILLIS;
    }

    void onRestored(long nowMillis) {
        repetitionEndMillis = nowMillis + REPETITION_MILLIS;
    }

    void recordConnected(String upstreamId) {
        answered.add(upstreamId);
    }

    /** Records a failure. Only that of an upstream which has answered speaks against the links. */
    void recordFailed(String upstreamId) {
        if (answered.contains(upstreamId)) {
            answered.clear();
        }
    }

    void forgetAnswers() {
        answered.clear();
    }

    int answeredUpstreams() {
        return answered.size();
    }

    long isolatedMillis(long nowMillis) {
        return nowMillis - lostMillis;
    }

    /**
     * Returns whether the links are restored.
     *
     * @param knownUpstreams the number of upstreams that can be tried
     * @param peersReach whether peers reach upstreams, so that it does no harm to stay isolated for longer
     * @param nowMillis the current time in milliseconds
     * @return true if enough upstreams have answered
     */
    boolean isComplete(int knownUpstreams, boolean peersReach, long nowMillis) {
        boolean enough = !answered.isEmpty() && answered.size() >= Math.min(MIN_ANSWERED_UPSTREAMS, knownUpstreams);
        return enough && (!peersReach || isolatedMillis(nowMillis) >= minIsolationMillis);
    }
}
