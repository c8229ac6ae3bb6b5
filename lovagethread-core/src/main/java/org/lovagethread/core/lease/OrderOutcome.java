package org.lovagethread.core.lease;

/** Outcome of an order to an engine. */
public enum OrderOutcome {
    /** The engine accepted the order. */
    TAKEN,
    /** The engine rejected the order because of an outdated fencing token. */
    FENCED,
    /** The order was not sent because its deadline had passed. */
    EXPIRED,
    /** The engine sent no valid response; it may have accepted the order. */
    NO_ANSWER
}
