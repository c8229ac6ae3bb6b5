package org.lovagethread.node.telemetry;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import org.lovagethread.core.command.Command;
import org.lovagethread.node.worker.MonotonicClock;
import org.lovagethread.node.worker.MpscQueue;
import org.lovagethread.node.worker.Worker;

/** Records the decisions of the core in logs, metrics and the decision history. */
public final class TelemetryWorker implements Worker {
    private static final Logger LOG = System.getLogger(TelemetryWorker.class.getName());
    private static final long POLL_TIMEOUT_MILLIS = 1_000;

    private final MonotonicClock clock;
    private final MpscQueue<Command> commands;
    private final DecisionHistory decisionHistory;
    private final NodeMetrics metrics;

    /**
     * Creates the worker.
     *
     * @param commands the queue of decisions and activated configurations
     * @param decisionHistory stores the decisions by request
     * @param metrics counts the decisions
     * @param clock provides the current time
     */
    public TelemetryWorker(
            MpscQueue<Command> commands, DecisionHistory decisionHistory, NodeMetrics metrics, MonotonicClock clock) {
        this.commands = commands;
        this.decisionHistory = decisionHistory;
        this.metrics = metrics;
        this.clock = clock;
    }

    @Override
    public String name() {
        return "telemetry";
    }

    @Override
    public void runIteration() {
        Command command = commands.poll(POLL_TIMEOUT_MILLIS);
        if (command instanceof Command.NoteDecision note) {
            metrics.recordDecision(note.decision());
            decisionHistory.add(
                    note.requestId(),
                    new DecisionHistory.Decision(
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
