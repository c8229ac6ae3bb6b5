package org.lovagethread.gateway.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.lovagethread.gateway.config.LatencyTargets;
import org.lovagethread.gateway.config.Route;
import org.lovagethread.gateway.config.RouteTable;
import org.lovagethread.gateway.config.ServiceSpec;
import org.lovagethread.gateway.config.ServiceSpec.EngineSpec;
import org.lovagethread.gateway.engine.EngineModel;
import org.lovagethread.gateway.engine.EngineModels;
import org.lovagethread.gateway.policy.Admission;
import org.lovagethread.gateway.policy.FairAdmission;
import org.lovagethread.gateway.policy.Placement;
import org.lovagethread.gateway.policy.PromptPrefix;
import org.lovagethread.gateway.policy.SpeedRecorder;
import org.lovagethread.gateway.policy.WorkLedger;
import org.lovagethread.gateway.policy.ZoneTopology;
import org.lovagethread.gateway.upstream.Upstream;
import org.lovagethread.gateway.upstream.UpstreamEntry;
import org.lovagethread.gateway.upstream.UpstreamLoad.Work;

/**
 * Plays the requests of several customers against emulated engines in virtual time. Many gateways admit and place them
 * with the production code. Their reports are 250 to 700 ms old. Refused callers come back as long as they have time.
 */
final class FairnessEmulation {
    static final String SERVICE = "pool";
    static final int GATEWAYS = 70;
    static final int ENGINES = 60;
    static final int SLOTS = 16;
    private static final double NETWORK_MILLIS = 1;
    private static final double REPORT_INTERVAL_MILLIS = 250;
    private static final int SNAPSHOT_MILLIS = 50;
    private static final int MIN_DELAY_SNAPSHOTS = 5;
    private static final int MAX_DELAY_SNAPSHOTS = 10;
    private static final int DOCUMENTS = 40;
    private static final int DOCUMENT_TOKENS = 3_000;
    private static final int MEAN_OWN_TOKENS = 2_000;
    private static final int MEAN_OUTPUT_TOKENS = 50;
    private static final int MAX_RETURNS = 2;

    private final VirtualClock clock = new VirtualClock();
    private final Random random;
    private final List<EmulatedEngine> engines = new ArrayList<>();
    private final List<GatewayState> gateways = new ArrayList<>();
    private final List<Snapshot> snapshots = new ArrayList<>();
    private final List<Sample> samples = new ArrayList<>();
    private final EngineModels models = new EngineModels();
    private final ServiceSpec service;
    private final Config config;
    private final LatencyTargets targets;
    private int requests;

    /**
     * Properties of a run.
     *
     * @param requestsPerSecond the usual requests per second by customer
     * @param hot the index of the customer with an increased rate
     * @param factor the increase of that rate
     * @param increaseMillis when the rate increases, in milliseconds
     * @param routes the routes, which receive equal shares of the requests
     * @param fair whether capacity is divided fairly
     * @param cutOff the number of gateways that receive no reports from the others
     * @param seed the seed
     */
    record Config(
            List<Double> requestsPerSecond,
            int hot,
            double factor,
            double increaseMillis,
            List<Route> routes,
            boolean fair,
            int cutOff,
            long seed) {}

    /**
     * Outcome of one request.
     *
     * @param customer the index of the customer
     * @param route the route
     * @param startedMillis when it arrived for the first time, in milliseconds
     * @param promptTokens the length of the prompt
     * @param work the tokens of the prompt that are not shared and of the output
     * @param actualMillis the time from its first arrival to its first event, in milliseconds; infinite if refused
     * @param firstEventMillis when the first event was received, in milliseconds; infinite if refused
     */
    record Sample(
            int customer,
            Route route,
            double startedMillis,
            int promptTokens,
            int work,
            double actualMillis,
            double firstEventMillis) {}

    private record Request(
            int customer, Route route, PromptPrefix prefix, int ownTokens, int outputTokens, double startedMillis) {
        private Placement.Demand demand() {
            return new Placement.Demand(prefix, DOCUMENT_TOKENS + ownTokens, outputTokens);
        }

        private WorkLedger.Key key() {
            return WorkLedger.Key.of("c" + customer, 0, route.priority());
        }

        private int work() {
            return ownTokens + outputTokens;
        }
    }

    /** The reports of all gateways at one time. */
    private record Snapshot(List<List<Work>> loads, List<List<WorkLedger.Totals>> ledgers) {}

