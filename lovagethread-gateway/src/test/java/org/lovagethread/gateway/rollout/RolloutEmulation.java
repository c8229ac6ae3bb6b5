package org.lovagethread.gateway.rollout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.lovagethread.gateway.policy.ZoneTopology;
import org.lovagethread.gateway.upstream.Upstream;
import org.lovagethread.gateway.upstream.UpstreamEntry;

/** Runs one rollout at ten gateways in virtual time, with emulated upstreams of both versions. */
final class RolloutEmulation {
    static final long DURATION_MILLIS = 12_000;
    static final RolloutBounds BOUNDS = new RolloutBounds(0.1, 50, 5_000);
    static final int GATEWAYS = 10;
    static final int UPSTREAMS = 6;
    private static final String SERVICE = "desk";
    private static final String TARGET = "v2";
    private static final int ROUTES = 3;
    private static final long REPORT_INTERVAL_MILLIS = 280;
    private static final long STORE_WRITE_MILLIS = 600;
    private static final double MEAN_LATENCY_MILLIS = 90;
    private static final double FAILURE_MILLIS = 10;

    /** How the upstreams behave. */
    interface Behaviour {
        /** Returns the factor of the latency of a response, or a negative number if the request fails. */
        double respond(Upstream upstream, int inFlight, int route, double progress, Random random);
    }

    /** Result of one rollout. */
    record Outcome(
            RolloutStage verdict,
            double verdictProgress,
            long requests,
            long targetRequests,
            long targetRequestsBeforeShift,
            long badResponses,
            long millisAfterFiftiethBad) {
        double excess() {
            return targetRequests - BOUNDS.exposeShare() * requests;
        }
    }

    private record Task(double atMillis, long sequence, Runnable action) {}

