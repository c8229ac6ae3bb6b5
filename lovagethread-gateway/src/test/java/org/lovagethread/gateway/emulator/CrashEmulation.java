package org.lovagethread.gateway.emulator;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.lovagethread.gateway.policy.PromptEvidence;
import org.lovagethread.gateway.policy.PromptPrefix;
import org.lovagethread.gateway.policy.PromptQuarantine;
import org.lovagethread.gateway.upstream.Upstream;
import org.lovagethread.gateway.upstream.UpstreamTable;

/**
 * Plays prompts in virtual time, of which some crash each engine that begins to answer them. Several gateways decide with
 * the production code and exchange their evidence as peers do, with delays and losses.
 */
final class CrashEmulation {
    static final double CONTACT_MILLIS = 4_000;
    private static final String SERVICE = "pool";
    private static final int GATEWAYS = 6;
    private static final int MAX_UPSTREAMS = 2;
    private static final double CALLER_RETRY_MILLIS = 150;
    private static final double EVALUATION_INTERVAL_MILLIS = 100;
    private static final double EXCHANGE_INTERVAL_MILLIS = 140;
    private static final double MAX_NETWORK_MILLIS = 60;
    private static final double DATAGRAM_LOSS = 0.05;
    private static final double LISTING_DELAY_MILLIS = 200;

    final List<Double> crashMillis = new ArrayList<>();
    final Map<String, List<Double>> deadlyCrashMillis = new TreeMap<>();
    final Map<String, List<Double>> deadlyArrivalMillis = new TreeMap<>();
    final List<Sample> soundRequests = new ArrayList<>();
    final Set<String> blamedParts = new TreeSet<>();
    private final VirtualClock clock = new VirtualClock();
    private final Random random;
    private final Scenario scenario;
    private final List<CrashingEngine> engines;
    private final List<EmulatedGateway> gateways = new ArrayList<>();
    private int requests;

    /**
     * A load.
     *
     * @param requestsPerSecond the rate of all requests
     * @param promptMillis the mean time for which an engine reads a prompt, in milliseconds
     * @param deadlyParts the number of parts that crash engines
     * @param deadlyShare the share of the requests that contain one of them
     * @param deadlyStartMillis when the first such request arrives, in milliseconds
     * @param downMillis the time for which a crashed engine is down, in milliseconds
     * @param engines the number of engines
     * @param documents the number of documents, of which each sound prompt contains one
     * @param streamMillis the length of a response after its first event, in milliseconds
     * @param crashDelayMillis the time from the first event of a response to a deadly prompt to the crash, in milliseconds;
     *     zero if the engine crashes before it
     */
    record Scenario(
            double requestsPerSecond,
            double promptMillis,
            int deadlyParts,
            double deadlyShare,
            double deadlyStartMillis,
            double downMillis,
            int engines,
            int documents,
            double streamMillis,
            double crashDelayMillis) {
        private static final double STREAM_MILLIS = 600;
        private static final int ENGINES = 12;
        private static final int DOCUMENTS = 200;

        Scenario(
                double requestsPerSecond,
                double promptMillis,
                int deadlyParts,
                double deadlyShare,
                double deadlyStartMillis,
                double downMillis) {
            this(
                    requestsPerSecond,
                    promptMillis,
                    deadlyParts,
                    deadlyShare,
                    deadlyStartMillis,
                    downMillis,
                    ENGINES,
                    DOCUMENTS);
        }

        Scenario(
                double requestsPerSecond,
                double promptMillis,
                int deadlyParts,
                double deadlyShare,
                double deadlyStartMillis,
                double downMillis,
                int engines,
                int documents) {
            this(
                    requestsPerSecond,
                    promptMillis,
                    deadlyParts,
                    deadlyShare,
                    deadlyStartMillis,
                    downMillis,
                    engines,
                    documents,
                    STREAM_MILLIS,
                    0);
        }
    }

    /**
     * A sound request.
     *
     * @param startedMillis when it arrived, in milliseconds
     * @param begunAtFirstAttempt whether its response began at the first attempt of its caller
     */
    record Sample(double startedMillis, boolean begunAtFirstAttempt) {}

