package org.lovagethread.core.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.lovagethread.core.call.CallKind;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.event.Event;
import org.lovagethread.core.upstream.UpstreamInfo;

/** Maps the steps of the feature files to the {@link Simulation}. */
public final class StepDefinitions {
    private static final long SIMULATION_SEED = 20261204L;
    private static final long POLL_INTERVAL_MILLIS = 10;

    private final Simulation simulation = new Simulation(SIMULATION_SEED);

    @Given("{int} nodes, {int} engines and {int} plain servers")
    public void startCluster(int nodes, int engines, int plain) {
        for (int i = 1; i <= nodes; i++) {
            simulation.addNode(i);
        }
        simulation.addUpstreams(Simulation.MODEL_SERVICE, engines, 20);
        simulation.addUpstreams(Simulation.PLAIN_SERVICE, plain, 30);
        offerRevisionToAllNodes(1);
        simulation.advance(1_500);
    }

    @Given("the Object API mode is {word}")
    public void setStoreMode(String mode) {
        simulation.store.mode =
                FakeStore.Mode.valueOf(mode.toUpperCase(Locale.ROOT).replace('-', '_'));
    }

    @Given("the next attempts at {word} fail with {word}")
    public void injectFaults(String id, String faults) {
        List<FakeUpstream> targets = id.equals("every-plain-server")
                ? simulation.upstreams.values().stream()
                        .filter(upstream -> !upstream.isModelEngine())
                        .toList()
                : id.equals("every-engine")
                        ? simulation.upstreams.values().stream()
                                .filter(FakeUpstream::isModelEngine)
                                .toList()
                        : List.of(simulation.upstreams.get(id));
        for (FakeUpstream target : targets) {
            Arrays.stream(faults.split(","))
                    .map(name -> FakeUpstream.Fault.valueOf(
                            name.toUpperCase(Locale.ROOT).replace('-', '_')))
                    .forEach(target.pendingFaults::add);
        }
    }

    @Given("{word} {word} stalled")
    public void setStalled(String id, String verb) {
        simulation.upstreams.get(id).stalled = verb.equals("is");
    }

    @Given("no engine accepts a cache import")
    public void rejectCacheImports() {
        simulation.upstreams.values().forEach(upstream -> upstream.rejectsCacheImport = true);
    }

    @Given("{word} receives no reclaim notices")
    public void dropReclaimNotices(String node) {
        simulation.nodesWithoutNotices.add(node);
    }

    @Given("{word} is partitioned from its peers")
    public void partition(String node) {
        simulation.partitionedNodes.add(node);
    }

    @Given("heartbeats are dropped, duplicated and delayed")
    public void makeHeartbeatsUnreliable() {
        simulation.dropProbability = 0.3;
        simulation.duplicateProbability = 0.3;
        simulation.maxPeerDelayMillis = 1_500;
    }

    @When("revision {int} is offered to every node")
    public void offerRevisionToAllNodes(int revision) {
        simulation.nodes.values().forEach(node -> offerRevision(node.name(), revision));
    }

    @When("{word} is offered revision {int}")
    public void offerRevision(String node, int revision) {
        simulation.deliver(
                simulation.nodes.get(node), new Event.ConfigurationOffered(Simulation.configuration(revision)));
    }

    @When("{word} sends {word} a request for {int} tokens")
    public void sendGenerate(String caller, String node, int tokens) {
        simulation.call(caller, node, CallKind.GENERATE, "", "prompt of " + caller, tokens);
    }

    @When("{word} reads through {word}")
    public void sendRead(String caller, String node) {
        simulation.call(caller, node, CallKind.READ, "", "read of " + caller, 0);
    }

    @When("{word} books with key {word} through {word}")
    public void sendBooking(String caller, String key, String node) {
        simulation.call(caller, node, CallKind.SUBMIT, key, "body of " + key, 0);
    }

    @When("{word} books with key {word} and another body through {word}")
    public void sendBookingWithOtherBody(String caller, String key, String node) {
        simulation.call(caller, node, CallKind.SUBMIT, key, "other body", 0);
    }

    @When("{int} ms pass")
    public void advance(int millis) {
        simulation.advance(millis);
    }

    @When("{word} is killed")
    public void kill(String name) {
        if (simulation.nodes.containsKey(name)) {
            simulation.kill(simulation.nodes.get(name));
        } else {
            simulation.upstreams.get(name).alive = false;
            simulation.publishUpstreams();
        }
    }

    @When("{word} restarts")
    public void restart(String node) {
        simulation.restartNode(node);
    }

    @When("{word} freezes")
    public void freeze(String node) {
        simulation.nodes.get(node).frozen = true;
    }

    @When("{word} freezes just before it sends to an upstream")
    public void freezeBeforeSend(String node) {
        simulation.nodes.get(node).freezeBeforeCommand = Command.StartAttempt.class;
    }

