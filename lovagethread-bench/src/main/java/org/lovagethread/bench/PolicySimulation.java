package org.lovagethread.bench;

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
import org.lovagethread.core.Core;
import org.lovagethread.core.CoreSettings;
import org.lovagethread.core.call.AttemptOutcome;
import org.lovagethread.core.call.CallKind;
import org.lovagethread.core.call.CallRequest;
import org.lovagethread.core.call.ReclaimPolicy;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.config.Configuration;
import org.lovagethread.core.config.Customer;
import org.lovagethread.core.config.Service;
import org.lovagethread.core.config.ServiceKind;
import org.lovagethread.core.event.Event;
import org.lovagethread.core.upstream.RoutingPolicy;
import org.lovagethread.core.upstream.UpstreamInfo;

/**
 * Discrete-event simulation of six cores with one routing policy. The cores are the production code; the calls are
 * generated from a {@link Workload}, and the engines are simulated by {@link EngineModel}. The clock is virtual.
 */
final class PolicySimulation {
    private static final int NODE_COUNT = 6;
    private static final long SIMULATED_MILLIS = 300_000;
    private static final long RECLAIM_AT_MILLIS = 150_000;
    private static final long RECLAIM_NOTICE_MILLIS = 8_000;
    private static final long REPLACEMENT_DELAY_MILLIS = 30_000;
    private static final String[] ZONES = {"a", "b", "c"};

