package org.lovagethread.core.command;

import java.util.Locale;

/** Lists the decisions about a call that are noted for logs, metrics and explanations. */
public enum DecisionKind {
    /** The call passed admission. */
    ADMITTED,
    /** The stream of a stopping peer goes on here. */
    ADOPTED,
    /** The stream of an earlier connection goes on for a caller that came back. */
    ATTACHED,
    /** The claim on the idempotency key is recorded. */
    CLAIMED,
    /** The whole answer was released to the caller. */
    COMPLETED,
    /** The attempt stays on a leaving upstream, since it should end before the deadline. */
    FINISHING_IN_PLACE,
    /** The stream goes on at a peer, since this node is stopping. */
    HANDED_OVER,
    /** Another attempt was started because the upstream is leaving. */
    MOVED,
    /** The call waits for an upstream. */
    QUEUED,
    /** The call was refused, or its stream ended with an error. */
    REFUSED,
    /** The recorded answer of an earlier call was given again. */
    REPLAYED,
    /** Another attempt was started because an earlier one failed. */
    RETRIED,
    /** An upstream was chosen. */
    ROUTED;

    /**
     * Returns the word used in logs and metrics.
     *
     * @return the name in lower case with hyphens
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
