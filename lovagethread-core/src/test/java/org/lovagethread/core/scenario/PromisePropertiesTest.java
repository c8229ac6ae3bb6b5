package org.lovagethread.core.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.lovagethread.core.call.CallKind;

/** Checks the promises under schedules of faults drawn at random; a failure prints the seed of its schedule. */
class PromisePropertiesTest {

    @Property(tries = 1_000, seed = "20261204", shrinking = ShrinkingMode.OFF)
    void promisesHoldUnderRandomFaults(@ForAll long schedule) {
        World world = RandomFaults.run(schedule);
        assertThat(world.violations()).as("schedule " + schedule).isEmpty();
        assertRepeatsAgree(world, schedule);
        assertRevisionsAgree(world, schedule);
    }

    @Property(tries = 200, seed = "20261205", shrinking = ShrinkingMode.OFF)
    void everyCallOnALivingNodeEndsByItsDeadline(@ForAll long schedule) {
        World world = RandomFaults.run(schedule);
        assertThat(world.callers.values()).as("schedule " + schedule).allSatisfy(caller -> {
            boolean ended = caller.cutOff || caller.whole() || caller.refusal.isPresent();
            boolean nodeGone = caller.node == null || !caller.node.alive || caller.node.exited;
            assertThat(ended || nodeGone).as(caller.name + " has an answer").isTrue();
        });
    }

    private static void assertRepeatsAgree(World world, long schedule) {
        Map<String, String> firstAnswers = new HashMap<>();
        for (FakeCaller caller : world.callers.values()) {
            Optional<String> answer = caller.kind == CallKind.SUBMIT ? caller.answer : Optional.empty();
            answer.ifPresent(text -> assertThat(firstAnswers.putIfAbsent(caller.key, text))
                    .as("schedule " + schedule + ", answers to " + caller.key)
                    .isIn(null, text));
        }
    }

    private static void assertRevisionsAgree(World world, long schedule) {
        long distinct = world.nodes.values().stream()
                .map(node ->
                        node.core.configuration().map(held -> held.revision()).orElse(0L))
                .distinct()
                .count();
        assertThat(distinct).as("schedule " + schedule + ", revisions in force").isEqualTo(1);
    }
}
