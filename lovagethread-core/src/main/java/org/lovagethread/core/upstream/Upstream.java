package org.lovagethread.core.upstream;

/** State of one upstream as seen by this node, including this node's own attempts at it. */
public final class Upstream {
    private static final long INITIAL_BACKOFF_MILLIS = 200;
    private static final long MAX_BACKOFF_MILLIS = 10_000;

    private UpstreamInfo info;
    private int inFlight;
    private long lastAttemptNumber;
    private int peersInFlight;
    private int pendingPromptTokens;
    private int consecutiveFailures;
    private long backoffUntilMillis;

    Upstream(UpstreamInfo info) {
        this.info = info;
    }

    /**
     * Returns whether new attempts should go to other upstreams if there are any, because of recent failures.
     *
     * @param nowMillis the current time in milliseconds since the epoch
     * @return true until the back-off has elapsed
     */
    public boolean shouldAvoid(long nowMillis) {
        return nowMillis < backoffUntilMillis;
    }

    /**
     * Returns the identifier of the instance.
     *
     * @return the identifier
     */
    public String id() {
        return info.id();
    }

    /**
     * Returns the number of attempts that this node has in flight at the upstream.
     *
     * @return the number of attempts
     */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Returns the latest entry of the instance list for this upstream.
     *
     * @return the entry
     */
    public UpstreamInfo info() {
        return info;
    }

    /**
     * Returns the sequence number of this node's latest attempt at the upstream, counted over all its attempts.
     *
     * @return the sequence number; zero if there was no attempt
     */
    public long lastAttemptNumber() {
        return lastAttemptNumber;
    }

    /**
     * Returns the number of attempts that peers have reported in flight at the upstream.
     *
     * @return the number of attempts
     */
    public int peersInFlight() {
        return peersInFlight;
    }

    /**
     * Returns the number of prompt tokens of this node's attempts that have not produced their first token.
     *
     * @return the number of tokens
     */
    public int pendingPromptTokens() {
        return pendingPromptTokens;
    }

    void recordEnd() {
        inFlight--;
    }

    void recordPrefill(int tokens) {
        pendingPromptTokens -= tokens;
    }

    void setPeersInFlight(int attempts) {
        peersInFlight = attempts;
    }

    void recordFailure(long nowMillis) {
        long backoffMillis = INITIAL_BACKOFF_MILLIS << Math.min(consecutiveFailures, 10);
        consecutiveFailures++;
        backoffUntilMillis = nowMillis + Math.min(backoffMillis, MAX_BACKOFF_MILLIS);
    }

    void recordStart(int promptTokens, long attemptNumber) {
        inFlight++;
        pendingPromptTokens += promptTokens;
        lastAttemptNumber = attemptNumber;
    }

    void recordSuccess() {
        consecutiveFailures = 0;
        backoffUntilMillis = 0;
    }

    void update(UpstreamInfo latest) {
        info = latest;
    }
}
