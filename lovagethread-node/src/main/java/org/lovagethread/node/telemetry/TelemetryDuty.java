package org.lovagethread.node.telemetry;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import org.lovagethread.core.command.Command;
import org.lovagethread.node.duty.Duty;
import org.lovagethread.node.duty.NodeClock;
import org.lovagethread.node.duty.Ring;

/** Logs, counts and keeps the decisions of the core. */
public final class TelemetryDuty implements Duty {
    private static final Logger LOG = System.getLogger(TelemetryDuty.class.getName());
    private static final long WAIT_MILLIS = 1_000;

    private final NodeClock clock;
    private final Ring<Command> commands;
    private final Explanations explanations;
    private final NodeMetrics metrics;

    /**
     * Creates the duty.
     *
     * @param commands brings the decisions
     * @param explanations keeps decisions by request
     * @param metrics counts decisions
     * @param clock tells the time
     */
    public TelemetryDuty(Ring<Command> commands, Explanations explanations, NodeMetrics metrics, NodeClock clock) {
        this.commands = commands;
        this.explanations = explanations;
        this.metrics = metrics;
        this.clock = clock;
    }

    @Override
    public String name() {
        return "telemetry";
    }

    @Override
    public void step() {
        Command command = commands.take(WAIT_MILLIS);
        if (command instanceof Command.NoteDecision note) {
            metrics.decided(note.decision());
            explanations.add(
                    note.requestId(),
                    new Explanations.Decision(
                            clock.millis(), note.callId(), note.decision().label(), note.detail()));
            LOG.log(
                    Level.DEBUG,
                    "call-{0} request={1} call={2} {3}",
                    note.decision().label(),
                    note.requestId(),
                    String.valueOf(note.callId()),
                    note.detail());
        } else if (command instanceof Command.ActivateConfiguration activate) {
            LOG.log(Level.INFO, "configuration-in-force revision {0}", String.valueOf(activate.revision()));
        }
    }
}
