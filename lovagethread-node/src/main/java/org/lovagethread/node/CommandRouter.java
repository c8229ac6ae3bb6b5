package org.lovagethread.node;

import org.lovagethread.core.command.Command;
import org.lovagethread.node.decision.CommandSink;
import org.lovagethread.node.worker.MpscQueue;

/** Routes each command of the core to the queue of the worker that executes it. */
final class CommandRouter implements CommandSink {
    private final MpscQueue<Command> callerCommands;
    private final MpscQueue<Command> orderCommands;
    private final MpscQueue<Command> storeCommands;
    private final Runnable exitAction;
    private final MpscQueue<Command> peerCommands;
    private final MpscQueue<Command> telemetryCommands;
    private final MpscQueue<Command> upstreamCommands;

    CommandRouter(
            MpscQueue<Command> callerCommands,
            MpscQueue<Command> upstreamCommands,
            MpscQueue<Command> storeCommands,
            MpscQueue<Command> orderCommands,
            MpscQueue<Command> peerCommands,
            MpscQueue<Command> telemetryCommands,
            Runnable exitAction) {
        this.callerCommands = callerCommands;
        this.upstreamCommands = upstreamCommands;
        this.storeCommands = storeCommands;
        this.orderCommands = orderCommands;
        this.peerCommands = peerCommands;
        this.telemetryCommands = telemetryCommands;
        this.exitAction = exitAction;
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
            upstreamCommands.put(command);
        } else if (isForStore(command)) {
            storeCommands.put(command);
        } else if (command instanceof Command.SendOrder) {
            orderCommands.put(command);
        } else if (isForPeers(command)) {
            peerCommands.put(command);
        } else if (command instanceof Command.NoteDecision || command instanceof Command.ActivateConfiguration) {
            telemetryCommands.offer(command);
        } else if (command instanceof Command.ExitProcess) {
            exitAction.run();
        } else {
            callerCommands.put(command);
        }
    }
}
