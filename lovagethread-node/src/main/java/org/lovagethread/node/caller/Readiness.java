package org.lovagethread.node.caller;

/** Reports whether the node can serve callers. */
@FunctionalInterface
public interface Readiness {
    /**
     * Returns the reason why the node is not ready.
     *
     * @return the reason, or an empty string if the node is ready
     */
    String notReadyReason();
}
