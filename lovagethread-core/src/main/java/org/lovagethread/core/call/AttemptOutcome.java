package org.lovagethread.core.call;

/** Lists the ways in which one attempt at an upstream can end. */
public enum AttemptOutcome {
    /** The whole answer arrived and carries the identity of this attempt. */
    COMPLETE(false),
    /** The connection could not be established, so no byte of the call left the node. */
    NOT_SENT(true),
    /** The upstream stated that it did nothing with the call. */
    DECLINED(true),
    /** The connection broke, or the answer was cut short, after sending began. */
    BROKEN(false),
    /** The upstream answered with an error status and did not state that it did nothing. */
    FAILED(false),
    /** The answer carries the identity of another call, or its chunks are out of order. */
    MISMATCHED(false),
    /** No answer came within the deadline of the attempt. */
    TIMED_OUT(false),
    /** The attempt was cancelled by the node. */
    CANCELLED(false);

    private final boolean provedNotRun;

    AttemptOutcome(boolean provedNotRun) {
        this.provedNotRun = provedNotRun;
    }

    /**
     * Tests whether it is certain that the upstream ran nothing.
     *
     * @return true only for outcomes that prove it
     */
    public boolean provedNotRun() {
        return provedNotRun;
    }
}
