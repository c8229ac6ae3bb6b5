package org.lovagethread.core.upstream;

/** Holds what this node knows about one upstream, including the attempts that it has there itself. */
public final class Upstream {
    private static final long FIRST_AVOIDANCE_MILLIS = 200;
    private static final long LONGEST_AVOIDANCE_MILLIS = 10_000;

    private UpstreamInfo info;
    private int inFlight;
    private long lastStart;
    private int peersInFlight;
    private int pendingPromptTokens;
    private int failuresInRow;
    private long avoidUntilMillis;

    Upstream(UpstreamInfo info) {
        this.info = info;
    }

    /**
     * Tests whether recent failures keep new work away.
     *
     * @param nowMillis the present time in milliseconds since the epoch
     * @return true until the avoidance deadline
     */
    public boolean avoided(long nowMillis) {
        return nowMillis < avoidUntilMillis;
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
    public long lastStart() {
        return lastStart;
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

    void ended() {
        inFlight--;
    }

    void prefilled(int tokens) {
        pendingPromptTokens -= tokens;
    }

    void reported(int attempts) {
        peersInFlight = attempts;
    }

    void failed(long nowMillis) {
        long avoidance = FIRST_AVOIDANCE_MILLIS << Math.min(failuresInRow, 10);
        failuresInRow++;
        avoidUntilMillis = nowMillis + Math.min(avoidance, LONGEST_AVOIDANCE_MILLIS);
    }

    void started(int promptTokens, long number) {
        inFlight++;
        pendingPromptTokens += promptTokens;
        lastStart = number;
    }

    void succeeded() {
        failuresInRow = 0;
        avoidUntilMillis = 0;
    }

    void update(UpstreamInfo latest) {
        info = latest;
    }
}
