package org.lovagethread.core.scenario;

import java.util.ArrayList;
import java.util.List;
import org.lovagethread.core.call.CallKind;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.event.Event;

/** Restarts the nodes one after another while callers resolve addresses and call them just before they expire. */
final class RollingRestart {
    private static final int ROUND_INTERVAL_MILLIS = 250;
    private static final long STOP_TIMEOUT_MILLIS = 120_000;

    private final Simulation simulation;
    private int callerCount;

    private RollingRestart(Simulation simulation) {
        this.simulation = simulation;
    }

    static void run(Simulation simulation) {
        new RollingRestart(simulation).run();
    }

    private void run() {
        for (String name : List.copyOf(simulation.nodes.keySet())) {
            simulation.deliver(simulation.nodes.get(name), new Event.StopRequested());
            long deadlineMillis = simulation.nowMillis + STOP_TIMEOUT_MILLIS;
            while (!simulation.nodes.get(name).exited && simulation.nowMillis < deadlineMillis) {
                runRound();
            }
            simulation.restartNode(name);
            simulation.deliver(simulation.nodes.get(name), new Event.ConfigurationOffered(Simulation.configuration(1)));
            for (int i = 0; i < 8; i++) {
                runRound();
            }
        }
    }

    /** Resolves an address at every running node and schedules a call to it for the time at which it expires. */
    private void runRound() {
        for (FakeNode node : new ArrayList<>(simulation.nodes.values())) {
            if (!node.isRunning()) {
                continue;
            }
            for (Command command : node.core.handle(
                    simulation.nowMillis,
                    new Event.AddressAsked(0, Simulation.MODEL_SERVICE, Simulation.CUSTOMER, "s" + callerCount))) {
                if (command instanceof Command.AnswerAddress answer
                        && !answer.addresses().isEmpty()) {
                    scheduleCall(answer);
                }
            }
        }
        simulation.advance(ROUND_INTERVAL_MILLIS);
    }

    private void scheduleCall(Command.AnswerAddress answer) {
        String target = answer.addresses().get(0).replace(":80", "");
        String caller = "rolling-" + callerCount++;
        CallKind kind =
                callerCount % 3 == 0 ? CallKind.GENERATE : callerCount % 3 == 1 ? CallKind.READ : CallKind.SUBMIT;
        String key = kind == CallKind.SUBMIT ? "key-" + caller : "";
        long delayMillis = answer.notAfterMillis() - simulation.nowMillis;
        simulation.schedule(delayMillis, () -> simulation.call(caller, target, kind, key, "body of " + caller, 150));
    }
}
