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

/** Binds the words of the scenarios to the {@link World}. */
public final class Steps {
    private static final long SEED = 20261204L;
    private static final long STEP_MILLIS = 10;

    private final World world = new World(SEED);

    @Given("{int} nodes, {int} engines and {int} plain servers")
    public void start(int nodes, int engines, int plain) {
        for (int i = 1; i <= nodes; i++) {
            world.addNode(i);
        }
        world.addUpstreams(World.MODEL_SERVICE, engines, 20);
        world.addUpstreams(World.PLAIN_SERVICE, plain, 30);
        configure(1);
        world.pass(1_500);
    }

    @Given("the Object API is {word}")
    public void storeMode(String mode) {
        world.store.mode = FakeStore.Mode.valueOf(mode.toUpperCase(Locale.ROOT).replace('-', '_'));
    }

    @Given("the next attempts at {word} suffer {word}")
    public void faults(String id, String faults) {
        List<FakeUpstream> targets = id.equals("every-plain-server")
                ? world.upstreams.values().stream()
                        .filter(upstream -> !upstream.model())
                        .toList()
                : id.equals("every-engine")
                        ? world.upstreams.values().stream()
                                .filter(FakeUpstream::model)
                                .toList()
                        : List.of(world.upstreams.get(id));
        for (FakeUpstream target : targets) {
            Arrays.stream(faults.split(","))
                    .map(name -> FakeUpstream.Fault.valueOf(
                            name.toUpperCase(Locale.ROOT).replace('-', '_')))
                    .forEach(target.faults::add);
        }
    }

    @Given("{word} {word} stalled")
    public void stalled(String id, String verb) {
        world.upstreams.get(id).stalled = verb.equals("is");
    }

    @Given("no engine accepts a cache import")
    public void refuseImports() {
        world.upstreams.values().forEach(upstream -> upstream.refusesImport = true);
    }

    @Given("{word} hears no reclaim notices")
    public void deaf(String node) {
        world.deafToNotices.add(node);
    }

    @Given("{word} is cut off from its peers")
    public void cut(String node) {
        world.cutNodes.add(node);
    }

    @Given("heartbeats are dropped, doubled and late")
    public void lossyPeers() {
        world.dropShare = 0.3;
        world.doubleShare = 0.3;
        world.mostPeerDelayMillis = 1_500;
    }

    @When("revision {int} is in the Object API")
    public void configure(int revision) {
        world.nodes.values().forEach(node -> offer(node.name(), revision));
    }

    @When("{word} is offered revision {int}")
    public void offer(String node, int revision) {
        world.deliver(world.nodes.get(node), new Event.ConfigurationOffered(World.configuration(revision)));
    }

    @When("{word} asks {word} for {int} tokens")
    public void generate(String caller, String node, int tokens) {
        world.call(caller, node, CallKind.GENERATE, "", "prompt of " + caller, tokens);
    }

    @When("{word} reads through {word}")
    public void read(String caller, String node) {
        world.call(caller, node, CallKind.READ, "", "read of " + caller, 0);
    }

    @When("{word} books with key {word} through {word}")
    public void book(String caller, String key, String node) {
        world.call(caller, node, CallKind.SUBMIT, key, "body of " + key, 0);
    }

    @When("{word} books with key {word} and another body through {word}")
    public void bookOther(String caller, String key, String node) {
        world.call(caller, node, CallKind.SUBMIT, key, "other body", 0);
    }

    @When("{int} ms pass")
    public void pass(int millis) {
        world.pass(millis);
    }

    @When("{word} is killed")
    public void kill(String name) {
        if (world.nodes.containsKey(name)) {
            world.kill(world.nodes.get(name));
        } else {
            world.upstreams.get(name).alive = false;
            world.listUpstreams();
        }
    }

    @When("{word} starts again")
    public void restart(String node) {
        world.restartNode(node);
    }

    @When("{word} freezes")
    public void freeze(String node) {
        world.nodes.get(node).frozen = true;
    }

    @When("{word} freezes just before it sends to an upstream")
    public void freezeBeforeSend(String node) {
        world.nodes.get(node).freezeBefore = Command.StartAttempt.class;
    }

    @When("{word} freezes just before it records an outcome")
    public void freezeBeforeRecord(String node) {
        world.nodes.get(node).freezeBefore = Command.WriteClaim.class;
    }

