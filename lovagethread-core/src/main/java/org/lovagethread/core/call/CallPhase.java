package org.lovagethread.core.call;

/** Phase in the life cycle of a call. */
enum CallPhase {
    /** The claim on the idempotency key is being written, or its state is being determined. */
    CLAIMING,
    /** Another call owns the claim and may still be running. */
    AWAITING_OWNER,
    /** No attempt is in flight; the call waits for an upstream. */
    WAITING,
    /** At least one attempt is in flight. */
    RUNNING,
    /** The stream was offered to a peer, which has not replied yet. */
    HANDING_OVER,
    /** The outcome is being written to the claim. */
    RECORDING,
    /** The call has ended; its stream is retained for a reconnecting caller. */
    ENDED
}