    private final class GatewayState {
        private final int group;
        private final Admission admission = new Admission();
        private final FairAdmission fairAdmission = new FairAdmission(random::nextDouble);
        private final Placement placement = new Placement(new ZoneTopology("a", Map.of("a", "one")), models);
        private final List<Upstream> upstreams = new ArrayList<>();

        private GatewayState(int group) {
            this.group = group;
        }
    }

    FairnessEmulation(Config config) {
        this.config = config;
        this.targets = new RouteTable(config.routes()).latencyTargets();
        this.random = new Random(config.seed());
        EngineProfile profile = EngineProfile.ofSpeed(100, SLOTS);
        service = new ServiceSpec(
                SERVICE, 1_000, Optional.of(new EngineSpec(profile.slots(), profile.memoryTokens())), Optional.empty());
        for (int i = 0; i < ENGINES; i++) {
            engines.add(new EmulatedEngine(profile, clock));
        }
        for (int i = 0; i < GATEWAYS; i++) {
            GatewayState gateway = new GatewayState(i < config.cutOff() ? 1 : 0);
            for (int engine = 0; engine < ENGINES; engine++) {
                gateway.upstreams.add(new Upstream(
                        new UpstreamEntry("i-" + engine, SERVICE, "10.0.0.1", 80, "a", SLOTS, false, false, 1)));
            }
            gateways.add(gateway);
        }
    }

    List<Sample> run(double durationMillis) {
        for (int customer = 0; customer < config.requestsPerSecond().size(); customer++) {
            int index = customer;
            clock.schedule(0, () -> submitNext(index));
        }
        clock.schedule(0, this::takeSnapshot);
        for (GatewayState gateway : gateways) {
            clock.schedule(REPORT_INTERVAL_MILLIS * random.nextDouble(), () -> applyReports(gateway));
        }
        clock.runUntil(durationMillis);
        return samples;
    }

    private void submitNext(int customer) {
        double perSecond = config.requestsPerSecond().get(customer);
        if (customer == config.hot() && clock.nowMillis() > config.increaseMillis()) {
            perSecond *= config.factor();
        }
        clock.schedule(1_000 / perSecond * exponential(), () -> submitNext(customer));
        requests++;
        int ownTokens = (int) (MEAN_OWN_TOKENS * exponential()) + 1;
        int outputTokens = (int) (MEAN_OUTPUT_TOKENS * exponential()) + 1;
        PromptPrefix prefix = new PromptPrefix(List.of(
                new PromptPrefix.Part("d" + random.nextInt(DOCUMENTS), DOCUMENT_TOKENS),
                new PromptPrefix.Part("r" + requests, ownTokens)));
        Route route = config.routes().get(random.nextInt(config.routes().size()));
        submit(new Request(customer, route, prefix, ownTokens, outputTokens, clock.nowMillis()), MAX_RETURNS);
    }

    private void submit(Request request, int returns) {
        GatewayState gateway = gateways.get(random.nextInt(GATEWAYS));
        long now = (long) clock.nowMillis();
        Placement.Choice choice = gateway.placement
                .choose(service, gateway.upstreams, Set.of(), request.demand(), false, now)
                .orElseThrow();
        long remainingMillis =
                request.route().timeoutMillis() - Math.round(clock.nowMillis() - request.startedMillis());
        Admission.Candidate candidate = new Admission.Candidate(
                request.route(), targets.shortest(SERVICE, request.route().priority()), remainingMillis);
        boolean admitted = gateway.admission.admits(candidate, choice);
        if (config.fair()) {
            long work = choice.unreadTokens() + request.outputTokens();
            gateway.fairAdmission.ledger(SERVICE).recordDemand(request.key(), work, now);
            admitted = admitted && gateway.fairAdmission.admits(SERVICE, request.key(), now);
        }
        if (admitted) {
            send(gateway, request, choice);
        } else if (returns > 0) {
            double processingMillis = models.of(SERVICE).estimate(now).processingMillis((double) choice.unreadTokens())
                    * GATEWAYS
                    / ENGINES;
            long delayMillis = gateway.admission.retryAfterMillis(candidate, choice, processingMillis, now);
            clock.schedule((double) delayMillis, () -> submit(request, returns - 1));
        } else {
            record(request, Double.POSITIVE_INFINITY);
        }
    }

    private void record(Request request, double firstEventMillis) {
        samples.add(new Sample(
                request.customer(),
                request.route(),
                request.startedMillis(),
                DOCUMENT_TOKENS + request.ownTokens(),
                request.work(),
                firstEventMillis - request.startedMillis(),
                firstEventMillis));
    }

