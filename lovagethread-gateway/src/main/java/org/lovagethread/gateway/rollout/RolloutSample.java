package org.lovagethread.gateway.rollout;

/** An attempt whose outcome is counted for one of the versions of a rollout. */
public final class RolloutSample {
    private final VersionStatistics statistics;
    private final String route;
    private final int group;
    private boolean failed;

    RolloutSample(VersionStatistics statistics, String route, int group) {
        this.statistics = statistics;
        this.route = route;
        this.group = group;
    }

    /**
     * Records the first event of a stream or another complete response.
     *
     * @param latencyMillis the time to it in milliseconds, without the time on the network
     */
    public void recordResponse(double latencyMillis) {
        statistics.recordResponse(route, group, latencyMillis);
    }

    /** Records that the attempt failed. Only the first failure of an attempt counts. */
    public void recordFailure() {
        if (!failed) {
            failed = true;
            statistics.recordFailure(route, group);
        }
    }
}
