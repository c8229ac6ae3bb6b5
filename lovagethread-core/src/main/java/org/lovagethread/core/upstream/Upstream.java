package org.lovagethread.core.upstream;

/** Holds what this node knows about one upstream, including the attempts that it has there itself. */
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
     * Tests whether recent failures keep new work away.
     *
     * @param nowMillis the present time in milliseconds since the epoch
     * @return true until the avoidance deadline
     */
    public boolean isInBackoff(long nowMillis) {
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
     * Returns the number of attempts that this node has in flight there.
     *
     * @return the number of attempts
     */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Returns the last description from the instance list.
     *
     * @return the description
     */
    public UpstreamInfo info() {
        return info;
    }

    /**
     * Returns the number of this node's last attempt there, in the order of all its attempts.
     *
     * @return the number; zero if there was none
     */
    public long lastAttemptNumber() {
        return lastAttemptNumber;
    }

    /**
     * Returns the number of attempts that the peers reported to have in flight there.
     *
     * @return the number of attempts
     */
    public int peersInFlight() {
        return peersInFlight;
    }

    /**
     * Returns the prompt tokens of this node's attempts there that have not given a first token.
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
        long avoidance = INITIAL_BACKOFF_MILLIS << Math.min(consecutiveFailures, 10);
        consecutiveFailures++;
        backoffUntilMillis = nowMillis + Math.min(avoidance, MAX_BACKOFF_MILLIS);
    }

    void recordStart(int promptTokens, long number) {
        inFlight++;
        pendingPromptTokens += promptTokens;
        lastAttemptNumber = number;
    }

    void recordSuccess() {
        consecutiveFailures = 0;
        backoffUntilMillis = 0;
    }

    void update(UpstreamInfo latest) {
        info = latest;
    }
}
