package org.lovagethread.node;

import org.lovagethread.core.command.Command;
import org.lovagethread.node.decision.CommandSink;
import org.lovagethread.node.duty.Ring;

/** Carries each command of the core to the ring of the duty that does it. */
final class CommandRouter implements CommandSink {
    private final Ring<Command> callers;
    private final Ring<Command> orders;
    private final Ring<Command> store;
    private final Runnable exit;
    private final Ring<Command> peers;
    private final Ring<Command> telemetry;
    private final Ring<Command> upstreams;

    CommandRouter(
            Ring<Command> callers,
            Ring<Command> upstreams,
            Ring<Command> store,
            Ring<Command> orders,
            Ring<Command> peers,
            Ring<Command> telemetry,
            Runnable exit) {
        this.callers = callers;
        this.upstreams = upstreams;
        this.store = store;
        this.orders = orders;
        this.peers = peers;
        this.telemetry = telemetry;
        this.exit = exit;
    }

    private static boolean isForPeers(Command command) {
        return command instanceof Command.TellPeers
                || command instanceof Command.RequestConfiguration
                || command instanceof Command.HandOverCall
                || command instanceof Command.AnswerAdoption;
    }

    private static boolean isForStore(Command command) {
        return command instanceof Command.WriteClaim
                || command instanceof Command.ReadClaim
                || command instanceof Command.WriteLease
                || command instanceof Command.ReadLease;
    }

    @Override
    public void accept(Command command) {
        if (command instanceof Command.StartAttempt || command instanceof Command.CancelAttempt) {
            upstreams.put(command);
        } else if (isForStore(command)) {
            store.put(command);
        } else if (command instanceof Command.SendOrder) {
            orders.put(command);
        } else if (isForPeers(command)) {
            peers.put(command);
        } else if (command instanceof Command.NoteDecision || command instanceof Command.ActivateConfiguration) {
            telemetry.offer(command);
        } else if (command instanceof Command.ExitProcess) {
            exit.run();
        } else {
            callers.put(command);
        }
    }
}
