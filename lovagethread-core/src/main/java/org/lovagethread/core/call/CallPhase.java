package org.lovagethread.core.call;

/** Lists the phases of a call inside the core. */
enum CallPhase {
    /** The claim on the idempotency key is being written or settled. */
    CLAIMING,
    /** Another call holds the claim and may still be running. */
    AWAITING_OWNER,
    /** No attempt is in flight; the call waits for an upstream. */
    WAITING,
    /** At least one attempt is in flight. */
    RUNNING,
    /** A peer was asked to carry the stream on. */
    HANDING_OVER,
    /** The outcome is being recorded in the claim. */
    RECORDING,
    /** The call has ended; its stream is kept for a caller that comes back. */
    ENDED
}
