package org.lovagethread.core.scenario;

import java.util.List;
import java.util.SplittableRandom;
import org.lovagethread.core.call.CallKind;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.event.Event;

/** Generates a random sequence of calls, faults and repairs from a seed and runs it in a {@link Simulation}. */
final class RandomFaultSchedule {
    private static final int ACTION_COUNT = 40;
    private static final int KEY_COUNT = 4;
    private static final int NODE_COUNT = 3;
    private static final int ACTION_PERIOD_MILLIS = 8_000;
    private static final int SETTLING_MILLIS = 90_000;

    private final SplittableRandom random;
    private final Simulation simulation;
    private int callerCount;
    private long revision = 1;

    private RandomFaultSchedule(long seed) {
        random = new SplittableRandom(seed);
        simulation = new Simulation(seed);
    }

    /** Runs the schedule generated from a seed until all deadlines have passed. */
    static Simulation run(long seed) {
        return new RandomFaultSchedule(seed).run();
    }

    private Simulation run() {
        for (int i = 1; i <= NODE_COUNT; i++) {
            simulation.addNode(i);
        }
        simulation.addUpstreams(Simulation.MODEL_SERVICE, 3, 20);
        simulation.addUpstreams(Simulation.PLAIN_SERVICE, 3, 30);
        simulation.nodes.values().forEach(node -> offerConfiguration(node, 1));
        simulation.advance(1_200);
        for (int i = 0; i < ACTION_COUNT; i++) {
            simulation.schedule(random.nextInt(ACTION_PERIOD_MILLIS), this::runRandomAction);
        }
        simulation.advance(ACTION_PERIOD_MILLIS);
        repairAll();
        simulation.advance(SETTLING_MILLIS);
        return simulation;
    }

    private void runRandomAction() {
        switch (random.nextInt(16)) {
            case 0, 1, 2, 3, 4 -> callSubmit();
            case 5, 6 -> call(CallKind.GENERATE, "");
            case 7 -> call(CallKind.READ, "");
            case 8 -> killOrRestart();
            case 9 -> freezeOrResume();
            case 10 -> freezeBeforeNextCommand();
            case 11 -> simulation.store.mode = randomElement(List.of(FakeStore.Mode.values()));
            case 12, 13 -> injectUpstreamFault();
            case 14 -> offerRandomRevision();
            default -> disturbPeersOrCallers();
        }
    }

    private void callSubmit() {
        call(CallKind.SUBMIT, "k" + random.nextInt(KEY_COUNT));
    }

    private void injectUpstreamFault() {
        FakeUpstream upstream = randomElement(List.copyOf(simulation.upstreams.values()));
        if (random.nextInt(4) == 0) {
            simulation.announceReclaim(upstream.info.id(), random.nextInt(3_000));
        } else {
            upstream.pendingFaults.add(randomElement(List.of(FakeUpstream.Fault.values())));
        }
    }

    private void call(CallKind kind, String key) {
        String name = "c" + callerCount++;
        simulation.call(name, randomNode().name(), kind, key, "body of " + key, 1 + random.nextInt(200));
    }

    private void offerRandomRevision() {
        long offeredRevision = random.nextBoolean() ? ++revision : random.nextLong(revision) + 1;
        offerConfiguration(randomNode(), offeredRevision);
    }

    private void disturbPeersOrCallers() {
        if (random.nextBoolean()) {
            simulation.dropProbability = random.nextDouble() * 0.5;
            simulation.duplicateProbability = random.nextDouble() * 0.5;
            simulation.maxPeerDelayMillis = random.nextLong(2_000) + 1;
            return;
        }
        List<FakeCaller> streaming = simulation.callers.values().stream()
                .filter(caller -> caller.kind == CallKind.GENERATE && !caller.ended && caller.refusal.isEmpty())
                .filter(caller -> caller.node != null)
                .toList();
        if (!streaming.isEmpty()) {
            FakeCaller caller = randomElement(streaming);
            simulation.disconnect(caller);
            simulation.connect(caller, randomNode());
        }
    }

    private void freezeBeforeNextCommand() {
        randomNode().freezeBeforeCommand = random.nextBoolean() ? Command.StartAttempt.class : Command.WriteClaim.class;
    }

    private void freezeOrResume() {
        FakeNode node = randomNode();
        if (node.frozen) {
            simulation.resume(node);
        } else {
            node.frozen = true;
        }
    }

    private void killOrRestart() {
        FakeNode node = randomNode();
        if (node.alive && !node.exited) {
            simulation.kill(node);
        } else {
            simulation.restartNode(node.name());
            offerConfiguration(simulation.nodes.get(node.name()), revision);
        }
    }

    private FakeNode randomNode() {
        return randomElement(List.copyOf(simulation.nodes.values()));
    }

    private void offerConfiguration(FakeNode node, long offeredRevision) {
        simulation.deliver(node, new Event.ConfigurationOffered(Simulation.configuration(offeredRevision)));
    }

    private <T> T randomElement(List<T> choices) {
        return choices.get(random.nextInt(choices.size()));
    }

    private void repairAll() {
        simulation.store.mode = FakeStore.Mode.UP;
        simulation.dropProbability = 0;
        simulation.duplicateProbability = 0;
        simulation.maxPeerDelayMillis = 2;
        for (FakeNode node : List.copyOf(simulation.nodes.values())) {
            node.freezeBeforeCommand = null;
            if (node.frozen) {
                simulation.resume(node);
            }
            if (!node.alive || node.exited) {
                simulation.restartNode(node.name());
                offerConfiguration(simulation.nodes.get(node.name()), revision);
            }
        }
    }
}