    private final Random random;
    private final Behaviour behaviour;
    private final double requestsPerSecond;
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingDouble(Task::atMillis).thenComparingLong(Task::sequence));
    private final List<RolloutTable> tables = new ArrayList<>();
    private final List<Upstream> upstreams = new ArrayList<>();
    private final Map<String, Integer> inFlight = new HashMap<>();
    private final boolean[] cutOff = new boolean[GATEWAYS];
    private int extremeReporter = -1;
    private long sequence;
    private double nowMillis;
    private long requests;
    private long targetRequests;
    private long targetRequestsBeforeShift;
    private long badResponses;
    private double fiftiethBadMillis = -1;
    private double lastTargetMillis;
    private Optional<RolloutStage> pending = Optional.empty();
    private double verdictProgress;

    RolloutEmulation(long seed, double requestsPerSecond, Behaviour behaviour) {
        this.random = new Random(seed);
        this.requestsPerSecond = requestsPerSecond;
        this.behaviour = behaviour;
        RolloutTable.Observer observer = new RolloutTable.Observer() {
            @Override
            public void onStage(Rollout rollout, RolloutStage stage, RolloutJudge judge) {}

            @Override
            public void onStopped(Rollout rollout, RolloutJudge judge) {}
        };
        for (int i = 0; i < GATEWAYS; i++) {
            tables.add(new RolloutTable(
                    Optional.of(BOUNDS),
                    new ZoneTopology("a", Map.of("a", "r")),
                    "g" + i,
                    random::nextDouble,
                    observer));
            tables.get(i).tick(GATEWAYS, -1_000);
        }
        for (int i = 0; i < UPSTREAMS; i++) {
            upstreams.add(new Upstream(
                    new UpstreamEntry("old-" + i, SERVICE, "10.0.0.1", 80, "a", 6, false, false, 1, "v1")));
            upstreams.add(new Upstream(
                    new UpstreamEntry("new-" + i, SERVICE, "10.0.0.1", 80, "a", 6, false, false, 2, TARGET)));
        }
    }

    /** Cuts a gateway off from its peers, including the holder of the lease. */
    RolloutEmulation cutOff(int gateway) {
        cutOff[gateway] = true;
        return this;
    }

    /** Lets a gateway report that all requests at the target version failed, in large numbers. */
    RolloutEmulation reportExtremely(int gateway) {
        extremeReporter = gateway;
        return this;
    }

    Outcome run() {
        for (int i = 0; i < GATEWAYS; i++) {
            RolloutTable table = tables.get(i);
            RolloutOrder order = new RolloutOrder(SERVICE, TARGET, DURATION_MILLIS, false, Optional.empty());
            schedule(random.nextInt(400), () -> table.applyOrder(order, 10, now()));
            scheduleRequest(i);
            scheduleReport(i);
        }
        schedule(500, this::decide);
        while (!tasks.isEmpty() && tasks.peek().atMillis() <= DURATION_MILLIS) {
            Task task = tasks.poll();
            nowMillis = task.atMillis();
            task.action().run();
        }
        return new Outcome(
                tables.get(0).stage(SERVICE).orElseThrow(),
                verdictProgress,
                requests,
                targetRequests,
                targetRequestsBeforeShift,
                badResponses,
                fiftiethBadMillis < 0 ? 0 : (long) Math.max(0, lastTargetMillis - fiftiethBadMillis));
    }

    /** Returns the requests that a gateway sent to the target version and all that it sent. */
    CanaryCount count(int gateway) {
        return new CanaryCount(sentToTarget[gateway], sent[gateway]);
    }

    record CanaryCount(long target, long all) {}

    private final long[] sent = new long[GATEWAYS];
    private final long[] sentToTarget = new long[GATEWAYS];

    private long now() {
        return (long) nowMillis;
    }

    private void schedule(double delayMillis, Runnable action) {
        tasks.add(new Task(nowMillis + delayMillis, sequence++, action));
    }

    private void scheduleRequest(int gateway) {
        double meanMillis = 1_000.0 * GATEWAYS / requestsPerSecond;
        schedule(-Math.log(1 - random.nextDouble()) * meanMillis, () -> {
            send(gateway);
            scheduleRequest(gateway);
        });
    }

    private void send(int gateway) {
        RolloutTable table = tables.get(gateway);
        RolloutTable.RequestKind kind = new RolloutTable.RequestKind(true, random.nextBoolean());
        List<Upstream> candidates =
                table.candidates(SERVICE, upstreams, kind, now()).preferred();
        Upstream upstream = candidates.get(random.nextInt(candidates.size()));
        for (Upstream other : candidates) {
            upstream = load(other) < load(upstream) ? other : upstream;
        }
        Upstream chosen = upstream;
        int route = random.nextInt(ROUTES);
        Optional<RolloutSample> sample = table.recordSent(SERVICE, "r" + route, chosen, true);
        boolean isTarget = chosen.entry().version().equals(TARGET);
        requests++;
        sent[gateway]++;
        if (isTarget) {
            targetRequests++;
            sentToTarget[gateway]++;
            lastTargetMillis = nowMillis;
            if (table.stage(SERVICE)
                    .filter(stage -> stage == RolloutStage.CANARY)
                    .isPresent()) {
                targetRequestsBeforeShift++;
            }
        }
        int load = inFlight.merge(chosen.entry().id(), 1, Integer::sum);
        double factor = behaviour.respond(chosen, load, route, nowMillis / DURATION_MILLIS, random);
        double slots = Math.max(1, load / 6.0);
        double served = MEAN_LATENCY_MILLIS * Math.exp(0.4 * random.nextGaussian()) * slots * factor;
        double latency = factor < 0 ? FAILURE_MILLIS : served;
        schedule(latency, () -> {
            inFlight.merge(chosen.entry().id(), -1, Integer::sum);
            if (isTarget && (factor < 0 || factor >= 3)) {
                badResponses++;
                fiftiethBadMillis = badResponses == 50 ? nowMillis : fiftiethBadMillis;
            }
            sample.ifPresent(recorded -> {
                if (factor < 0) {
                    recorded.recordFailure();
                } else {
                    recorded.recordResponse((long) latency);
                }
            });
        });
    }

    private int load(Upstream upstream) {
        return inFlight.getOrDefault(upstream.entry().id(), 0);
    }

    private void scheduleReport(int gateway) {
        schedule(REPORT_INTERVAL_MILLIS, () -> {
            RolloutTable table = tables.get(gateway);
            table.tick(GATEWAYS, now());
            for (RolloutReport report : table.reports(peer -> false, now())) {
                VersionStatistics copy = new VersionStatistics();
                copy.add(report.statistics());
                if (gateway == extremeReporter) {
                    long[] counts = new long[VersionStatistics.COUNTS];
                    counts[0] = 1_000_000 + now();
                    for (int group = 0; group < VersionStatistics.CONTROL; group++) {
                        copy.raise("r0", group, counts);
                    }
                }
                deliver(
                        gateway,
                        new RolloutReport(
                                report.rollout(),
                                report.stage(),
                                gateway == extremeReporter ? 1 : report.stoppedGateways(),
                                copy));
            }
            scheduleReport(gateway);
        });
    }

    private void deliver(int sender, RolloutReport report) {
        for (int i = 0; i < GATEWAYS; i++) {
            int receiver = i;
            if (i != sender && !cutOff[i] && !cutOff[sender]) {
                schedule(1 + random.nextInt(40), () -> tables.get(receiver).applyReport("g" + sender, report, now()));
            }
        }
    }

    private void decide() {
        tables.get(0)
                .nextStage(SERVICE, now())
                .filter(stage -> !pending.equals(Optional.of(stage)))
                .ifPresent(stage -> {
                    pending = Optional.of(stage);
                    schedule(STORE_WRITE_MILLIS, () -> {
                        tables.get(0).advance(SERVICE, stage, now());
                        verdictProgress = nowMillis / DURATION_MILLIS;
                    });
                });
        schedule(50, this::decide);
    }
}
