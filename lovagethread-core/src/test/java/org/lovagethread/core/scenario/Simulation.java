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

/** Deterministic simulation that runs real cores against fakes in virtual time. */
final class Simulation {
    static final String MODEL_SERVICE = "assistant";
    static final String PLAIN_SERVICE = "pond-desk";
    static final String CUSTOMER = "harar";

    private static final long START_MILLIS = 1_000_000;
    private static final long UPSTREAM_LIST_DELAY_MILLIS = 500;
    private static final long STORE_TIMEOUT_MILLIS = 1_000;
    private static final long TICK_INTERVAL_MILLIS = 10;

    private record Task(long atMillis, long sequence, Runnable action) {}

    final Map<String, FakeNode> nodes = new TreeMap<>();
    final Map<String, FakeUpstream> upstreams = new TreeMap<>();
    final Map<String, FakeCaller> callers = new TreeMap<>();
    final FakeStore store = new FakeStore();
    final Map<String, Long> reclaimAnnouncedAtMillis = new HashMap<>();
    final Set<String> partitionedNodes = new HashSet<>();
    final Set<String> nodesWithoutNotices = new HashSet<>();
    final SplittableRandom random;
    boolean ordersBypassDeadlineCheck;
    double dropProbability;
    double duplicateProbability;
    long maxPeerDelayMillis = 2;
    long nowMillis = START_MILLIS;
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::atMillis).thenComparingLong(Task::sequence));
    private long sequence;

    Simulation(long seed) {
        random = new SplittableRandom(seed);
        schedule(TICK_INTERVAL_MILLIS, this::tickNodes);
    }

    // Set-up

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
        deliver(node, new Event.UpstreamsListed(listedUpstreams()));
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
        publishUpstreams();
    }

    void publishUpstreams() {
        nodes.values().forEach(node -> deliver(node, new Event.UpstreamsListed(listedUpstreams())));
    }

    private List<UpstreamInfo> listedUpstreams() {
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

    /** Returns the model version declared by a revision: 1 below 100, 2 from 100, 3 from 200. */
    private static String modelVersion(long revision) {
        return Long.toString(1 + Math.min(2, revision / 100));
    }

    // Time

    void schedule(long millis, Runnable action) {
        tasks.add(new Task(nowMillis + millis, sequence++, action));
    }

    void advance(long millis) {
        long endMillis = nowMillis + millis;
        while (!tasks.isEmpty() && tasks.peek().atMillis() <= endMillis) {
            Task task = tasks.poll();
            nowMillis = task.atMillis();
            task.action().run();
        }
        nowMillis = endMillis;
    }

    private void tickNodes() {
        nodes.values().forEach(node -> {
            if (node.isRunning()) {
                deliver(node, new Event.Ticked());
            }
        });
        schedule(TICK_INTERVAL_MILLIS, this::tickNodes);
    }

    // Nodes

    void deliver(FakeNode node, Event event) {
        if (!node.alive || node.exited) {
            return;
        }
        if (node.frozen) {
            node.deferredEvents.add(event);
            return;
        }
        for (Command command : node.core.handle(nowMillis, event)) {
            if (node.freezeBeforeCommand != null && node.freezeBeforeCommand.isInstance(command)) {
                node.frozen = true;
                node.freezeBeforeCommand = null;
            }
            if (node.frozen) {
                node.deferredCommands.add(command);
            } else {
                execute(node, command);
            }
        }
    }

    void kill(FakeNode node) {
        node.alive = false;
        node.streams.values().forEach(stream -> {
            if (stream.caller != null && !stream.caller.ended) {
                stream.caller.disconnected = true;
            }
        });
    }

    void resume(FakeNode node) {
        node.frozen = false;
        List<Command> commands = List.copyOf(node.deferredCommands);
        node.deferredCommands.clear();
        commands.forEach(command -> execute(node, command));
        List<Event> events = List.copyOf(node.deferredEvents);
        node.deferredEvents.clear();
        events.forEach(event -> deliver(node, event));
    }

    private void execute(FakeNode node, Command command) {
        if (command instanceof Command.StartAttempt start) {
            node.liveAttempts.add(start.attemptId());
            schedule(1, () -> startAttempt(node, start));
        } else if (command instanceof Command.CancelAttempt cancel) {
            node.liveAttempts.remove(cancel.attemptId());
        } else if (command instanceof Command.SendOrder order) {
            sendOrder(node, order);
        } else if (command instanceof Command.TellPeers tell) {
            nodes.values().forEach(peer -> sendToPeer(node, peer, new Event.PeerHeard(tell.state())));
        } else if (command instanceof Command.RequestConfiguration request) {
            FakeNode peer = nodes.get(request.peerAddress());
            if (peer.isRunning()) {
                peer.core
                        .configuration()
                        .ifPresent(held -> sendToPeer(peer, node, new Event.ConfigurationOffered(held)));
            }
        } else if (command instanceof Command.ActivateConfiguration activate) {
            node.revisions.add(activate.revision());
        } else if (command instanceof Command.ExitProcess) {
            node.exited = true;
        } else {
            executeForStore(node, command);
            executeForCaller(node, command);
        }
    }

    private void executeForCaller(FakeNode node, Command command) {
        if (command instanceof Command.CompleteCall complete) {
            closeStream(node, complete.callId(), "end");
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
            deliverChunks(stream);
        } else if (command instanceof Command.HandOverCall handOver) {
            handOver(node, handOver);
        } else if (command instanceof Command.RedirectCaller redirect) {
            redirect(node.streams.get(redirect.callId()), redirect.address());
        } else if (command instanceof Command.AnswerAdoption answer) {
            schedule(
                    1,
                    () -> deliver(
                            node.adoptedCalls.get(answer.callId()).node(),
                            new Event.HandOverReplied(
                                    node.adoptedCalls.get(answer.callId()).callId(), answer.accepted())));
        } else if (command instanceof Command.ForgetCall forget) {
            node.streams.remove(forget.callId());
        }
    }

    private void handOver(FakeNode node, Command.HandOverCall handOver) {
        FakeNode peer = nodes.get(handOver.peerAddress());
        FakeNode.Stream stream = node.streams.get(handOver.callId());
        stream.ownerAttemptId = 0;
        if (!peer.isRunning()) {
            schedule(1_000, () -> deliver(node, new Event.HandOverReplied(handOver.callId(), false)));
            return;
        }
        FakeNode.Stream copy = new FakeNode.Stream(null, stream.fromChunk);
        copy.originalCaller = stream.originalCaller;
        copy.chunks.addAll(stream.chunks);
        long callId = peer.nextCallId++;
        peer.streams.put(callId, copy);
        peer.adoptedCalls.put(callId, new FakeNode.HandOverSource(node, handOver.callId()));
        CallRequest request = request(stream.originalCaller, callId, stream.fromChunk);
        schedule(2, () -> deliver(peer, new Event.CallAdopted(request, copy.chunks.size())));
    }

    private void redirect(FakeNode.Stream stream, String address) {
        FakeCaller caller = stream.caller;
        if (caller != null && caller.followsRedirects) {
            stream.caller = null;
            schedule(2, () -> connect(caller, nodes.get(address.replace(":80", ""))));
        }
    }

    private void closeStream(FakeNode node, long callId, String closeReason) {
        FakeNode.Stream stream = node.streams.get(callId);
        if (stream != null) {
            stream.closeReason = closeReason;
            if (stream.caller != null && stream.answer.isPresent()) {
                stream.caller.answer = stream.answer;
            }
            deliverChunks(stream);
        }
    }

    private void deliverChunks(FakeNode.Stream stream) {
        FakeCaller caller = stream.caller;
        if (caller == null || caller.disconnected) {
            return;
        }
        for (int next = caller.chunks.size() + 1; next <= stream.lastChunk(); next++) {
            caller.chunks.add(stream.chunks.get(next - stream.fromChunk - 1));
        }
        if (stream.closeReason != null) {
            caller.ended = true;
        }
    }

    private void sendToPeer(FakeNode from, FakeNode to, Event event) {
        boolean isPartitioned = partitionedNodes.contains(from.name()) || partitionedNodes.contains(to.name());
        if (from == to || isPartitioned || random.nextDouble() < dropProbability) {
            return;
        }
        int copies = random.nextDouble() < duplicateProbability ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            schedule(1 + random.nextLong(maxPeerDelayMillis), () -> deliver(to, event));
        }
    }

    // Store

    /** Runs a store operation and replies to the node, according to the failure mode of the store. */
    private void runStoreOperation(
            FakeNode node, boolean write, Supplier<Event> operation, Function<StoreStatus, Event> failure) {
        switch (store.mode) {
            case DOWN -> schedule(2, () -> deliver(node, failure.apply(StoreStatus.REJECTED)));
            case UP -> schedule(2, () -> {
                Event result = operation.get();
                schedule(2, () -> deliver(node, result));
            });
            case RESPONSES_LOST, WRITES_DELAYED -> {
                long delay = store.mode == FakeStore.Mode.WRITES_DELAYED ? STORE_TIMEOUT_MILLIS + 500 : 2;
                if (write) {
                    schedule(delay, () -> {
                        Event unansweredResult = operation.get();
                        store.unanswered.add(unansweredResult);
                    });
                }
                schedule(STORE_TIMEOUT_MILLIS, () -> deliver(node, failure.apply(StoreStatus.NO_ANSWER)));
            }
            default -> throw new IllegalStateException();
        }
    }

    private void executeForStore(FakeNode node, Command command) {
        if (command instanceof Command.WriteClaim write) {
            runStoreOperation(
                    node, true, () -> store.write(write), status -> claimFailure(write.operationId(), status));
        } else if (command instanceof Command.ReadClaim read) {
            runStoreOperation(node, false, () -> store.read(read), status -> claimFailure(read.operationId(), status));
        } else if (command instanceof Command.WriteLease write) {
            runStoreOperation(
                    node, true, () -> store.writeLease(write), status -> leaseFailure(write.operationId(), status));
        } else if (command instanceof Command.ReadLease read) {
            runStoreOperation(
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

    /** Sends an order; like the real component, it checks the deadline immediately before sending. */
    private void sendOrder(FakeNode node, Command.SendOrder order) {
        if (nowMillis >= order.notAfterMillis() && !ordersBypassDeadlineCheck) {
            deliver(node, new Event.OrderEnded(order.orderId(), OrderOutcome.EXPIRED));
            return;
        }
        schedule(1, () -> {
            boolean accepted = upstreams.get(order.upstream()).executeOrder(order.fence(), order.version(), nowMillis);
            schedule(UPSTREAM_LIST_DELAY_MILLIS, this::publishUpstreams);
            OrderOutcome outcome = accepted ? OrderOutcome.TAKEN : OrderOutcome.FENCED;
            schedule(1, () -> deliver(node, new Event.OrderEnded(order.orderId(), outcome)));
        });
    }

    // Upstreams

    private void startAttempt(FakeNode node, Command.StartAttempt start) {
        FakeUpstream upstream = upstreams.get(start.upstream());
        FakeNode.Stream stream = node.streams.get(start.callId());
        if (!upstream.alive || stream == null) {
            new FakeAttempt(this, node, start, upstream, stream).end(1, notSent());
            return;
        }
        upstream.startedAtMillis.add(nowMillis);
        new FakeAttempt(this, node, start, upstream, stream).start();
    }

    private static AttemptOutcome notSent() {
        return AttemptOutcome.NOT_SENT;
    }

    void appendChunk(FakeNode node, FakeNode.Stream stream, long attemptId, int number, String text) {
        if (number == stream.lastChunk() + 1) {
            stream.chunks.add(text);
            deliverChunks(stream);
        }
        deliver(node, new Event.AttemptProgressed(attemptId, stream.lastChunk()));
    }

    void announceReclaim(String upstreamId, long inMillis) {
        if (!nodes.containsKey(upstreamId)) {
            reclaimAnnouncedAtMillis.putIfAbsent(upstreamId, nowMillis);
        }
        long deadline = nowMillis + inMillis;
        for (FakeNode node : nodes.values()) {
            if (!nodesWithoutNotices.contains(node.name())) {
                deliver(node, new Event.ReclaimNoticed(upstreamId, deadline));
            }
        }
        schedule(inMillis, () -> endInstance(upstreamId));
    }

    private void endInstance(String instance) {
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
            caller.disconnected = true;
            return;
        }
        caller.node = node;
        caller.disconnected = false;
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
                .maxTokens(caller.requestedTokens)
                .fromChunk(from)
                .deadlineMillis(caller.deadlineMillis)
                .build();
    }

    void disconnect(FakeCaller caller) {
        caller.disconnected = true;
        FakeNode.Stream stream = caller.node.streams.get(caller.callId);
        if (stream != null) {
            stream.caller = null;
        }
        deliver(caller.node, new Event.CallerLeft(caller.callId));
    }

    /** Returns the number of executions of the call with the given key. */
    long executionCount(String key) {
        return upstreams.values().stream()
                .flatMap(upstream -> upstream.executedKeys.stream())
                .filter(key::equals)
                .count();
    }

    /** Returns the violations of guarantees that are visible to callers; empty if there are none. */
    List<String> violations() {
        List<String> violations = new ArrayList<>();
        Set<String> keys = new HashSet<>();
        for (FakeCaller caller : callers.values()) {
            if (!caller.hasOnlyOwnResponse()) {
                violations.add(
                        caller.name + " received the response of another caller: " + caller.chunks + caller.answer);
            }
            boolean falselyNotRun = caller.kind == CallKind.SUBMIT
                    && caller.refusal
                            .filter(kind -> kind.runState() == RunState.NOT_RUN)
                            .isPresent()
                    && upstreams.values().stream()
                            .anyMatch(upstream -> upstream.executedKeys.contains(caller.key + " by " + caller.name));
            if (falselyNotRun) {
                violations.add(caller.name + " was refused as not-run, but the call was executed");
            }
            keys.add(caller.key);
        }
        keys.remove("");
        for (String key : keys) {
            if (executionCount(key) > 1) {
                violations.add("key " + key + " was executed " + executionCount(key) + " times");
            }
        }
        violations.addAll(revisionViolations());
        return violations;
    }

    private List<String> revisionViolations() {
        List<String> violations = new ArrayList<>();
        for (FakeNode node : nodes.values()) {
            for (int i = 1; i < node.revisions.size(); i++) {
                if (node.revisions.get(i) <= node.revisions.get(i - 1)) {
                    violations.add(node.name() + " went from revision " + node.revisions.get(i - 1) + " to "
                            + node.revisions.get(i));
                }
            }
        }
        return violations;
    }
}
