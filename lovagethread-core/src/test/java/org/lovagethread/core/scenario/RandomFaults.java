package org.lovagethread.core.scenario;

import java.util.List;
import java.util.SplittableRandom;
import org.lovagethread.core.call.CallKind;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.event.Event;

/** Draws calls, faults and repairs from a seed and runs them in a {@link World}. */
final class RandomFaults {
    private static final int ACTIONS = 40;
    private static final int KEYS = 4;
    private static final int NODES = 3;
    private static final int SPAN_MILLIS = 8_000;
    private static final int SETTLE_MILLIS = 90_000;

    private final SplittableRandom random;
    private final World world;
    private int callers;
    private long revision = 1;

    private RandomFaults(long seed) {
        random = new SplittableRandom(seed);
        world = new World(seed);
    }

    /** Runs the schedule of a seed until every deadline has passed. */
    static World run(long seed) {
        return new RandomFaults(seed).run();
    }

    private World run() {
        for (int i = 1; i <= NODES; i++) {
            world.addNode(i);
        }
        world.addUpstreams(World.MODEL_SERVICE, 3, 20);
        world.addUpstreams(World.PLAIN_SERVICE, 3, 30);
        world.nodes.values().forEach(node -> offer(node, 1));
        world.pass(1_200);
        for (int i = 0; i < ACTIONS; i++) {
            world.after(random.nextInt(SPAN_MILLIS), this::act);
        }
        world.pass(SPAN_MILLIS);
        repair();
        world.pass(SETTLE_MILLIS);
        return world;
    }

    private void act() {
        switch (random.nextInt(16)) {
            case 0, 1, 2, 3, 4 -> book();
            case 5, 6 -> call(CallKind.GENERATE, "");
            case 7 -> call(CallKind.READ, "");
            case 8 -> killOrRestart();
            case 9 -> freezeOrWake();
            case 10 -> freezeAtCommand();
            case 11 -> world.store.mode = pick(List.of(FakeStore.Mode.values()));
            case 12, 13 -> breakUpstream();
            case 14 -> configure();
            default -> disturbPeersOrCallers();
        }
    }

    private void book() {
        call(CallKind.SUBMIT, "k" + random.nextInt(KEYS));
    }

    private void breakUpstream() {
        FakeUpstream upstream = pick(List.copyOf(world.upstreams.values()));
        if (random.nextInt(4) == 0) {
            world.notice(upstream.info.id(), random.nextInt(3_000));
        } else {
            upstream.faults.add(pick(List.of(FakeUpstream.Fault.values())));
        }
    }

    private void call(CallKind kind, String key) {
        String name = "c" + callers++;
        world.call(name, node().name(), kind, key, "body of " + key, 1 + random.nextInt(200));
    }

    private void configure() {
        long offered = random.nextBoolean() ? ++revision : random.nextLong(revision) + 1;
        offer(node(), offered);
    }

    private void disturbPeersOrCallers() {
        if (random.nextBoolean()) {
            world.dropShare = random.nextDouble() * 0.5;
            world.doubleShare = random.nextDouble() * 0.5;
            world.mostPeerDelayMillis = random.nextLong(2_000) + 1;
            return;
        }
        List<FakeCaller> streaming = world.callers.values().stream()
                .filter(caller -> caller.kind == CallKind.GENERATE && !caller.ended && caller.refusal.isEmpty())
                .filter(caller -> caller.node != null)
                .toList();
        if (!streaming.isEmpty()) {
            FakeCaller caller = pick(streaming);
            world.disconnect(caller);
            world.connect(caller, node());
        }
    }

    private void freezeAtCommand() {
        node().freezeBefore = random.nextBoolean() ? Command.StartAttempt.class : Command.WriteClaim.class;
    }

    private void freezeOrWake() {
        FakeNode node = node();
        if (node.frozen) {
            world.thaw(node);
        } else {
            node.frozen = true;
        }
    }

    private void killOrRestart() {
        FakeNode node = node();
        if (node.alive && !node.exited) {
            world.kill(node);
        } else {
            world.restartNode(node.name());
            offer(world.nodes.get(node.name()), revision);
        }
    }

    private FakeNode node() {
        return pick(List.copyOf(world.nodes.values()));
    }

    private void offer(FakeNode node, long offered) {
        world.deliver(node, new Event.ConfigurationOffered(World.configuration(offered)));
    }

    private <T> T pick(List<T> choices) {
        return choices.get(random.nextInt(choices.size()));
    }

    private void repair() {
        world.store.mode = FakeStore.Mode.UP;
        world.dropShare = 0;
        world.doubleShare = 0;
        world.mostPeerDelayMillis = 2;
        for (FakeNode node : List.copyOf(world.nodes.values())) {
            node.freezeBefore = null;
            if (node.frozen) {
                world.thaw(node);
            }
            if (!node.alive || node.exited) {
                world.restartNode(node.name());
                offer(world.nodes.get(node.name()), revision);
            }
        }
    }
}
