package org.lovagethread.core.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.lovagethread.core.call.CallKind;

/** Checks the guarantees under random schedules of faults. A failure message contains the seed of its schedule. */
class GuaranteePropertiesTest {

    @Property(tries = 1_000, seed = "20261204", shrinking = ShrinkingMode.OFF)
    void guaranteesHoldUnderRandomFaults(@ForAll long seed) {
        Simulation simulation = RandomFaultSchedule.run(seed);
        assertThat(simulation.violations()).as("schedule " + seed).isEmpty();
        assertRetriesReceiveSameResponse(simulation, seed);
        assertNodesHaveSameRevision(simulation, seed);
    }

    @Property(tries = 200, seed = "20261205", shrinking = ShrinkingMode.OFF)
    void everyCallOnARunningNodeEndsByItsDeadline(@ForAll long seed) {
        Simulation simulation = RandomFaultSchedule.run(seed);
        assertThat(simulation.callers.values()).as("schedule " + seed).allSatisfy(caller -> {
            boolean ended = caller.disconnected || caller.isComplete() || caller.refusal.isPresent();
            boolean nodeStopped = caller.node == null || !caller.node.alive || caller.node.exited;
            assertThat(ended || nodeStopped)
                    .as(caller.name + " has a response or a refusal")
                    .isTrue();
        });
    }

    private static void assertRetriesReceiveSameResponse(Simulation simulation, long seed) {
        Map<String, String> firstAnswers = new HashMap<>();
        for (FakeCaller caller : simulation.callers.values()) {
            Optional<String> answer = caller.kind == CallKind.SUBMIT ? caller.answer : Optional.empty();
            answer.ifPresent(text -> assertThat(firstAnswers.putIfAbsent(caller.key, text))
                    .as("schedule " + seed + ", responses for key " + caller.key)
                    .isIn(null, text));
        }
    }

    private static void assertNodesHaveSameRevision(Simulation simulation, long seed) {
        long distinct = simulation.nodes.values().stream()
                .map(node ->
                        node.core.configuration().map(held -> held.revision()).orElse(0L))
                .distinct()
                .count();
        assertThat(distinct).as("schedule " + seed + ", active revisions").isEqualTo(1);
    }
}
