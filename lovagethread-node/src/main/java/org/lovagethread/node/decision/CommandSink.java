package org.lovagethread.node.decision;

import org.lovagethread.core.command.Command;

/** Receives the commands of the core. It is called on the thread of the core. */
@FunctionalInterface
public interface CommandSink {
    /**
     * Accepts a command for execution.
     *
     * @param command the command
     */
    void accept(Command command);
}
