package org.lovagethread.core.call;

/** Outcome of an attempt to send a call to an upstream. */
public enum AttemptOutcome {
    /** The complete response arrived and its identifiers match this attempt. */
    COMPLETE(false),
    /** The connection could not be established, so no byte of the call was sent. */
    NOT_SENT(true),
    /** The upstream reported that it did not execute the call. */
    DECLINED(true),
    /** The connection broke, or the response was truncated, after sending had started. */
    BROKEN(false),
    /** The upstream returned an error status without reporting that it did not execute the call. */
    FAILED(false),
    /** The identifiers in the response belong to another call, or its chunks are out of order. */
    MISMATCHED(false),
    /** No response arrived before the deadline of the attempt. */
    TIMED_OUT(false),
    /** The attempt was cancelled by the node. */
    CANCELLED(false);

    private final boolean provesNotRun;

    AttemptOutcome(boolean provesNotRun) {
        this.provesNotRun = provesNotRun;
    }

    /**
     * Returns whether this outcome proves that the upstream did not execute the call.
     *
     * @return true if the call was certainly not executed; false if it may have been
     */
    public boolean provesNotRun() {
        return provesNotRun;
    }
}
