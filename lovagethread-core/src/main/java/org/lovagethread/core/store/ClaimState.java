package org.lovagethread.core.store;

/** Lists the states of a claim on an idempotency key. */
public enum ClaimState {
    /** The owner may have sent the call, or may still send it. */
    PENDING,
    /** The call ran and its answer is recorded. */
    ANSWERED,
    /** It is proved that nothing was sent under this claim; another call may take it over. */
    NOT_SENT,
    /** The call was sent and its outcome cannot be told. */
    UNKNOWN
}
