package org.lovagethread.gateway.rollout;

import java.util.Optional;

/** Stage of a rollout. A later stage never returns to an earlier one. */
public enum RolloutStage {
    /** A bounded share of the requests is sent to a few upstreams of the target version. */
    CANARY(1, false),
    /** All new requests are sent to the target version; bad responses still end the rollout. */
    SHIFTING(2, false),
    /** The target version has replaced the old one. */
    COMPLETED(3, true),
    /** The target version receives no requests. */
    ROLLED_BACK(4, true);

    private final int number;
    private final boolean ended;

    RolloutStage(int number, boolean ended) {
        this.number = number;
        this.ended = ended;
    }

    /**
     * Returns the number of the stage in messages between gateways.
     *
     * @return the number
     */
    public int number() {
        return number;
    }

    /**
     * Returns whether the rollout has ended.
     *
     * @return true if the decision is final
     */
    public boolean isEnded() {
        return ended;
    }

    /**
     * Returns whether a rollout in this stage may continue with another stage.
     *
     * @param next the other stage
     * @return true if the other stage is later and this one is not final
     */
    public boolean mayBecome(RolloutStage next) {
        return !ended && next.number > number;
    }

    /**
     * Returns the stage with a number.
     *
     * @param number the number
     * @return the stage, or empty if there is none with this number
     */
    public static Optional<RolloutStage> of(int number) {
        for (RolloutStage stage : values()) {
            if (stage.number == number) {
                return Optional.of(stage);
            }
        }
        return Optional.empty();
    }
}