    private void send(GatewayState gateway, Request request, Placement.Choice choice) {
        Placement.Demand demand = request.demand();
        gateway.placement.recordSent(demand, choice.upstream());
        EngineModel model = models.of(SERVICE);
        long memoryTokens = demand.promptTokens() + (long) demand.maxOutputTokens();
        model.recordPrompt(choice.unreadTokens(), memoryTokens);
        choice.upstream().load().recordStart(choice.unreadTokens(), memoryTokens);
        double sentMillis = clock.nowMillis();
        double[] firstEventMillis = new double[1];
        EmulatedEngine engine = engines.get(gateway.upstreams.indexOf(choice.upstream()));
        clock.schedule(
                NETWORK_MILLIS,
                () -> engine.submit(
                        demand.prefix(),
                        demand.maxOutputTokens(),
                        () -> {
                            firstEventMillis[0] = clock.nowMillis();
                            choice.upstream().load().recordFirstEvent(choice.unreadTokens());
                            if (!choice.waitsForCapacity()) {
                                SpeedRecorder.recordFirstEvent(
                                        model, choice, Math.round(clock.nowMillis() - sentMillis), (long)
                                                clock.nowMillis());
                            }
                            recordShare(gateway, request, choice, clock.nowMillis() - sentMillis);
                            record(request, clock.nowMillis());
                        },
                        () -> {
                            choice.upstream().load().recordEnd(true, choice.unreadTokens(), memoryTokens);
                            model.recordStream(Math.round(clock.nowMillis() - firstEventMillis[0]));
                        }));
    }

    private void recordShare(GatewayState gateway, Request request, Placement.Choice choice, double elapsedMillis) {
        gateway.fairAdmission.recordFirstEvent(
                SERVICE,
                request.key(),
                choice.unreadTokens() + request.outputTokens(),
                (elapsedMillis - choice.processingMillis()) / request.route().targetLatencyMillis(),
                (long) clock.nowMillis());
    }

    private void takeSnapshot() {
        clock.schedule(SNAPSHOT_MILLIS, this::takeSnapshot);
        List<List<Work>> loads = new ArrayList<>();
        List<List<WorkLedger.Totals>> ledgers = new ArrayList<>();
        for (GatewayState gateway : gateways) {
            loads.add(gateway.upstreams.stream()
                    .map(upstream -> upstream.load().local())
                    .toList());
            ledgers.add(gateway.fairAdmission.ledger(SERVICE).localTotals((long) clock.nowMillis()));
        }
        snapshots.add(new Snapshot(loads, ledgers));
        if (snapshots.size() > MAX_DELAY_SNAPSHOTS + 1) {
            snapshots.remove(0);
        }
    }

    /** Applies reports that are between 250 and 450 ms old and stay the latest for 250 ms. */
    private void applyReports(GatewayState receiver) {
        clock.schedule(REPORT_INTERVAL_MILLIS, () -> applyReports(receiver));
        int age = MIN_DELAY_SNAPSHOTS + random.nextInt(MAX_DELAY_SNAPSHOTS - MIN_DELAY_SNAPSHOTS);
        if (snapshots.size() <= age) {
            return;
        }
        Snapshot snapshot = snapshots.get(snapshots.size() - 1 - age);
        long now = (long) clock.nowMillis();
        int[] inFlight = new int[ENGINES];
        int[] generating = new int[ENGINES];
        long[] unread = new long[ENGINES];
        long[] memory = new long[ENGINES];
        for (int sender = 0; sender < GATEWAYS; sender++) {
            GatewayState peer = gateways.get(sender);
            if (peer == receiver || peer.group != receiver.group) {
                continue;
            }
            for (int engine = 0; engine < ENGINES; engine++) {
                Work work = snapshot.loads().get(sender).get(engine);
                inFlight[engine] += work.inFlight();
                generating[engine] += work.generating();
                unread[engine] += work.unreadTokens();
                memory[engine] += work.memoryTokens();
            }
            String name = "g" + sender;
            snapshot.ledgers()
                    .get(sender)
                    .forEach(totals -> receiver.fairAdmission.ledger(SERVICE).updatePeer(name, totals, now));
        }
        for (int engine = 0; engine < ENGINES; engine++) {
            receiver.upstreams
                    .get(engine)
                    .load()
                    .updatePeer(
                            "peers",
                            new Work(inFlight[engine], generating[engine], unread[engine], memory[engine]),
                            now);
        }
    }

    private double exponential() {
        return -Math.log(1 - random.nextDouble());
    }
}
