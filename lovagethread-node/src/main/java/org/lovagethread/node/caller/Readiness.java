package org.lovagethread.node.caller;

/** Tells whether the node can serve callers. */
@FunctionalInterface
public interface Readiness {
    /**
     * Returns why the node cannot serve.
     *
     * @return the reason, or an empty text if the node is ready
     */
    String reasonNotReady();
}
