package org.lovagethread.core.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/** Collects the commands emitted while an event is handled, in order. */
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
     * Removes and returns all commands.
     *
     * @return the commands in insertion order; empty if there are none
     */
    public List<Command> drain() {
        if (commands.isEmpty()) {
            return List.of();
        }
        List<Command> result = commands;
        commands = new ArrayList<>();
        return result;
    }
}
