package org.lovagethread.gateway.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.Optional;

/**
 * The decision about an order as the holder of the duty lease stores it before acting on it.
 *
 * @param target the version to which the traffic is to be moved
 * @param revision the revision of the order when it was taken up
 * @param deadlineMillis the deadline in cluster time, in milliseconds since the epoch
 * @param stage the stage that was decided
 * @param isClosed whether the status of the order states the final stage
 * @param fencingToken the fencing token of the gateway that decided
 */
record RolloutRecord(
        String target, long revision, long deadlineMillis, RolloutStage stage, boolean isClosed, long fencingToken) {
    private static final String TARGET = "target";
    private static final String REVISION = "order";
    private static final String DEADLINE = "deadline";
    private static final String STAGE = "stage";
    private static final String CLOSED = "closed";
    private static final String FENCE = "fence";

    /** Decodes a record; empty if it cannot be read. */
    static Optional<RolloutRecord> decode(JsonNode content) {
        return RolloutStage.of(content.path(STAGE).asInt())
                .map(stage -> new RolloutRecord(
                        content.path(TARGET).asText(),
                        content.path(REVISION).asLong(),
                        content.path(DEADLINE).asLong(),
                        stage,
                        content.path(CLOSED).asBoolean(),
                        content.path(FENCE).asLong()));
    }

    JsonNode encode() {
        return JsonNodeFactory.instance
                .objectNode()
                .put(TARGET, target)
                .put(REVISION, revision)
                .put(DEADLINE, deadlineMillis)
                .put(STAGE, stage.number())
                .put(CLOSED, isClosed)
                .put(FENCE, fencingToken);
    }

    /**
     * Returns whether this is the decision about an open order. An order whose status does not state that it has been
     * taken up is another one if it has changed since the decision, even if its target is the same.
     */
    boolean concerns(RolloutOrder order, long orderRevision) {
        boolean isSameOrder = order.isRunning() || order.end().isPresent() || orderRevision == revision;
        return !isClosed && target.equals(order.target()) && isSameOrder;
    }

    RolloutRecord withStage(RolloutStage next, long token) {
        return new RolloutRecord(target, revision, deadlineMillis, next, false, token);
    }

    RolloutRecord asClosed(long token) {
        return new RolloutRecord(target, revision, deadlineMillis, stage, true, token);
    }
}
