package org.lovagethread.gateway.rollout;

import java.util.Optional;

/**
 * An order as it is stored.
 *
 * @param service the name of the service
 * @param target the version to which the traffic is to be moved
 * @param durationMillis the time from the order to its deadline, in milliseconds
 * @param isRunning whether its status states that it has been taken up
 * @param end the final stage that its status states; empty if the order is open
 */
public record RolloutOrder(
        String service, String target, long durationMillis, boolean isRunning, Optional<RolloutStage> end) {}
