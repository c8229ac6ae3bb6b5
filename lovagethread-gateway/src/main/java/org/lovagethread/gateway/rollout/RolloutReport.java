package org.lovagethread.gateway.rollout;

/**
 * What a gateway tells its peers about a rollout.
 *
 * @param rollout the rollout, with the deadline in the clock of this gateway
 * @param stage the stage
 * @param statistics the totals since the order; empty after the end of the rollout
 */
public record RolloutReport(Rollout rollout, RolloutStage stage, VersionStatistics statistics) {}
