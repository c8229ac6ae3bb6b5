package org.lovagethread.core.command;

import java.util.Locale;

/** Kind of a decision about a call that is recorded for logs, metrics and the explanation of requests. */
public enum DecisionKind {
    /** The call passed admission. */
    ADMITTED,
    /** This node continues the stream of a peer that is shutting down. */
    ADOPTED,
    /** A reconnecting caller was attached to the stream of its earlier connection. */
    ATTACHED,
    /** The claim on the idempotency key was written. */
    CLAIMED,
    /** The response to the caller was completed. */
    COMPLETED,
    /** The attempt was left on a leaving upstream, because it is expected to end before the reclaim deadline. */
    FINISHING_IN_PLACE,
    /** A peer continues the stream because this node is shutting down. */
    HANDED_OVER,
    /** Another attempt was started because the upstream is leaving. */
    MOVED,
    /** The call was queued until an upstream is available. */
    QUEUED,
    /** The call was refused, or its stream ended with an error. */
    REFUSED,
    /** The recorded response of an earlier call was returned. */
    REPLAYED,
    /** Another attempt was started because an earlier one failed. */
    RETRIED,
    /** An upstream was selected. */
    ROUTED;

    /**
     * Returns the label used in logs and metrics.
     *
     * @return the name in lower case with hyphens
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
