package org.lovagethread.core.scenario;

import java.util.ArrayList;
import java.util.List;
import org.lovagethread.core.call.CallKind;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.event.Event;

/** Restarts every node in turn while callers ask for addresses, keep them as long as allowed, and call. */
final class RollingRestart {
    private static final int ROUND_MILLIS = 250;
    private static final long STOP_BOUND_MILLIS = 120_000;

    private final World world;
    private int number;

    private RollingRestart(World world) {
        this.world = world;
    }

    static void run(World world) {
        new RollingRestart(world).run();
    }

    private void run() {
        for (String name : List.copyOf(world.nodes.keySet())) {
            world.deliver(world.nodes.get(name), new Event.StopRequested());
            long until = world.nowMillis + STOP_BOUND_MILLIS;
            while (!world.nodes.get(name).exited && world.nowMillis < until) {
                round();
            }
            world.restartNode(name);
            world.deliver(world.nodes.get(name), new Event.ConfigurationOffered(World.configuration(1)));
            for (int i = 0; i < 8; i++) {
                round();
            }
        }
    }

    /** Lets callers use addresses at the last moment at which they may. */
    private void round() {
        for (FakeNode node : new ArrayList<>(world.nodes.values())) {
            if (!node.running()) {
                continue;
            }
            for (Command command : node.core.handle(
                    world.nowMillis, new Event.AddressAsked(0, World.MODEL_SERVICE, World.CUSTOMER, "s" + number))) {
                if (command instanceof Command.AnswerAddress answer
                        && !answer.addresses().isEmpty()) {
                    schedule(answer);
                }
            }
        }
        world.pass(ROUND_MILLIS);
    }

    private void schedule(Command.AnswerAddress answer) {
        String target = answer.addresses().get(0).replace(":80", "");
        String caller = "rolling-" + number++;
        CallKind kind = number % 3 == 0 ? CallKind.GENERATE : number % 3 == 1 ? CallKind.READ : CallKind.SUBMIT;
        String key = kind == CallKind.SUBMIT ? "key-" + caller : "";
        long wait = answer.notAfterMillis() - world.nowMillis;
        world.after(wait, () -> world.call(caller, target, kind, key, "body of " + caller, 150));
    }
}
