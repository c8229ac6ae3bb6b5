package org.lovagethread.core.store;

/** State of a claim on an idempotency key. */
public enum ClaimState {
    /** The owner may have sent the call or may still send it. */
    PENDING,
    /** The call was executed and its response is stored. */
    ANSWERED,
    /** The call was definitely not sent under this claim; another call may take the claim over. */
    NOT_SENT,
    /** The call was sent and its outcome cannot be determined. */
    UNKNOWN
}
