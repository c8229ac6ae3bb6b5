package org.lovagethread.core.call;

import org.lovagethread.core.error.ErrorKind;

/** Classifies calls by what may safely be done with a failed attempt. */
public enum CallKind {
    /** A model stream: idempotent, and resumable at a chunk number. */
    GENERATE(true, ErrorKind.UPSTREAM_FAILED),
    /** An idempotent read of a plain service. */
    READ(true, ErrorKind.UPSTREAM_FAILED),
    /** A non-idempotent call of a plain service, such as a booking. */
    SUBMIT(false, ErrorKind.OUTCOME_UNKNOWN);

    private final boolean idempotent;
    private final ErrorKind failure;

    CallKind(boolean idempotent, ErrorKind failure) {
        this.idempotent = idempotent;
        this.failure = failure;
    }

    /**
     * Returns the error given when attempts failed after something was sent.
     *
     * @return the error kind, never null
     */
    public ErrorKind failure() {
        return failure;
    }

    /**
     * Tests whether an attempt may be repeated after a failed one.
     *
     * @return true if a second execution does no harm
     */
    public boolean idempotent() {
        return idempotent;
    }

    /**
     * Tests whether another attempt is safe after one that ended with an outcome.
     *
     * @param outcome the end of the earlier attempt
     * @return true if a repeated send cannot run the call twice, or running twice does no harm
     */
    public boolean mayRetryAfter(AttemptOutcome outcome) {
        return idempotent || outcome.provedNotRun();
    }
}