    @When("{word} wakes")
    public void thaw(String node) {
        world.thaw(world.nodes.get(node));
    }

    @When("{word} is asked to stop")
    public void stop(String node) {
        world.deliver(world.nodes.get(node), new Event.StopRequested());
    }

    @When("{word} reconnects through {word}")
    public void reconnect(String caller, String node) {
        FakeCaller reconnecting = world.callers.get(caller);
        if (!reconnecting.cutOff) {
            world.disconnect(reconnecting);
        }
        world.connect(reconnecting, world.nodes.get(node));
    }

    @When("the reclaim of {word} is announced for in {int} ms")
    public void notice(String upstream, int millis) {
        world.notice(upstream, millis);
    }

    @When("the reclaim of zone {word} is announced for in {int} ms")
    public void noticeZone(String zone, int millis) {
        world.upstreams.values().stream()
                .filter(upstream -> upstream.info.zone().equals(zone))
                .forEach(upstream -> world.notice(upstream.info.id(), millis));
    }

    @When("the reclaim of the engine that serves {word} is announced for in {int} ms")
    public void noticeServing(String caller, int millis) {
        world.notice(serving(caller), millis);
    }

    @When("the instance list still shows every upstream as live")
    public void staleList() {
        List<UpstreamInfo> all =
                world.upstreams.values().stream().map(upstream -> upstream.info).toList();
        world.nodes.values().forEach(node -> world.deliver(node, new Event.UpstreamsListed(all)));
    }

    @Then("{word} has its whole answer within {int} ms")
    public void whole(String caller, int millis) {
        FakeCaller waiting = world.callers.get(caller);
        long deadline = world.nowMillis + millis;
        while (!waiting.whole() && world.nowMillis < deadline) {
            world.pass(STEP_MILLIS);
        }
        assertThat(waiting.refusal).as("refusal of " + caller).isEmpty();
        assertThat(waiting.whole())
                .as(caller + " whole, has " + waiting.chunks.size() + " chunks")
                .isTrue();
        promises();
    }

    @Then("{word} is refused with {word} within {int} ms")
    public void refused(String caller, String kind, int millis) {
        FakeCaller waiting = world.callers.get(caller);
        long deadline = world.nowMillis + millis;
        while (waiting.refusal.isEmpty() && world.nowMillis < deadline) {
            world.pass(STEP_MILLIS);
        }
        assertThat(waiting.refusal.map(refusal -> refusal.label()))
                .as("refusal of " + caller)
                .contains(kind);
        promises();
    }

    @Then("{word} has the first answer to {word}")
    public void firstAnswer(String caller, String first) {
        assertThat(world.callers.get(caller).answer).isPresent().isEqualTo(world.callers.get(first).answer);
    }

    @Then("key {word} ran {int} time(s)")
    public void ran(String key, int times) {
        assertThat(world.runs(key)).as("runs of " + key).isEqualTo(times);
        promises();
    }

    @Then("no upstream got work more than {int} ms after its notice")
    public void noLateWork(int millis) {
        world.noticedAtMillis.forEach((id, at) -> assertThat(world.upstreams.get(id).startedAtMillis)
                .as("starts at " + id)
                .noneMatch(started -> started > at + millis));
    }

    @Then("revision {int} is in force on every running node within {int} ms")
    public void inForce(int revision, int millis) {
        world.pass(millis);
        world.nodes.values().stream().filter(FakeNode::running).forEach(node -> assertThat(
                        node.core.configuration().map(held -> held.revision()))
                .as(node.name())
                .contains((long) revision));
        promises();
    }

    @Then("{word} has exited")
    public void exited(String node) {
        assertThat(world.nodes.get(node).exited).isTrue();
    }

    @Then("{word} has not exited")
    public void notExited(String node) {
        assertThat(world.nodes.get(node).exited).isFalse();
    }

    @Then("at most {int} tokens were computed again")
    public void recomputed(int most) {
        long tokens = world.upstreams.values().stream()
                .mapToLong(upstream -> upstream.recomputedTokens)
                .sum();
        assertThat(tokens).as("recomputed tokens").isLessThanOrEqualTo(most);
    }