    /** A request of a caller. */
    private static final class Request {
        private final PromptPrefix prefix;
        private final boolean deadly;
        private final String deadlyPart;
        private final double promptMillis;
        private final double startedMillis;
        private boolean returned;
        private boolean recorded;

        private Request(PromptPrefix prefix, String deadlyPart, double promptMillis, double startedMillis) {
            this.prefix = prefix;
            this.deadlyPart = deadlyPart;
            this.deadly = !deadlyPart.isEmpty();
            this.promptMillis = promptMillis;
            this.startedMillis = startedMillis;
        }
    }

    /** The decisions of one gateway. */
    private static final class EmulatedGateway {
        private final PromptQuarantine quarantine = new PromptQuarantine();
        private final UpstreamTable upstreams = new UpstreamTable();
        private final Set<Attempt> unanswered = new HashSet<>();
    }

    private record Attempt(EmulatedGateway gateway, Request request, int number, Runnable cancel) {}

    CrashEmulation(Scenario scenario, long seed) {
        this.scenario = scenario;
        this.random = new Random(seed);
        this.engines = IntStream.range(0, scenario.engines())
                .mapToObj(index -> new CrashingEngine(index, SERVICE, clock, scenario.streamMillis()))
                .toList();
        for (int i = 0; i < GATEWAYS; i++) {
            gateways.add(new EmulatedGateway());
            listEngines(gateways.get(i));
        }
        clock.schedule(0, this::arrive);
        clock.schedule(0, this::evaluate);
        clock.schedule(0, this::exchangeEvidence);
    }

    VirtualClock clock() {
        return clock;
    }

    void run(double endMillis) {
        clock.runUntil(endMillis);
    }

    /** Crashes a number of random engines at the same moment. */
    void crashEngines(int count, double downMillis) {
        List<CrashingEngine> shuffled = new ArrayList<>(engines);
        Collections.shuffle(shuffled, random);
        shuffled.subList(0, count).forEach(engine -> crash(engine, downMillis));
    }

    /** Breaks the connections of all engines, which go on answering. */
    void breakAllConnections() {
        engines.forEach(CrashingEngine::breakConnections);
    }

    private void crash(CrashingEngine engine, double downMillis) {
        crashMillis.add(clock.nowMillis());
        engine.crash(downMillis);
        clock.schedule(downMillis + LISTING_DELAY_MILLIS, () -> gateways.forEach(this::listEngines));
    }

    private void listEngines(EmulatedGateway gateway) {
        engines.stream()
                .filter(CrashingEngine::isUp)
                .forEach(engine -> gateway.upstreams.put(engine.entry(), 1, nowMillis()));
    }

    private void arrive() {
        clock.schedule(exponential() * 1_000 / scenario.requestsPerSecond(), this::arrive);
        requests++;
        boolean deadly =
                clock.nowMillis() >= scenario.deadlyStartMillis() && random.nextDouble() < scenario.deadlyShare();
        String deadlyPart = deadly ? "deadly-" + random.nextInt(scenario.deadlyParts()) : "";
        List<PromptPrefix.Part> parts = new ArrayList<>();
        parts.add(new PromptPrefix.Part("instructions", 500));
        parts.add(new PromptPrefix.Part(
                "document-" + (int) (scenario.documents() * Math.pow(random.nextDouble(), 2)), 4_000));
        if (!deadlyPart.isEmpty()) {
            parts.add(random.nextInt(parts.size() + 1), new PromptPrefix.Part(deadlyPart, 300));
        }
        parts.add(new PromptPrefix.Part("own-" + requests, 100));
        submit(new Request(
                new PromptPrefix(parts), deadlyPart, exponential() * scenario.promptMillis(), clock.nowMillis()));
    }

    private void submit(Request request) {
        send(gateways.get(random.nextInt(GATEWAYS)), request, 1);
    }

