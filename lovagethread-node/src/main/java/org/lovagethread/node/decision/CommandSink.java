package org.lovagethread.node.decision;

import org.lovagethread.core.command.Command;

/** Carries a command to the duty that does it; called on the decision thread. */
@FunctionalInterface
public interface CommandSink {
    /**
     * Hands on one command.
     *
     * @param command the command
     */
    void accept(Command command);
}
