package org.lovagethread.core.call;

import org.lovagethread.core.error.ErrorKind;

/** Kind of a call, which determines whether a failed attempt may be retried. */
public enum CallKind {
    /** A model stream: idempotent and resumable from any chunk. */
    GENERATE(true, ErrorKind.UPSTREAM_FAILED),
    /** An idempotent read from a plain service. */
    READ(true, ErrorKind.UPSTREAM_FAILED),
    /** A non-idempotent call to a plain service, such as a booking. */
    SUBMIT(false, ErrorKind.OUTCOME_UNKNOWN);

    private final boolean idempotent;
    private final ErrorKind errorAfterSend;

    CallKind(boolean idempotent, ErrorKind errorAfterSend) {
        this.idempotent = idempotent;
        this.errorAfterSend = errorAfterSend;
    }

    /**
     * Returns the error reported to the caller if attempts fail after part of the call was sent.
     *
     * @return the error kind, never null
     */
    public ErrorKind errorAfterSend() {
        return errorAfterSend;
    }

    /**
     * Returns whether calls of this kind are idempotent.
     *
     * @return true if executing a call more than once is harmless
     */
    public boolean isIdempotent() {
        return idempotent;
    }

    /**
     * Returns whether a call may safely be retried after an attempt with the given outcome.
     *
     * @param outcome the outcome of the failed attempt
     * @return true if the call is idempotent or the failed attempt certainly did not execute it
     */
    public boolean mayRetryAfter(AttemptOutcome outcome) {
        return idempotent || outcome.provesNotRun();
    }
}
