package org.lovagethread.gateway.rollout;

import java.util.Optional;

/**
 * Decides when a rollout enters its next stage.
 *
 * <p>A version may turn bad after a while, so a good verdict is reached as late as the deadline allows. The times are
 * parts of the duration, which may be as short as 12 s while a call to the store takes a second.
 */
final class RolloutDecision {
    /** Part of the duration after which all traffic may be shifted to the target version. */
    static final double EARLIEST_SHIFT = 0.65;

    /** Part of the duration after which a version that cannot be judged is rolled back. */
    private static final double LATEST_SHIFT = 0.75;

    /** Part of the duration until which some repeatable requests are sent to the old version for comparison. */
    static final double LAST_CONTROL = 0.72;

    /** Part of the duration after which a rollout is completed; two calls to the store fit before the deadline. */
    private static final double COMPLETION = 0.82;

    private RolloutDecision() {}

    /**
     * Returns the stage that the rollout should enter now.
     *
     * @param rollout the rollout
     * @param stage its current stage
     * @param judge the judge with the merged statistics
     * @param nowMillis the current time in milliseconds
     * @return the next stage, or empty if the stage does not change
     */
    static Optional<RolloutStage> next(Rollout rollout, RolloutStage stage, RolloutJudge judge, long nowMillis) {
        double progress = rollout.progress(nowMillis);
        if (stage.isEnded()) {
            return Optional.empty();
        }
        if (judge.isBad() || progress >= 1) {
            return Optional.of(RolloutStage.ROLLED_BACK);
        }
        if (stage == RolloutStage.SHIFTING) {
            return progress >= COMPLETION ? Optional.of(RolloutStage.COMPLETED) : Optional.empty();
        }
        if (progress < EARLIEST_SHIFT) {
            return Optional.empty();
        }
        if (judge.isAcceptable()) {
            return Optional.of(RolloutStage.SHIFTING);
        }
        return progress < LATEST_SHIFT ? Optional.empty() : Optional.of(RolloutStage.ROLLED_BACK);
    }
}
