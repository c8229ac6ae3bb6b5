package org.lovagethread.core.lease;

/** Lists how an order to an engine can end. */
public enum OrderOutcome {
    /** The engine took the order. */
    TAKEN,
    /** The engine refused the order because of an old fencing number. */
    FENCED,
    /** The order was not sent, since its deadline had passed. */
    EXPIRED,
    /** The engine gave no usable answer; it may have taken the order. */
    NO_ANSWER
}
