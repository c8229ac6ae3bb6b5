package org.lovagethread.core.member;

import org.lovagethread.core.Checks;

/**
 * Mark of an upstream that is about to be reclaimed and receives no new attempts.
 *
 * @param upstream the identifier of the upstream
 * @param deadlineMillis the time at which it will be reclaimed, in milliseconds since the epoch
 */
public record LeavingUpstream(String upstream, long deadlineMillis) {

    /** Validates the fields. */
    public LeavingUpstream {
        Checks.notBlank(upstream, "upstream");
    }
}
