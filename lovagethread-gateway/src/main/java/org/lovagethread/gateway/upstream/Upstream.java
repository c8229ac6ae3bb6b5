package org.lovagethread.gateway.upstream;

import org.lovagethread.gateway.policy.FailureDetector;

/** An upstream with its registration and the statistics of this gateway. Not thread-safe. */
public final class Upstream {
    private final FailureDetector failureDetector = new FailureDetector();
    private final UpstreamLoad load = new UpstreamLoad();
    private final UpstreamSpeed speed = new UpstreamSpeed();
    private final StallDetector stall = new StallDetector();
    private UpstreamEntry entry;
    private UpstreamEntry listedEntry;
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
        this.listedEntry = entry;
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
     * Returns the registration as it was listed, which leaving marks do not change.
     *
     * @return the latest entry of the store
     */
    public UpstreamEntry listedEntry() {
        return listedEntry;
    }

    /**
     * Replaces the registration as it was listed.
     *
     * @param newEntry the latest entry of the store
     */
    public void listedEntry(UpstreamEntry newEntry) {
        listedEntry = newEntry;
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
     * Returns the lasting speed of the upstream.
     *
     * @return the speed
     */
    public UpstreamSpeed speed() {
        return speed;
    }

    /**
     * Returns the detector of temporary slowness.
     *
     * @return the detector
     */
    public StallDetector stall() {
        return stall;
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
