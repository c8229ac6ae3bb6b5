package org.lovagethread.gateway.upstream;

import org.lovagethread.gateway.policy.FailureDetector;

/** An upstream as this gateway knows it. Used by one thread. */
public final class Upstream {
    /** Weight of the newest answer in the smoothed time of answers. */
    private static final double SMOOTHING = 0.15;

    private final FailureDetector failures = new FailureDetector();
    private final UpstreamLoad load = new UpstreamLoad();
    private UpstreamEntry entry;
    private double answerMillis;
    private long lastBytesMillis;

    /**
     * Creates an upstream.
     *
     * @param entry what it says of itself
     */
    public Upstream(UpstreamEntry entry) {
        this.entry = entry;
    }

    /**
     * Returns what the upstream says of itself.
     *
     * @return the newest entry
     */
    public UpstreamEntry entry() {
        return entry;
    }

    /**
     * Replaces what the upstream says of itself.
     *
     * @param newEntry the newest entry
     */
    public void entry(UpstreamEntry newEntry) {
        entry = newEntry;
    }

    /**
     * Returns the outcomes of requests.
     *
     * @return the detector of failures
     */
    public FailureDetector failures() {
        return failures;
    }

    /**
     * Returns the work in progress.
     *
     * @return the load
     */
    public UpstreamLoad load() {
        return load;
    }

    /**
     * Notes the time that a whole answer, or the first event of a stream, took.
     *
     * @param millis the time in milliseconds
     */
    public void answered(double millis) {
        answerMillis = answerMillis == 0 ? millis : answerMillis + SMOOTHING * (millis - answerMillis);
    }

    /**
     * Returns the smoothed time of answers.
     *
     * @return milliseconds, or zero if none was seen
     */
    public double answerMillis() {
        return answerMillis;
    }

    /**
     * Notes that bytes arrived from the upstream.
     *
     * @param nowMillis the present time in milliseconds
     */
    public void heard(long nowMillis) {
        lastBytesMillis = nowMillis;
    }

    /**
     * Returns when bytes last arrived.
     *
     * @return a time in milliseconds, or zero if never
     */
    public long lastBytesMillis() {
        return lastBytesMillis;
    }
}
