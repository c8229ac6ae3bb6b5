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

/** Runs six real cores with one routing policy over a generated trace and engine models, in virtual time. */
final class PolicyRun {
    private static final int NODES = 6;
    private static final long SPAN_MILLIS = 300_000;
    private static final long WAVE_AT_MILLIS = 150_000;
    private static final long WAVE_NOTICE_MILLIS = 8_000;
    private static final long REPLACED_AFTER_MILLIS = 30_000;
    private static final String[] ZONES = {"a", "b", "c"};

    private final Map<String, EngineModel> engines = new TreeMap<>();
    private final List<Core> nodes = new ArrayList<>();
    private final Map<String, Stream> streams = new HashMap<>();
    private final Set<String> computedPrefixes = new HashSet<>();
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingDouble(Task::at).thenComparingLong(Task::order));
    private final SplittableRandom random;
    private final Workload workload;
    private final List<Double> firstTokens = new ArrayList<>();
    private long computed;
    private long prompted;
    private long recomputed;
    private long exportedTokens;
    private long movedTokens;
    private long refused;
    private long calls;
    private double now = 1_000_000;
    private long order;

    private record Task(double at, long order, Runnable action) {}

    private static final class Stream {
        private Workload.Draw draw;
        private double arrivedAt;
        private int chunks;
        private boolean answered;
        private long owner;
    }

    /**
     * The outcome of a run.
     *
     * @param calls the number of calls
     * @param inTarget the share of calls whose first token came within the target
     * @param p95Millis the 95th percentile of the time to the first token
     * @param computedShare the share of prompt tokens that engines had to process
     * @param recomputedShare the share of prompt and resumed tokens that were processed again
     * @param movedTokens the tokens that were processed again since streams were moved
     * @param exportedTokens the tokens whose KV cache was carried between engines
     * @param refused the number of calls refused
     */
    record Outcome(
            long calls,
            double inTarget,
            double p95Millis,
            double computedShare,
            double recomputedShare,
            long movedTokens,
            long exportedTokens,
            long refused) {}

    PolicyRun(Workload workload, RoutingPolicy policy, ReclaimPolicy reclaims, long seed) {
        this.workload = workload;
        this.random = new SplittableRandom(seed);
        for (int i = 0; i < NODES; i++) {
            nodes.add(new Core(CoreSettings.builder("node-" + i)
                    .address("n" + i + ":1")
                    .peerAddress("n" + i)
                    .region("r")
                    .zone(ZONES[i % ZONES.length])
                    .routingPolicy(policy)
                    .reclaimPolicy(reclaims)
                    .seed(seed + i)
                    .build()));
        }
        for (int i = 0; i < workload.engines(); i++) {
            engines.put("e" + i, new EngineModel("e" + i, ZONES[i % ZONES.length]));
        }
    }

    Outcome run() {
        Service service = new Service("s", ServiceKind.MODEL, "m", "1", workload.firstTokenMillis(), 63, true);
        Configuration configuration =
                new Configuration(1, "d", List.of(service), List.of(new Customer("c", 1_000_000, 1)), List.of());
        nodes.forEach(node -> handle(node, new Event.ConfigurationOffered(configuration)));
        list();
        after(10, this::tick);
        after(nextGap(), this::arrive);
        after(WAVE_AT_MILLIS, this::wave);
        double until = now + SPAN_MILLIS;
        while (!tasks.isEmpty() && tasks.peek().at() <= until) {
            Task task = tasks.poll();
            now = task.at();
            task.action().run();
        }
        return outcome();
    }

    private void after(double millis, Runnable action) {
        tasks.add(new Task(now + millis, order++, action));
    }

    private void arrive() {
        Workload.Draw draw = workload.draw(random);
        Core node = nodes.get(Math.floorMod(draw.prefix().hashCode() + random.nextInt(3), NODES));
        long id = ++calls;
        Stream stream = new Stream();
        stream.draw = draw;
        stream.arrivedAt = now;
        streams.put(key(node, id), stream);
        prompted += draw.promptTokens();
        handle(
                node,
                new Event.CallArrived(CallRequest.builder(id, CallKind.GENERATE)
                        .requestId("r" + id)
                        .customer("c")
                        .service("s")
                        .bodyDigest("b" + id)
                        .prefixKey(draw.prefix())
                        .promptTokens(draw.promptTokens())
                        .maxTokens(draw.outputTokens())
                        .deadlineMillis((long) now + 60_000)
                        .build()));
        after(nextGap(), this::arrive);
    }

    private void attempt(Core node, Command.StartAttempt start) {
        Stream stream = streams.get(key(node, start.callId()));
        EngineModel engine = engines.get(start.upstream());
        if (!engine.alive()) {
            end(node, start, AttemptOutcome.NOT_SENT, stream);
            return;
        }
        stream.owner = start.attemptId();
        boolean imported = start.cacheSource().isPresent();
        int resumed = imported ? 0 : stream.chunks;
        Workload.Draw draw = stream.draw;
        exportedTokens += imported ? draw.promptTokens() + stream.chunks : 0;
        EngineModel.Service service = imported
                ? engine.begin(now, draw.prefix(), draw.promptTokens(), draw.promptTokens())
                : engine.begin(now, draw.prefix(), draw.prefixTokens(), draw.promptTokens() + resumed);
        computed += service.computedTokens();
        count(service, draw, stream, resumed);
        after(service.firstTokenMillis() - now, () -> token(node, start, stream, engine, service));
    }

    /** Counts tokens that some engine had processed before: a known prefix, or a prompt that was sent twice. */
    private void count(EngineModel.Service service, Workload.Draw draw, Stream stream, int resumed) {
        boolean prefixComputed = service.computedTokens() > draw.promptTokens() - draw.prefixTokens() + resumed;
        if (stream.answered) {
            recomputed += service.computedTokens();
            movedTokens += service.computedTokens();
        } else if (prefixComputed && !computedPrefixes.add(draw.prefix())) {
            recomputed += draw.prefixTokens();
        }
    }

    private void token(
            Core node, Command.StartAttempt start, Stream stream, EngineModel engine, EngineModel.Service service) {
        if (stream.owner != start.attemptId()) {
            engine.end();
            return;
        }
        if (!engine.alive()) {
            end(node, start, AttemptOutcome.BROKEN, stream);
            return;
        }
        stream.chunks++;
        if (!stream.answered) {
            stream.answered = true;
            firstTokens.add(now - stream.arrivedAt);
        }
        handle(node, new Event.AttemptProgressed(start.attemptId(), stream.chunks));
        if (stream.chunks >= stream.draw.outputTokens()) {
            engine.end();
            end(node, start, AttemptOutcome.COMPLETE, stream);
        } else {
            after(service.stepMillis(), () -> token(node, start, stream, engine, service));
        }
    }

    private void end(Core node, Command.StartAttempt start, AttemptOutcome outcome, Stream stream) {
        handle(node, new Event.AttemptEnded(start.attemptId(), outcome, stream.chunks, Optional.empty()));
    }

    private void handle(Core node, Event event) {
        for (Command command : node.handle((long) now, event)) {
            if (command instanceof Command.StartAttempt start) {
                after(1.5, () -> attempt(node, start));
            } else if (command instanceof Command.TellPeers tell) {
                nodes.stream()
                        .filter(peer -> peer != node)
                        .forEach(peer -> after(1.5, () -> handle(peer, new Event.PeerHeard(tell.state()))));
            } else if (command instanceof Command.RefuseCall) {
                refused++;
            }
        }
    }

    private String key(Core node, long callId) {
        return nodes.indexOf(node) + "/" + callId;
    }

    private void list() {
        List<UpstreamInfo> listed = engines.values().stream()
                .filter(EngineModel::alive)
                .map(engine -> new UpstreamInfo(engine.id(), "s", engine.id() + ":1", engine.zone(), "r", "m@1", false))
                .toList();
        nodes.forEach(node -> handle(node, new Event.UpstreamsListed(listed)));
    }

    private double nextGap() {
        return -Math.log(1 - random.nextDouble()) * 1_000 / workload.callsPerSecond();
    }

    private Outcome outcome() {
        List<Double> sorted = firstTokens.stream().sorted().toList();
        long inTarget = sorted.stream()
                .filter(millis -> millis <= workload.firstTokenMillis())
                .count();
        return new Outcome(
                calls,
                (double) inTarget / calls,
                sorted.get((int) (sorted.size() * 0.95)),
                (double) computed / prompted,
                (double) recomputed / computed,
                movedTokens,
                exportedTokens,
                refused);
    }

    private void tick() {
        nodes.forEach(node -> handle(node, new Event.Ticked()));
        after(10, this::tick);
    }

    /** Reclaims one zone with a notice; replacements appear some time later. */
    private void wave() {
        List<EngineModel> reclaimed = engines.values().stream()
                .filter(engine -> engine.zone().equals(ZONES[0]))
                .toList();
        for (EngineModel engine : reclaimed) {
            long deadline = (long) now + WAVE_NOTICE_MILLIS;
            nodes.forEach(node -> handle(node, new Event.ReclaimNoticed(engine.id(), deadline)));
            after(WAVE_NOTICE_MILLIS, engine::kill);
            after(
                    REPLACED_AFTER_MILLIS,
                    () -> engines.put(engine.id() + "-new", new EngineModel(engine.id() + "-new", engine.zone())));
        }
        after(WAVE_NOTICE_MILLIS + 500, this::list);
        after(REPLACED_AFTER_MILLIS + 500, this::list);
    }
}
