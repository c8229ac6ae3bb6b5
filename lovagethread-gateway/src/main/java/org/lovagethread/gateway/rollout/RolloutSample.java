package org.lovagethread.gateway.rollout;

/** An attempt whose outcome is counted for one of the versions of a rollout. */
public final class RolloutSample {
    /** Latency that stands for the predicted one, in milliseconds. */
    private static final double PREDICTED_MILLIS = 100;

    private final VersionStatistics statistics;
    private final String route;
    private final int group;
    private final long networkMillis;
    private boolean failed;

    RolloutSample(VersionStatistics statistics, String route, int group, long networkMillis) {
        this.statistics = statistics;
        this.route = route;
        this.group = group;
        this.networkMillis = networkMillis;
    }

    /**
     * Records the first event of a stream or another complete response.
     *
     * @param latencyMillis the time to it in milliseconds
     */
    public void recordResponse(long latencyMillis) {
        statistics.recordResponse(route, group, (double) (latencyMillis - networkMillis));
    }

    /**
     * Records the first event of a stream whose latency depends on the length of the prompt.
     *
     * @param deviation the time to it as a multiple of the predicted time
     */
    public void recordDeviation(double deviation) {
        statistics.recordResponse(route, group, PREDICTED_MILLIS * deviation);
    }

    /** Records that the attempt failed. Only the first failure of an attempt counts. */
    public void recordFailure() {
        if (!failed) {
            failed = true;
            statistics.recordFailure(route, group);
        }
    }
}