    private final Map<String, EngineModel> engines = new TreeMap<>();
    private final List<Core> nodes = new ArrayList<>();
    private final Map<String, SimulatedStream> streams = new HashMap<>();
    private final Set<String> computedPrefixes = new HashSet<>();
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingDouble(Task::atMillis).thenComparingLong(Task::sequence));
    private final SplittableRandom random;
    private final Workload workload;
    private final List<Double> firstTokenLatencies = new ArrayList<>();
    private long computedTokens;
    private long promptTokens;
    private long recomputedTokens;
    private long exportedTokens;
    private long movedTokens;
    private long refusedCalls;
    private long callCount;
    private double nowMillis = 1_000_000;
    private long nextTaskSequence;

    private record Task(double atMillis, long sequence, Runnable action) {}

    private static final class SimulatedStream {
        private Workload.CallSample sample;
        private double arrivedAtMillis;
        private int sentChunks;
        private boolean hasFirstToken;
        private long currentAttemptId;
    }

    /**
     * The results of a simulation.
     *
     * @param callCount the number of calls
     * @param shareWithinTarget the share of calls whose first token arrived within the target latency
     * @param p95Millis the 95th percentile of the time to the first token
     * @param computedShare the share of prompt tokens that engines had to process
     * @param recomputedShare the share of the processed tokens that an engine had already processed before
     * @param movedTokens the number of tokens that were reprocessed because streams were moved to another engine
     * @param exportedTokens the number of tokens whose KV cache was transferred between engines
     * @param refusedCalls the number of calls that were refused
     */
    record Outcome(
            long callCount,
            double shareWithinTarget,
            double p95Millis,
            double computedShare,
            double recomputedShare,
            long movedTokens,
            long exportedTokens,
            long refusedCalls) {}

    PolicySimulation(Workload workload, RoutingPolicy policy, ReclaimPolicy reclaimPolicy, long seed) {
        this.workload = workload;
        this.random = new SplittableRandom(seed);
        for (int i = 0; i < NODE_COUNT; i++) {
            nodes.add(new Core(CoreSettings.builder("node-" + i)
                    .address("n" + i + ":1")
                    .peerAddress("n" + i)
                    .region("r")
                    .zone(ZONES[i % ZONES.length])
                    .routingPolicy(policy)
                    .reclaimPolicy(reclaimPolicy)
                    .seed(seed + i)
                    .build()));
        }
        for (int i = 0; i < workload.engineCount(); i++) {
            engines.put("e" + i, new EngineModel("e" + i, ZONES[i % ZONES.length]));
        }
    }

    Outcome run() {
        Service service = new Service("s", ServiceKind.MODEL, "m", "1", workload.targetFirstTokenMillis(), 63, true);
        Configuration configuration =
                new Configuration(1, "d", List.of(service), List.of(new Customer("c", 1_000_000, 1)), List.of());
        nodes.forEach(node -> handle(node, new Event.ConfigurationOffered(configuration)));
        publishUpstreamList();
        schedule(10, this::tick);
        schedule(nextInterarrivalMillis(), this::submitCall);
        schedule(RECLAIM_AT_MILLIS, this::reclaimZone);
        double endMillis = nowMillis + SIMULATED_MILLIS;
        while (!tasks.isEmpty() && tasks.peek().atMillis() <= endMillis) {
            Task task = tasks.poll();
            nowMillis = task.atMillis();
            task.action().run();
        }
        return outcome();
    }

    private void schedule(double delayMillis, Runnable action) {
        tasks.add(new Task(nowMillis + delayMillis, nextTaskSequence++, action));
    }

    private void submitCall() {
        Workload.CallSample sample = workload.sampleCall(random);
        Core node = nodes.get(Math.floorMod(sample.prefix().hashCode() + random.nextInt(3), NODE_COUNT));
        long id = ++callCount;
        SimulatedStream stream = new SimulatedStream();
        stream.sample = sample;
        stream.arrivedAtMillis = nowMillis;
        streams.put(streamKey(node, id), stream);
        promptTokens += sample.promptTokens();
        handle(
                node,
                new Event.CallArrived(CallRequest.builder(id, CallKind.GENERATE)
                        .requestId("r" + id)
                        .customer("c")
                        .service("s")
                        .bodyDigest("b" + id)
                        .prefixKey(sample.prefix())
                        .promptTokens(sample.promptTokens())
                        .maxTokens(sample.outputTokens())
                        .deadlineMillis((long) nowMillis + 60_000)
                        .build()));
        schedule(nextInterarrivalMillis(), this::submitCall);
    }

    private void startAttempt(Core node, Command.StartAttempt command) {
        SimulatedStream stream = streams.get(streamKey(node, command.callId()));
        EngineModel engine = engines.get(command.upstream());
        if (!engine.isAlive()) {
            endAttempt(node, command, AttemptOutcome.NOT_SENT, stream);
            return;
        }
        stream.currentAttemptId = command.attemptId();
        boolean cacheImported = command.cacheSource().isPresent();
        int resumedTokens = cacheImported ? 0 : stream.sentChunks;
        Workload.CallSample sample = stream.sample;
        exportedTokens += cacheImported ? sample.promptTokens() + stream.sentChunks : 0;
        EngineModel.StreamTiming timing = cacheImported
                ? engine.startStream(nowMillis, sample.prefix(), sample.promptTokens(), sample.promptTokens())
                : engine.startStream(
                        nowMillis, sample.prefix(), sample.prefixTokens(), sample.promptTokens() + resumedTokens);
        computedTokens += timing.computedTokens();
        recordRecomputedTokens(timing, sample, stream, resumedTokens);
        schedule(timing.firstTokenAtMillis() - nowMillis, () -> emitToken(node, command, stream, engine, timing));
    }

    /**
     * Counts the tokens that an engine processes although they were processed before: the prompt of a resumed stream, or
     * a prefix that any engine has already processed.
     */
    private void recordRecomputedTokens(
            EngineModel.StreamTiming timing, Workload.CallSample sample, SimulatedStream stream, int resumedTokens) {
        boolean prefixProcessed =
                timing.computedTokens() > sample.promptTokens() - sample.prefixTokens() + resumedTokens;
        if (stream.hasFirstToken) {
            recomputedTokens += timing.computedTokens();
            movedTokens += timing.computedTokens();
        } else if (prefixProcessed && !computedPrefixes.add(sample.prefix())) {
            recomputedTokens += sample.prefixTokens();
        }
    }

    private void emitToken(
            Core node,
            Command.StartAttempt command,
            SimulatedStream stream,
            EngineModel engine,
            EngineModel.StreamTiming timing) {
        if (stream.currentAttemptId != command.attemptId()) {
            engine.endStream();
            return;
        }
        if (!engine.isAlive()) {
            endAttempt(node, command, AttemptOutcome.BROKEN, stream);
            return;
        }
        stream.sentChunks++;
        if (!stream.hasFirstToken) {
            stream.hasFirstToken = true;
            firstTokenLatencies.add(nowMillis - stream.arrivedAtMillis);
        }
        handle(node, new Event.AttemptProgressed(command.attemptId(), stream.sentChunks));
        if (stream.sentChunks >= stream.sample.outputTokens()) {
            engine.endStream();
            endAttempt(node, command, AttemptOutcome.COMPLETE, stream);
        } else {
            schedule(timing.stepMillis(), () -> emitToken(node, command, stream, engine, timing));
        }
    }

    private void endAttempt(Core node, Command.StartAttempt command, AttemptOutcome outcome, SimulatedStream stream) {
        handle(node, new Event.AttemptEnded(command.attemptId(), outcome, stream.sentChunks, Optional.empty()));
    }

    private void handle(Core node, Event event) {
        for (Command command : node.handle((long) nowMillis, event)) {
            if (command instanceof Command.StartAttempt start) {
                schedule(1.5, () -> startAttempt(node, start));
            } else if (command instanceof Command.TellPeers tellPeers) {
                nodes.stream()
                        .filter(peer -> peer != node)
                        .forEach(peer -> schedule(1.5, () -> handle(peer, new Event.PeerHeard(tellPeers.state()))));
            } else if (command instanceof Command.RefuseCall) {
                refusedCalls++;
            }
        }
    }

    private String streamKey(Core node, long callId) {
        return nodes.indexOf(node) + "/" + callId;
    }

    private void publishUpstreamList() {
        List<UpstreamInfo> listed = engines.values().stream()
                .filter(EngineModel::isAlive)
                .map(engine -> new UpstreamInfo(engine.id(), "s", engine.id() + ":1", engine.zone(), "r", "m@1", false))
                .toList();
        nodes.forEach(node -> handle(node, new Event.UpstreamsListed(listed)));
    }

    private double nextInterarrivalMillis() {
        return -Math.log(1 - random.nextDouble()) * 1_000 / workload.callsPerSecond();
    }

    private Outcome outcome() {
        List<Double> sorted = firstTokenLatencies.stream().sorted().toList();
        long callsWithinTarget = sorted.stream()
                .filter(millis -> millis <= workload.targetFirstTokenMillis())
                .count();
        return new Outcome(
                callCount,
                (double) callsWithinTarget / callCount,
                sorted.get((int) (sorted.size() * 0.95)),
                (double) computedTokens / promptTokens,
                (double) recomputedTokens / computedTokens,
                movedTokens,
                exportedTokens,
                refusedCalls);
    }

    private void tick() {
        nodes.forEach(node -> handle(node, new Event.Ticked()));
        schedule(10, this::tick);
    }

    /**
     * Reclaims all engines of one zone. The cores receive the notice at once, the engines terminate when the notice period
     * ends, and replacements start later. The upstream list is published 500 ms after each of the two changes.
     */
    private void reclaimZone() {
        List<EngineModel> reclaimed = engines.values().stream()
                .filter(engine -> engine.zone().equals(ZONES[0]))
                .toList();
        for (EngineModel engine : reclaimed) {
            long deadlineMillis = (long) nowMillis + RECLAIM_NOTICE_MILLIS;
            nodes.forEach(node -> handle(node, new Event.ReclaimNoticed(engine.id(), deadlineMillis)));
            schedule(RECLAIM_NOTICE_MILLIS, engine::terminate);
            schedule(
                    REPLACEMENT_DELAY_MILLIS,
                    () -> engines.put(engine.id() + "-new", new EngineModel(engine.id() + "-new", engine.zone())));
        }
        schedule(RECLAIM_NOTICE_MILLIS + 500, this::publishUpstreamList);
        schedule(REPLACEMENT_DELAY_MILLIS + 500, this::publishUpstreamList);
    }
}
