package org.lovagethread.gateway.upstream;

import org.lovagethread.gateway.policy.FailureDetector;

/** An upstream with its registration and the statistics of this gateway. Not thread-safe. */
public final class Upstream {
    /** Weight of the latest sample in the moving average of response times. */
    private static final double RESPONSE_TIME_WEIGHT = 0.15;

    private final FailureDetector failures = new FailureDetector();
    private final UpstreamLoad load = new UpstreamLoad();
    private UpstreamEntry entry;
    private double answerMillis;
    private long lastBytesMillis;

    /**
     * Creates an upstream.
     *
     * @param entry the registration of the upstream
     */
    public Upstream(UpstreamEntry entry) {
        this.entry = entry;
    }

    /**
     * Returns the registration of the upstream.
     *
     * @return the latest entry
     */
    public UpstreamEntry entry() {
        return entry;
    }

    /**
     * Replaces the registration of the upstream.
     *
     * @param newEntry the latest entry
     */
    public void entry(UpstreamEntry newEntry) {
        entry = newEntry;
    }

    /**
     * Returns the failure detector, which records the outcomes of requests.
     *
     * @return the failure detector
     */
    public FailureDetector failures() {
        return failures;
    }

    /**
     * Returns the work in progress at the upstream.
     *
     * @return the load
     */
    public UpstreamLoad load() {
        return load;
    }

    /**
     * Records the response time of a request: the time to its complete response or to the first event of its stream.
     *
     * @param responseMillis the response time in milliseconds
     */
    public void answered(double responseMillis) {
        answerMillis = answerMillis == 0
                ? responseMillis
                : answerMillis + RESPONSE_TIME_WEIGHT * (responseMillis - answerMillis);
    }

    /**
     * Returns the exponential moving average of response times.
     *
     * @return the average in milliseconds, or zero if no response time has been recorded
     */
    public double answerMillis() {
        return answerMillis;
    }

    /**
     * Records that bytes were received from the upstream.
     *
     * @param nowMillis the current time in milliseconds
     */
    public void heard(long nowMillis) {
        lastBytesMillis = nowMillis;
    }

    /**
     * Returns the time at which bytes were last received.
     *
     * @return the time in milliseconds, or zero if none have been received
     */
    public long lastBytesMillis() {
        return lastBytesMillis;
    }
}
