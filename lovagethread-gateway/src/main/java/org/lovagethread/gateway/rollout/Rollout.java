package org.lovagethread.gateway.rollout;

import java.util.Objects;

/**
 * An order to move the traffic of a service to the upstreams of another version.
 *
 * @param service the name of the service
 * @param target the version to which the traffic is to be moved
 * @param revision the latest revision of the order that is known
 * @param durationMillis the time from the order to its deadline, in milliseconds
 * @param deadlineMillis the time by which the rollout must have ended, in milliseconds
 */
public record Rollout(String service, String target, long revision, long durationMillis, long deadlineMillis) {

    /** Checks the duration. */
    public Rollout {
        if (durationMillis <= 0) {
            throw new IllegalArgumentException("durationMillis must be positive but was " + durationMillis);
        }
    }

    /**
     * Returns which part of the duration has passed.
     *
     * @param nowMillis the current time in milliseconds
     * @return the part; zero or less at the order, one at the deadline, more after it
     */
    public double progress(long nowMillis) {
        return 1 - (double) (deadlineMillis - nowMillis) / durationMillis;
    }

    /**
     * Returns this order with the later of two revisions and the earlier of two deadlines.
     *
     * @param otherRevision another revision of the order
     * @param otherDeadlineMillis another estimate of its deadline, in milliseconds
     * @return the order
     */
    public Rollout merge(long otherRevision, long otherDeadlineMillis) {
        return new Rollout(
                service,
                target,
                Math.max(revision, otherRevision),
                durationMillis,
                Math.min(deadlineMillis, otherDeadlineMillis));
    }

    // Implemented explicitly, because linking the generated methods at run time delays the start of the process.
    @Override
    public boolean equals(Object other) {
        return other instanceof Rollout rollout
                && service.equals(rollout.service)
                && target.equals(rollout.target)
                && revision == rollout.revision
                && durationMillis == rollout.durationMillis
                && deadlineMillis == rollout.deadlineMillis;
    }

    @Override
    public int hashCode() {
        return Objects.hash(service, target, revision, durationMillis, deadlineMillis);
    }
}
