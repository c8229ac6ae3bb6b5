package org.lovagethread.gateway.upstream;

import org.lovagethread.gateway.policy.FailureDetector;

/** An upstream with its registration and the statistics of this gateway. Not thread-safe. */
public final class Upstream {
    /** Weight of the latest sample in the moving averages. */
    private static final double SAMPLE_WEIGHT = 0.15;

    private final FailureDetector failureDetector = new FailureDetector();
    private final UpstreamLoad load = new UpstreamLoad();
    private UpstreamEntry entry;
    private double averageResponseMillis;
    private double averageDeviation = 1;
    private long lastReceivedMillis;
    private long revision;
    private boolean announcedLeaving;

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
     * Returns the revision of the registration.
     *
     * @return the revision of the store
     */
    public long revision() {
        return revision;
    }

    /**
     * Sets the revision of the registration.
     *
     * @param newRevision the revision of the store
     */
    public void revision(long newRevision) {
        revision = newRevision;
    }

    /**
     * Returns whether the process of the upstream has announced its shutdown.
     *
     * @return false if it has not, or if only the removal of its entry is known
     */
    public boolean hasAnnouncedLeaving() {
        return announcedLeaving;
    }

    /**
     * Sets whether the process of the upstream has announced its shutdown.
     *
     * @param announced whether it has
     */
    public void announcedLeaving(boolean announced) {
        announcedLeaving = announced;
    }

    /**
     * Returns the failure detector, which records the outcomes of requests.
     *
     * @return the failure detector
     */
    public FailureDetector failureDetector() {
        return failureDetector;
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
    public void recordResponseTime(double responseMillis) {
        averageResponseMillis = averageResponseMillis == 0
                ? responseMillis
                : averageResponseMillis + SAMPLE_WEIGHT * (responseMillis - averageResponseMillis);
    }

    /**
     * Returns the exponential moving average of response times.
     *
     * @return the average in milliseconds, or zero if no response time has been recorded
     */
    public double averageResponseMillis() {
        return averageResponseMillis;
    }

    /**
     * Records the time to the first event of a stream relative to the time predicted for engines of the service.
     *
     * @param deviation the measured time as a multiple of the predicted time
     */
    public void recordDeviation(double deviation) {
        averageDeviation += SAMPLE_WEIGHT * (deviation - averageDeviation);
    }

    /**
     * Returns the exponential moving average of the times to the first event relative to the predicted times.
     *
     * @return the average; one if no first event has been recorded
     */
    public double averageDeviation() {
        return averageDeviation;
    }

    /**
     * Records that bytes were received from the upstream.
     *
     * @param nowMillis the current time in milliseconds
     */
    public void recordReceived(long nowMillis) {
        lastReceivedMillis = nowMillis;
    }

    /**
     * Returns the time at which bytes were last received.
     *
     * @return the time in milliseconds, or zero if none have been received
     */
    public long lastReceivedMillis() {
        return lastReceivedMillis;
    }
}