    @When("{word} freezes just before it records an outcome")
    public void freezeBeforeRecord(String node) {
        simulation.nodes.get(node).freezeBeforeCommand = Command.WriteClaim.class;
    }

    @When("{word} resumes")
    public void resume(String node) {
        simulation.resume(simulation.nodes.get(node));
    }

    @When("{word} is asked to stop")
    public void requestStop(String node) {
        simulation.deliver(simulation.nodes.get(node), new Event.StopRequested());
    }

    @When("{word} reconnects through {word}")
    public void reconnect(String caller, String node) {
        FakeCaller reconnecting = simulation.callers.get(caller);
        if (!reconnecting.disconnected) {
            simulation.disconnect(reconnecting);
        }
        simulation.connect(reconnecting, simulation.nodes.get(node));
    }

    @When("the reclaim of {word} in {int} ms is announced")
    public void announceReclaim(String upstream, int millis) {
        simulation.announceReclaim(upstream, millis);
    }

    @When("the reclaim of zone {word} in {int} ms is announced")
    public void announceZoneReclaim(String zone, int millis) {
        simulation.upstreams.values().stream()
                .filter(upstream -> upstream.info.zone().equals(zone))
                .forEach(upstream -> simulation.announceReclaim(upstream.info.id(), millis));
    }

    @When("the reclaim of the engine that serves {word} in {int} ms is announced")
    public void announceReclaimOfServingEngine(String caller, int millis) {
        simulation.announceReclaim(servingUpstream(caller), millis);
    }

    @When("the instance list still reports every upstream as not leaving")
    public void publishOutdatedList() {
        List<UpstreamInfo> all = simulation.upstreams.values().stream()
                .map(upstream -> upstream.info)
                .toList();
        simulation.nodes.values().forEach(node -> simulation.deliver(node, new Event.UpstreamsListed(all)));
    }

    @Then("{word} receives its complete response within {int} ms")
    public void assertComplete(String caller, int millis) {
        FakeCaller fakeCaller = simulation.callers.get(caller);
        long deadlineMillis = simulation.nowMillis + millis;
        while (!fakeCaller.isComplete() && simulation.nowMillis < deadlineMillis) {
            simulation.advance(POLL_INTERVAL_MILLIS);
        }
        assertThat(fakeCaller.refusal).as("refusal of " + caller).isEmpty();
        assertThat(fakeCaller.isComplete())
                .as(caller + " complete, has " + fakeCaller.chunks.size() + " chunks")
                .isTrue();
        assertNoViolations();
    }

    @Then("{word} is refused with {word} within {int} ms")
    public void assertRefused(String caller, String kind, int millis) {
        FakeCaller fakeCaller = simulation.callers.get(caller);
        long deadlineMillis = simulation.nowMillis + millis;
        while (fakeCaller.refusal.isEmpty() && simulation.nowMillis < deadlineMillis) {
            simulation.advance(POLL_INTERVAL_MILLIS);
        }
        assertThat(fakeCaller.refusal.map(refusal -> refusal.label()))
                .as("refusal of " + caller)
                .contains(kind);
        assertNoViolations();
    }

    @Then("{word} receives the same response as {word}")
    public void assertSameResponse(String caller, String first) {
        assertThat(simulation.callers.get(caller).answer).isPresent().isEqualTo(simulation.callers.get(first).answer);
    }

    @Then("key {word} was executed {int} time(s)")
    public void assertExecutionCount(String key, int times) {
        assertThat(simulation.executionCount(key)).as("executions of " + key).isEqualTo(times);
        assertNoViolations();
    }

    @Then("no upstream received an attempt more than {int} ms after its reclaim notice")
    public void assertNoLateAttempts(int millis) {
        simulation.reclaimAnnouncedAtMillis.forEach((id, at) -> assertThat(simulation.upstreams.get(id).startedAtMillis)
                .as("attempts at " + id)
                .noneMatch(started -> started > at + millis));
    }

    @Then("revision {int} is active on every running node within {int} ms")
    public void assertRevisionActive(int revision, int millis) {
        simulation.advance(millis);
        simulation.nodes.values().stream().filter(FakeNode::isRunning).forEach(node -> assertThat(
                        node.core.configuration().map(held -> held.revision()))
                .as(node.name())
                .contains((long) revision));
        assertNoViolations();
    }

    @Then("{word} has exited")
    public void assertExited(String node) {
        assertThat(simulation.nodes.get(node).exited).isTrue();
    }

    @Then("{word} has not exited")
    public void assertNotExited(String node) {
        assertThat(simulation.nodes.get(node).exited).isFalse();
    }

    @Then("at most {int} tokens were recomputed")
    public void assertRecomputedTokens(int maxTokens) {
        long tokens = simulation.upstreams.values().stream()
                .mapToLong(upstream -> upstream.recomputedTokens)
                .sum();
        assertThat(tokens).as("recomputed tokens").isLessThanOrEqualTo(maxTokens);
    }

