package org.lovagethread.core.member;

import org.lovagethread.core.Checks;

/**
 * Names an upstream that takes no new work.
 *
 * @param upstream the identifier of the upstream
 * @param deadlineMillis the time at which it will be gone, in milliseconds since the epoch
 */
public record LeavingUpstream(String upstream, long deadlineMillis) {

    /** Validates the fields. */
    public LeavingUpstream {
        Checks.notBlank(upstream, "upstream");
    }
}
