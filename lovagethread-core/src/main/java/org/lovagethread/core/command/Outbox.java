package org.lovagethread.core.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/** Collects the commands that the handling of one event emits, in order. */
public final class Outbox {
    private List<Command> commands = new ArrayList<>();

    /**
     * Adds a command.
     *
     * @param command the command
     */
    public void add(Command command) {
        commands.add(Objects.requireNonNull(command, "command"));
    }

    /**
     * Returns the commands added since the last call and empties the outbox.
     *
     * @return the commands in the order of addition; empty if there are none
     */
    public List<Command> drain() {
        if (commands.isEmpty()) {
            return List.of();
        }
        List<Command> drained = commands;
        commands = new ArrayList<>();
        return drained;
    }
}