    @Then("key {word} was executed at most once")
    public void assertExecutedAtMostOnce(String key) {
        assertThat(simulation.executionCount(key)).as("executions of " + key).isLessThanOrEqualTo(1);
        assertNoViolations();
    }

    @When("a replacement engine {word} is started")
    public void startReplacementEngine(String id) {
        UpstreamInfo info =
                new UpstreamInfo(id, Simulation.MODEL_SERVICE, id + ":80", "zone-1", "highlands", "m@1", false);
        simulation.upstreams.put(id, new FakeUpstream(info, 20));
        simulation.publishUpstreams();
    }

    @When("{word} crashes without notice")
    public void crashWithoutNotice(String id) {
        simulation.upstreams.get(id).alive = false;
    }

    @When("{word} loses its connection")
    public void disconnect(String caller) {
        simulation.disconnect(simulation.callers.get(caller));
    }

    @When("{word} follows the redirects of its stream")
    public void followRedirects(String caller) {
        simulation.callers.get(caller).followsRedirects = true;
    }

    @When("callers read through every node for {int} ms")
    public void readThroughAllNodes(int millis) {
        long deadlineMillis = simulation.nowMillis + millis;
        int readNumber = 0;
        while (simulation.nowMillis < deadlineMillis) {
            for (FakeNode node : simulation.nodes.values()) {
                simulation.call("reader-" + readNumber++, node.name(), CallKind.READ, "", "read", 0);
            }
            simulation.advance(20);
        }
        assertNoViolations();
    }

    @When("callers resolve and call addresses while the nodes restart one after another")
    public void rollingRestart() {
        RollingRestart.run(simulation);
    }

    @Then("every caller receives its complete response")
    public void assertAllComplete() {
        simulation.advance(60_000);
        assertThat(simulation.callers.values()).allSatisfy(caller -> {
            assertThat(caller.refusal).as(caller.name).isEmpty();
            assertThat(caller.isComplete())
                    .as(caller.name + " disconnected: " + caller.disconnected)
                    .isTrue();
        });
        assertNoViolations();
    }

    @Given("engines ignore fencing tokens")
    public void ignoreFencingTokens() {
        simulation.upstreams.values().forEach(upstream -> upstream.checksFencing = false);
    }

    @Given("orders bypass the check of their deadline")
    public void bypassDeadlineCheck() {
        simulation.ordersBypassDeadlineCheck = true;
    }

    @When("{word} freezes just before it sends an order")
    public void freezeBeforeOrder(String node) {
        simulation.nodes.get(node).freezeBeforeCommand = Command.SendOrder.class;
    }

    @Then("{word} is frozen")
    public void assertFrozen(String node) {
        assertThat(simulation.nodes.get(node).frozen).isTrue();
    }

    @Then("every engine serves {word} within {int} ms")
    public void assertEnginesServe(String version, int millis) {
        long deadlineMillis = simulation.nowMillis + millis;
        while (!allEnginesServe(version) && simulation.nowMillis < deadlineMillis) {
            simulation.advance(100);
        }
        assertThat(simulation.upstreams.values().stream()
                        .filter(FakeUpstream::isModelEngine)
                        .map(engine -> engine.info.version()))
                .containsOnly(version);
    }

    @Then("no engine executed a stale order")
    public void assertNoStaleOrderExecuted() {
        assertThat(simulation.upstreams.values()).noneMatch(FakeUpstream::executedStaleOrder);
    }

    @Then("an engine executed a stale order")
    public void assertStaleOrderExecuted() {
        assertThat(simulation.upstreams.values()).anyMatch(FakeUpstream::executedStaleOrder);
    }

    @Then("no engine received an order within {int} ms")
    public void assertNoOrders(int millis) {
        int before = executedOrderCount();
        simulation.advance(millis);
        assertThat(executedOrderCount()).isEqualTo(before);
    }

    private boolean allEnginesServe(String version) {
        return simulation.upstreams.values().stream()
                .filter(FakeUpstream::isModelEngine)
                .allMatch(engine -> engine.info.version().equals(version));
    }

    private int executedOrderCount() {
        return simulation.upstreams.values().stream()
                .mapToInt(upstream -> upstream.executedOrders.size())
                .sum();
    }

    @Then("no guarantee is violated")
    public void assertNoViolations() {
        assertThat(simulation.violations()).isEmpty();
    }

    private String servingUpstream(String caller) {
        FakeCaller served = simulation.callers.get(caller);
        Optional<String> upstream = simulation.upstreams.values().stream()
                .filter(candidate -> candidate.isModelEngine() == (served.kind == CallKind.GENERATE))
                .filter(candidate -> !candidate.startedAtMillis.isEmpty())
                .max(Comparator.comparingLong(
                        candidate -> candidate.startedAtMillis.get(candidate.startedAtMillis.size() - 1)))
                .map(candidate -> candidate.info.id());
        return upstream.orElseThrow();
    }
}