    private void send(EmulatedGateway gateway, Request request, int number) {
        List<CrashingEngine> candidates =
                engines.stream().filter(CrashingEngine::isUp).toList();
        if (gateway.quarantine.isQuarantined(request.prefix)) {
            gateway.quarantine.recordRefusal(request.prefix, nowMillis());
            end(request, false);
            return;
        }
        if (candidates.isEmpty()) {
            end(request, false);
            return;
        }
        CrashingEngine engine = candidates.get(random.nextInt(candidates.size()));
        if (request.deadly) {
            record(deadlyArrivalMillis, request);
        }
        Attempt[] attempt = new Attempt[1];
        double sentMillis = clock.nowMillis();
        Runnable cancel = engine.submit(
                request.prefix,
                request.promptMillis,
                () -> {
                    if (request.deadly) {
                        crashBy(request, engine);
                    }
                },
                new CrashingEngine.Listener() {
                    @Override
                    public void onFirstEvent() {
                        gateway.unanswered.remove(attempt[0]);
                        gateway.upstreams.find(engine.entry().id()).ifPresent(known -> received(known));
                        gateway.quarantine.recordBeginning(SERVICE, request.prefix, nowMillis());
                        end(request, true);
                    }

                    @Override
                    public void onEnd() {
                        gateway.quarantine.recordCompletion(SERVICE, request.prefix, nowMillis());
                    }

                    @Override
                    public void onBroken(boolean answered) {
                        gateway.unanswered.remove(attempt[0]);
                        gateway.upstreams
                                .find(engine.entry().id())
                                .ifPresent(known -> gateway.quarantine.recordBreak(
                                        known.entry(), request.prefix, answered, (long) sentMillis, nowMillis()));
                        if (!answered || request.deadly) {
                            retry(gateway, request, number);
                        }
                    }
                });
        attempt[0] = new Attempt(gateway, request, number, cancel);
        gateway.unanswered.add(attempt[0]);
    }

    private void crashBy(Request request, CrashingEngine engine) {
        long incarnation = engine.entry().startedAtMillis();
        Runnable crash = () -> {
            if (engine.entry().startedAtMillis() == incarnation) {
                record(deadlyCrashMillis, request);
                crash(engine, scenario.downMillis());
            }
        };
        if (scenario.crashDelayMillis() == 0) {
            crash.run();
        } else {
            clock.schedule(scenario.crashDelayMillis(), crash);
        }
    }

    private void record(Map<String, List<Double>> millisByPart, Request request) {
        millisByPart
                .computeIfAbsent(request.deadlyPart, key -> new ArrayList<>())
                .add(clock.nowMillis());
    }

    private void received(Upstream upstream) {
        upstream.recordReceived(nowMillis());
    }

    private void retry(EmulatedGateway gateway, Request request, int number) {
        if (number < MAX_UPSTREAMS && !gateway.quarantine.isSuspected(request.prefix)) {
            send(gateway, request, number + 1);
        } else {
            end(request, false);
        }
    }

    private void end(Request request, boolean begun) {
        if (!request.deadly && !request.recorded) {
            request.recorded = true;
            soundRequests.add(new Sample(request.startedMillis, begun));
        }
        if (!begun && !request.returned) {
            request.returned = true;
            clock.schedule(CALLER_RETRY_MILLIS, () -> submit(request));
        }
    }

    private void evaluate() {
        clock.schedule(EVALUATION_INTERVAL_MILLIS, this::evaluate);
        for (EmulatedGateway gateway : gateways) {
            gateway.quarantine.evaluate(gateway.upstreams, nowMillis());
            blamedParts.addAll(gateway.quarantine.quarantinedParts());
            for (Attempt attempt : List.copyOf(gateway.unanswered)) {
                if (gateway.quarantine.isQuarantined(attempt.request().prefix)) {
                    gateway.unanswered.remove(attempt);
                    attempt.cancel().run();
                    end(attempt.request(), false);
                }
            }
        }
    }

    private void exchangeEvidence() {
        clock.schedule(EXCHANGE_INTERVAL_MILLIS, this::exchangeEvidence);
        for (EmulatedGateway sender : gateways) {
            PromptEvidence evidence = sender.quarantine.localEvidence(nowMillis());
            for (EmulatedGateway receiver : gateways) {
                if (sender != receiver && random.nextDouble() >= DATAGRAM_LOSS) {
                    clock.schedule(
                            random.nextDouble() * MAX_NETWORK_MILLIS,
                            () -> receiver.quarantine.updatePeer(
                                    "g" + gateways.indexOf(sender), evidence, nowMillis()));
                }
            }
        }
    }

    private long nowMillis() {
        return (long) clock.nowMillis();
    }

    private double exponential() {
        return -Math.log(1 - random.nextDouble());
    }
}