    @Then("key {word} ran at most once")
    public void ranAtMostOnce(String key) {
        assertThat(world.runs(key)).as("runs of " + key).isLessThanOrEqualTo(1);
        promises();
    }

    @When("a replacement engine {word} appears")
    public void replacement(String id) {
        UpstreamInfo info = new UpstreamInfo(id, World.MODEL_SERVICE, id + ":80", "zone-1", "highlands", "m@1", false);
        world.upstreams.put(id, new FakeUpstream(info, 20));
        world.listUpstreams();
    }

    @When("{word} is dead without notice")
    public void deadWithoutNotice(String id) {
        world.upstreams.get(id).alive = false;
    }

    @When("{word} loses its connection")
    public void disconnect(String caller) {
        world.disconnect(world.callers.get(caller));
    }

    @When("{word} follows its stream wherever it moves")
    public void follow(String caller) {
        world.callers.get(caller).follows = true;
    }

    @When("callers read through every node for {int} ms")
    public void readEverywhere(int millis) {
        long until = world.nowMillis + millis;
        int number = 0;
        while (world.nowMillis < until) {
            for (FakeNode node : world.nodes.values()) {
                world.call("reader-" + number++, node.name(), CallKind.READ, "", "read", 0);
            }
            world.pass(20);
        }
        promises();
    }

    @When("callers ask every address in turn while each node restarts")
    public void rollingRestart() {
        RollingRestart.run(world);
    }

    @Then("every caller has its whole answer")
    public void everyoneWhole() {
        world.pass(60_000);
        assertThat(world.callers.values()).allSatisfy(caller -> {
            assertThat(caller.refusal).as(caller.name).isEmpty();
            assertThat(caller.whole())
                    .as(caller.name + " cut off: " + caller.cutOff)
                    .isTrue();
        });
        promises();
    }

    @Given("engines ignore fencing numbers")
    public void ignoreFencing() {
        world.upstreams.values().forEach(upstream -> upstream.checksFencing = false);
    }

    @Given("orders slip past the check of their deadline")
    public void slipPastCheck() {
        world.ordersSlipPastCheck = true;
    }

    @When("{word} freezes just before it sends an order")
    public void freezeBeforeOrder(String node) {
        world.nodes.get(node).freezeBefore = Command.SendOrder.class;
    }

    @Then("{word} is frozen")
    public void frozen(String node) {
        assertThat(world.nodes.get(node).frozen).isTrue();
    }

    @Then("every engine serves {word} within {int} ms")
    public void serves(String version, int millis) {
        long deadline = world.nowMillis + millis;
        while (!allServe(version) && world.nowMillis < deadline) {
            world.pass(100);
        }
        assertThat(world.upstreams.values().stream().filter(FakeUpstream::model).map(engine -> engine.info.version()))
                .containsOnly(version);
    }

    @Then("no engine obeyed a stale order")
    public void noStaleOrder() {
        assertThat(world.upstreams.values()).noneMatch(FakeUpstream::obeyedStaleOrder);
    }

    @Then("an engine obeyed a stale order")
    public void staleOrder() {
        assertThat(world.upstreams.values()).anyMatch(FakeUpstream::obeyedStaleOrder);
    }

    @Then("no engine was ordered within {int} ms")
    public void noOrders(int millis) {
        int before = orders();
        world.pass(millis);
        assertThat(orders()).isEqualTo(before);
    }

    private boolean allServe(String version) {
        return world.upstreams.values().stream()
                .filter(FakeUpstream::model)
                .allMatch(engine -> engine.info.version().equals(version));
    }

    private int orders() {
        return world.upstreams.values().stream()
                .mapToInt(upstream -> upstream.obeyed.size())
                .sum();
    }

    @Then("no promise is broken")
    public void promises() {
        assertThat(world.violations()).isEmpty();
    }

    private String serving(String caller) {
        FakeCaller served = world.callers.get(caller);
        Optional<String> upstream = world.upstreams.values().stream()
                .filter(candidate -> candidate.model() == (served.kind == CallKind.GENERATE))
                .filter(candidate -> !candidate.startedAtMillis.isEmpty())
                .max(Comparator.comparingLong(
                        candidate -> candidate.startedAtMillis.get(candidate.startedAtMillis.size() - 1)))
                .map(candidate -> candidate.info.id());
        return upstream.orElseThrow();
    }
}
