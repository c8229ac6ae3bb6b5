package org.lovagethread.core.scenario;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Supplier;
import org.lovagethread.core.CoreSettings;
import org.lovagethread.core.call.AttemptOutcome;
import org.lovagethread.core.call.CallKind;
import org.lovagethread.core.call.CallRequest;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.config.Configuration;
import org.lovagethread.core.config.Customer;
import org.lovagethread.core.config.Service;
import org.lovagethread.core.config.ServiceKind;
import org.lovagethread.core.error.RunState;
import org.lovagethread.core.event.Event;
import org.lovagethread.core.lease.OrderOutcome;
import org.lovagethread.core.store.StoreStatus;
import org.lovagethread.core.upstream.UpstreamInfo;

/** Runs a few real cores against fakes in virtual time; the same seed and steps give the same run. */
final class World {
    static final String MODEL_SERVICE = "assistant";
    static final String PLAIN_SERVICE = "pond-desk";
    static final String CUSTOMER = "harar";

    private static final long START_MILLIS = 1_000_000;
    private static final long LIST_LAG_MILLIS = 500;
    private static final long STORE_TIMEOUT_MILLIS = 1_000;
    private static final long TICK_MILLIS = 10;

    private record Task(long atMillis, long sequence, Runnable action) {}

    final Map<String, FakeNode> nodes = new TreeMap<>();
    final Map<String, FakeUpstream> upstreams = new TreeMap<>();
    final Map<String, FakeCaller> callers = new TreeMap<>();
    final FakeStore store = new FakeStore();
    final Map<String, Long> noticedAtMillis = new HashMap<>();
    final Set<String> cutNodes = new HashSet<>();
    final Set<String> deafToNotices = new HashSet<>();
    final SplittableRandom random;
    boolean ordersSlipPastCheck;
    double dropShare;
    double doubleShare;
    long mostPeerDelayMillis = 2;
    long nowMillis = START_MILLIS;
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::atMillis).thenComparingLong(Task::sequence));
    private long sequence;

    World(long seed) {
        random = new SplittableRandom(seed);
        after(TICK_MILLIS, this::tick);
    }

    // Building

    void addNode(int number) {
        startNode("node-" + number, number, 1);
    }

    void restartNode(String name) {
        FakeNode old = nodes.get(name);
        startNode(name, Integer.parseInt(name.substring(5)), old.settings.incarnation() + 1);
    }

    private void startNode(String name, int number, long incarnation) {
        FakeNode node = new FakeNode(CoreSettings.builder(name)
                .address(name + ":80")
                .addressLifetimeMillis(2_000)
                .incarnation(incarnation)
                .peerAddress(name)
                .region("highlands")
                .seed(random.nextLong())
                .zone("zone-" + (number % 3))
                .build());
        nodes.put(name, node);
        deliver(node, new Event.NodesListed(List.copyOf(nodes.keySet())));
        deliver(node, new Event.UpstreamsListed(listed()));
    }

    void addUpstreams(String service, int count, int millis) {
        for (int i = 1; i <= count; i++) {
            String id = service + "-" + i;
            UpstreamInfo info = new UpstreamInfo(
                    id,
                    service,
                    id + ":80",
                    "zone-" + (i % 3),
                    "highlands",
                    service.equals(MODEL_SERVICE) ? "m@1" : "",
                    false);
            upstreams.put(id, new FakeUpstream(info, millis));
        }
        listUpstreams();
    }

    void listUpstreams() {
        nodes.values().forEach(node -> deliver(node, new Event.UpstreamsListed(listed())));
    }

    private List<UpstreamInfo> listed() {
        return upstreams.values().stream()
                .filter(upstream -> upstream.alive)
                .map(upstream -> upstream.info)
                .toList();
    }

    static Configuration configuration(long revision) {
        return new Configuration(
                revision,
                "digest-" + revision,
                List.of(
                        new Service(MODEL_SERVICE, ServiceKind.MODEL, "m", modelVersion(revision), 790, 63, true),
                        new Service(PLAIN_SERVICE, ServiceKind.PLAIN, "", "", 500, 0, false)),
                List.of(new Customer(CUSTOMER, 100_000, 1)),
                List.of());
    }

    /** Returns the declared model version: revisions from 100 declare 2, from 200 declare 3. */
    private static String modelVersion(long revision) {
        return Long.toString(1 + Math.min(2, revision / 100));
    }

    // Time

    void after(long millis, Runnable action) {
        tasks.add(new Task(nowMillis + millis, sequence++, action));
    }

    void pass(long millis) {
        long until = nowMillis + millis;
        while (!tasks.isEmpty() && tasks.peek().atMillis() <= until) {
            Task task = tasks.poll();
            nowMillis = task.atMillis();
            task.action().run();
        }
        nowMillis = until;
    }

    private void tick() {
        nodes.values().forEach(node -> {
            if (node.running()) {
                deliver(node, new Event.Ticked());
            }
        });
        after(TICK_MILLIS, this::tick);
    }

    // Nodes

    void deliver(FakeNode node, Event event) {
        if (!node.alive || node.exited) {
            return;
        }
        if (node.frozen) {
            node.heldEvents.add(event);
            return;
        }
        for (Command command : node.core.handle(nowMillis, event)) {
            if (node.freezeBefore != null && node.freezeBefore.isInstance(command)) {
                node.frozen = true;
                node.freezeBefore = null;
            }
            if (node.frozen) {
                node.heldCommands.add(command);
            } else {
                run(node, command);
            }
        }
    }

    void kill(FakeNode node) {
        node.alive = false;
        node.streams.values().forEach(stream -> {
            if (stream.caller != null && !stream.caller.ended) {
                stream.caller.cutOff = true;
            }
        });
    }

    void thaw(FakeNode node) {
        node.frozen = false;
        List<Command> commands = List.copyOf(node.heldCommands);
        node.heldCommands.clear();
        commands.forEach(command -> run(node, command));
        List<Event> events = List.copyOf(node.heldEvents);
        node.heldEvents.clear();
        events.forEach(event -> deliver(node, event));
    }

    private void run(FakeNode node, Command command) {
        if (command instanceof Command.StartAttempt start) {
            node.liveAttempts.add(start.attemptId());
            after(1, () -> attempt(node, start));
        } else if (command instanceof Command.CancelAttempt cancel) {
            node.liveAttempts.remove(cancel.attemptId());
        } else if (command instanceof Command.SendOrder order) {
            sendOrder(node, order);
        } else if (command instanceof Command.TellPeers tell) {
            nodes.values().forEach(peer -> tellPeer(node, peer, new Event.PeerHeard(tell.state())));
        } else if (command instanceof Command.RequestConfiguration request) {
            FakeNode peer = nodes.get(request.peerAddress());
            if (peer.running()) {
                peer.core.configuration().ifPresent(held -> tellPeer(peer, node, new Event.ConfigurationOffered(held)));
            }
        } else if (command instanceof Command.ActivateConfiguration activate) {
            node.revisions.add(activate.revision());
        } else if (command instanceof Command.ExitProcess) {
            node.exited = true;
        } else {
            runForStore(node, command);
            runForCaller(node, command);
        }
    }

    private void runForCaller(FakeNode node, Command command) {
        if (command instanceof Command.CompleteCall complete) {
            close(node, complete.callId(), "end");
        } else if (command instanceof Command.RefuseCall refuse) {
            FakeNode.Stream stream = node.streams.get(refuse.callId());
            if (stream != null && stream.caller != null) {
                stream.caller.refusal = Optional.of(refuse.kind());
            }
        } else if (command instanceof Command.ReplayAnswer replay) {
            node.streams.get(replay.callId()).caller.answer =
                    Optional.of(replay.answer().body());
        } else if (command instanceof Command.AttachCaller attach) {
            FakeCaller caller = node.streams.remove(attach.callId()).caller;
            FakeNode.Stream stream = node.streams.get(attach.streamCallId());
            if (caller == null) {
                deliver(node, new Event.CallerLeft(attach.streamCallId()));
                return;
            }
            stream.caller = caller;
            caller.callId = attach.streamCallId();
            flush(stream);
        } else if (command instanceof Command.HandOverCall handOver) {
            handOver(node, handOver);
        } else if (command instanceof Command.RedirectCaller redirect) {
            redirect(node.streams.get(redirect.callId()), redirect.address());
        } else if (command instanceof Command.AnswerAdoption answer) {
            after(
                    1,
                    () -> deliver(
                            node.handingOver.get(answer.callId()).node(),
                            new Event.HandOverReplied(
                                    node.handingOver.get(answer.callId()).callId(), answer.accepted())));
        } else if (command instanceof Command.ForgetCall forget) {
            node.streams.remove(forget.callId());
        }
    }

    private void handOver(FakeNode node, Command.HandOverCall handOver) {
        FakeNode peer = nodes.get(handOver.peerAddress());
        FakeNode.Stream stream = node.streams.get(handOver.callId());
        stream.owner = 0;
        if (!peer.running()) {
            after(1_000, () -> deliver(node, new Event.HandOverReplied(handOver.callId(), false)));
            return;
        }
        FakeNode.Stream copy = new FakeNode.Stream(null, stream.from);
        copy.origin = stream.origin;
        copy.chunks.addAll(stream.chunks);
        long callId = peer.nextCallId++;
        peer.streams.put(callId, copy);
        peer.handingOver.put(callId, new FakeNode.Origin(node, handOver.callId()));
        CallRequest request = request(stream.origin, callId, stream.from);
        after(2, () -> deliver(peer, new Event.CallAdopted(request, copy.chunks.size())));
    }

    private void redirect(FakeNode.Stream stream, String address) {
        FakeCaller caller = stream.caller;
        if (caller != null && caller.follows) {
            stream.caller = null;
            after(2, () -> connect(caller, nodes.get(address.replace(":80", ""))));
        }
    }

    private void close(FakeNode node, long callId, String closing) {
        FakeNode.Stream stream = node.streams.get(callId);
        if (stream != null) {
            stream.closing = closing;
            if (stream.caller != null && stream.answer.isPresent()) {
                stream.caller.answer = stream.answer;
            }
            flush(stream);
        }
    }

    private void flush(FakeNode.Stream stream) {
        FakeCaller caller = stream.caller;
        if (caller == null || caller.cutOff) {
            return;
        }
        for (int next = caller.chunks.size() + 1; next <= stream.lastChunk(); next++) {
            caller.chunks.add(stream.chunks.get(next - stream.from - 1));
        }
        if (stream.closing != null) {
            caller.ended = true;
        }
    }

    private void tellPeer(FakeNode from, FakeNode to, Event event) {
        boolean cut = cutNodes.contains(from.name()) || cutNodes.contains(to.name());
        if (from == to || cut || random.nextDouble() < dropShare) {
            return;
        }
        int copies = random.nextDouble() < doubleShare ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            after(1 + random.nextLong(mostPeerDelayMillis), () -> deliver(to, event));
        }
    }

    // Store

    /** Applies an operation to the store and answers the node, as the mode of the store has it. */
    private void operate(
            FakeNode node, boolean write, Supplier<Event> operation, Function<StoreStatus, Event> failure) {
        switch (store.mode) {
            case DOWN -> after(2, () -> deliver(node, failure.apply(StoreStatus.REJECTED)));
            case UP -> after(2, () -> {
                Event result = operation.get();
                after(2, () -> deliver(node, result));
            });
            case ANSWERS_LOST, WRITES_LATE -> {
                long delay = store.mode == FakeStore.Mode.WRITES_LATE ? STORE_TIMEOUT_MILLIS + 500 : 2;
                if (write) {
                    after(delay, () -> {
                        Event unansweredResult = operation.get();
                        store.unanswered.add(unansweredResult);
                    });
                }
                after(STORE_TIMEOUT_MILLIS, () -> deliver(node, failure.apply(StoreStatus.NO_ANSWER)));
            }
            default -> throw new IllegalStateException();
        }
    }

    private void runForStore(FakeNode node, Command command) {
        if (command instanceof Command.WriteClaim write) {
            operate(node, true, () -> store.write(write), status -> claimFailure(write.operationId(), status));
        } else if (command instanceof Command.ReadClaim read) {
            operate(node, false, () -> store.read(read), status -> claimFailure(read.operationId(), status));
        } else if (command instanceof Command.WriteLease write) {
            operate(node, true, () -> store.writeLease(write), status -> leaseFailure(write.operationId(), status));
        } else if (command instanceof Command.ReadLease read) {
            operate(
                    node,
                    false,
                    () -> store.readLease(read.operationId()),
                    status -> leaseFailure(read.operationId(), status));
        }
    }

    private static Event claimFailure(long operationId, StoreStatus status) {
        return new Event.ClaimReplied(operationId, status, 0, Optional.empty());
    }

    private static Event leaseFailure(long operationId, StoreStatus status) {
        return new Event.LeaseReplied(operationId, status, 0, Optional.empty());
    }

    /** Sends an order as the order duty does, which looks at the clock immediately before. */
    private void sendOrder(FakeNode node, Command.SendOrder order) {
        if (nowMillis >= order.notAfterMillis() && !ordersSlipPastCheck) {
            deliver(node, new Event.OrderEnded(order.orderId(), OrderOutcome.EXPIRED));
            return;
        }
        after(1, () -> {
            boolean taken = upstreams.get(order.upstream()).obey(order.fence(), order.version(), nowMillis);
            after(LIST_LAG_MILLIS, this::listUpstreams);
            OrderOutcome outcome = taken ? OrderOutcome.TAKEN : OrderOutcome.FENCED;
            after(1, () -> deliver(node, new Event.OrderEnded(order.orderId(), outcome)));
        });
    }

    // Upstreams

    private void attempt(FakeNode node, Command.StartAttempt start) {
        FakeUpstream upstream = upstreams.get(start.upstream());
        FakeNode.Stream stream = node.streams.get(start.callId());
        if (!upstream.alive || stream == null) {
            new FakeAttempt(this, node, start, upstream, stream).end(1, notSent());
            return;
        }
        upstream.startedAtMillis.add(nowMillis);
        new FakeAttempt(this, node, start, upstream, stream).begin();
    }

    private static AttemptOutcome notSent() {
        return AttemptOutcome.NOT_SENT;
    }

    void chunkArrived(FakeNode node, FakeNode.Stream stream, long attemptId, int number, String text) {
        if (number == stream.lastChunk() + 1) {
            stream.chunks.add(text);
            flush(stream);
        }
        deliver(node, new Event.AttemptProgressed(attemptId, stream.lastChunk()));
    }

    void notice(String upstreamId, long inMillis) {
        if (!nodes.containsKey(upstreamId)) {
            noticedAtMillis.putIfAbsent(upstreamId, nowMillis);
        }
        long deadline = nowMillis + inMillis;
        for (FakeNode node : nodes.values()) {
            if (!deafToNotices.contains(node.name())) {
                deliver(node, new Event.ReclaimNoticed(upstreamId, deadline));
            }
        }
        after(inMillis, () -> end(upstreamId));
    }

    private void end(String instance) {
        if (nodes.containsKey(instance)) {
            kill(nodes.get(instance));
        } else {
            upstreams.get(instance).alive = false;
        }
    }

    // Callers

    FakeCaller call(String name, String nodeName, CallKind kind, String key, String body, int tokens) {
        FakeCaller caller = new FakeCaller(name, kind, key, body, tokens);
        caller.deadlineMillis = nowMillis + 60_000;
        callers.put(name, caller);
        connect(caller, nodes.get(nodeName));
        return caller;
    }

    void connect(FakeCaller caller, FakeNode node) {
        if (!node.alive || node.exited) {
            caller.cutOff = true;
            return;
        }
        caller.node = node;
        caller.cutOff = false;
        caller.callId = node.nextCallId++;
        int from = caller.chunks.size();
        node.streams.put(caller.callId, new FakeNode.Stream(caller, from));
        deliver(node, new Event.CallArrived(request(caller, caller.callId, from)));
    }

    private static CallRequest request(FakeCaller caller, long callId, int from) {
        return CallRequest.builder(callId, caller.kind)
                .requestId(caller.name)
                .customer(CUSTOMER)
                .service(caller.kind == CallKind.GENERATE ? MODEL_SERVICE : PLAIN_SERVICE)
                .idempotencyKey(caller.key.isEmpty() ? Optional.empty() : Optional.of(caller.key))
                .bodyDigest(caller.body)
                .promptTokens(200)
                .maxTokens(caller.tokens)
                .fromChunk(from)
                .deadlineMillis(caller.deadlineMillis)
                .build();
    }

    void disconnect(FakeCaller caller) {
        caller.cutOff = true;
        FakeNode.Stream stream = caller.node.streams.get(caller.callId);
        if (stream != null) {
            stream.caller = null;
        }
        deliver(caller.node, new Event.CallerLeft(caller.callId));
    }

    /** Returns how often the call with a key ran. */
    long runs(String key) {
        return upstreams.values().stream()
                .flatMap(upstream -> upstream.ledger.stream())
                .filter(key::equals)
                .count();
    }

    /** Returns the broken promises that can be seen from outside; empty if there are none. */
    List<String> violations() {
        List<String> found = new ArrayList<>();
        Set<String> keys = new HashSet<>();
        for (FakeCaller caller : callers.values()) {
            if (!caller.own()) {
                found.add(caller.name + " received another's answer: " + caller.chunks + caller.answer);
            }
            boolean falselyNotRun = caller.kind == CallKind.SUBMIT
                    && caller.refusal
                            .filter(kind -> kind.runState() == RunState.NOT_RUN)
                            .isPresent()
                    && upstreams.values().stream()
                            .anyMatch(upstream -> upstream.ledger.contains(caller.key + " by " + caller.name));
            if (falselyNotRun) {
                found.add(caller.name + " was told not-run, but it ran");
            }
            keys.add(caller.key);
        }
        keys.remove("");
        for (String key : keys) {
            if (runs(key) > 1) {
                found.add("key " + key + " ran " + runs(key) + " times");
            }
        }
        found.addAll(revisionViolations());
        return found;
    }

    private List<String> revisionViolations() {
        List<String> found = new ArrayList<>();
        for (FakeNode node : nodes.values()) {
            for (int i = 1; i < node.revisions.size(); i++) {
                if (node.revisions.get(i) <= node.revisions.get(i - 1)) {
                    found.add(node.name() + " went from revision " + node.revisions.get(i - 1) + " to "
                            + node.revisions.get(i));
                }
            }
        }
        return found;
    }
}
