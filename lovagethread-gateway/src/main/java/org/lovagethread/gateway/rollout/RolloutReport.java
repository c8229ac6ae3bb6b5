package org.lovagethread.gateway.rollout;

/**
 * What a gateway tells its peers about a rollout.
 *
 * @param rollout the rollout, with the deadline in the clock of this gateway
 * @param stage the stage
 * @param stoppedGateways the number of gateways that have found clear evidence against the target version
 * @param statistics the totals since the order; empty after the end of the rollout
 */
public record RolloutReport(Rollout rollout, RolloutStage stage, int stoppedGateways, VersionStatistics statistics) {

    /**
     * Returns this report with a limited number of gateways that have found evidence.
     *
     * @param maxGateways the number of gateways that the sender speaks for
     * @return the report
     */
    public RolloutReport withStoppedAtMost(int maxGateways) {
        return new RolloutReport(rollout, stage, Math.min(stoppedGateways, maxGateways), statistics);
    }
}
