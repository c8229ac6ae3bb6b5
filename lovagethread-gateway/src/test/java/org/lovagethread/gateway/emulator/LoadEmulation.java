package org.lovagethread.gateway.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.DoubleUnaryOperator;
import java.util.function.IntFunction;
import org.lovagethread.gateway.config.LatencyTargets;
import org.lovagethread.gateway.config.Route;
import org.lovagethread.gateway.config.RouteTable;
import org.lovagethread.gateway.config.ServiceSpec;
import org.lovagethread.gateway.config.ServiceSpec.EngineSpec;
import org.lovagethread.gateway.engine.EngineModel;
import org.lovagethread.gateway.engine.EngineModels;
import org.lovagethread.gateway.engine.EngineStatistics;
import org.lovagethread.gateway.policy.Admission;
import org.lovagethread.gateway.policy.Placement;
import org.lovagethread.gateway.policy.PromptPrefix;
import org.lovagethread.gateway.policy.SpeedRecorder;
import org.lovagethread.gateway.policy.ZoneTopology;
import org.lovagethread.gateway.upstream.SpeedSums;
import org.lovagethread.gateway.upstream.StallDetector;
import org.lovagethread.gateway.upstream.Upstream;
import org.lovagethread.gateway.upstream.UpstreamEntry;
import org.lovagethread.gateway.upstream.UpstreamSpeed;

/**
 * Plays a random load against emulated engines in virtual time. Several gateways admit and place the requests with the
 * production code and exchange their load and their statistics as peers do. Refused callers come back once.
 */
final class LoadEmulation {
    static final String SERVICE = "pool";
    private static final int GATEWAYS = 4;
    private static final long SEED = 11;
    private static final double NETWORK_MILLIS = 1;
    private static final double LOAD_INTERVAL_MILLIS = 140;
    private static final double STATISTICS_INTERVAL_MILLIS = 900;
    private static final int DOCUMENTS = 40;
    private static final int DOCUMENT_TOKENS = 5_000;
    private static final int MEAN_OWN_TOKENS = 3_000;
    private static final int MEAN_OUTPUT_TOKENS = 24;

    private final VirtualClock clock = new VirtualClock();
    private final Random random;
    private final List<EmulatedEngine> engines = new ArrayList<>();
    private final List<GatewayState> gateways = new ArrayList<>();
    private final List<Sample> samples = new ArrayList<>();
    private final ServiceSpec service;
    private final List<Route> routes;
    private final LatencyTargets targets;
    private final DoubleUnaryOperator utilization;
    private final double tokensPerMilli;
    private int requests;

    /**
     * Outcome of one request.
     *
     * @param route the route of the request
     * @param startedMillis when it arrived for the first time, in milliseconds
     * @param ownTokens the prompt tokens that it does not share
     * @param predictedMillis the predicted time to its first event, in milliseconds
     * @param actualMillis the time from its first arrival to its first event, in milliseconds; infinite if it was
     *     refused twice
     */
    record Sample(Route route, double startedMillis, int ownTokens, double predictedMillis, double actualMillis) {}

    /** A request of a caller. */
    private record Request(Route route, PromptPrefix prefix, int ownTokens, int outputTokens, double startedMillis) {
        private Placement.Demand demand() {
            return new Placement.Demand(prefix, DOCUMENT_TOKENS + ownTokens, outputTokens);
        }
    }

    /** The decisions of one gateway. */
    private static final class GatewayState {
        private final EngineModels models = new EngineModels();
        private final Admission admission = new Admission();
        private final Placement placement = new Placement(new ZoneTopology("a", Map.of("a", "one")), models);
        private final List<Upstream> upstreams = new ArrayList<>();
    }

    /**
     * Creates an emulation.
     *
     * @param profiles the engines
     * @param routes the routes, which receive equal shares of the requests
     * @param utilization the processing time of the prompts that arrive, without shared parts, as a share of the
     *     engines' time, by the time in milliseconds
     */
    LoadEmulation(List<EngineProfile> profiles, List<Route> routes, DoubleUnaryOperator utilization) {
        this(profiles, routes, utilization, engine -> millis -> 1, SEED);
    }

    /**
     * Creates an emulation of engines whose speeds change over time.
     *
     * @param profiles the engines
     * @param routes the routes, which receive equal shares of the requests
     * @param utilization the processing time of the prompts that arrive, as for the other constructor
     * @param slowdowns the factor by which an engine is slower than its profile, by the index of the engine and the time
     * @param seed the seed of the random numbers
     */
    LoadEmulation(
            List<EngineProfile> profiles,
            List<Route> routes,
            DoubleUnaryOperator utilization,
            IntFunction<DoubleUnaryOperator> slowdowns,
            long seed) {
        this.random = new Random(seed);
        this.routes = List.copyOf(routes);
        this.targets = new RouteTable(routes).latencyTargets();
        this.utilization = utilization;
        EngineProfile first = profiles.get(0);
        service = new ServiceSpec(
                SERVICE, 1_000, Optional.of(new EngineSpec(first.slots(), first.memoryTokens())), Optional.empty());
        tokensPerMilli =
                profiles.stream().mapToDouble(EngineProfile::tokensPerMilli).sum();
        for (int engine = 0; engine < profiles.size(); engine++) {
            engines.add(new EmulatedEngine(profiles.get(engine), clock, slowdowns.apply(engine)));
        }
        for (int i = 0; i < GATEWAYS; i++) {
            GatewayState gateway = new GatewayState();
            for (int engine = 0; engine < profiles.size(); engine++) {
                gateway.upstreams.add(new Upstream(new UpstreamEntry(
                        "i-" + engine, SERVICE, "10.0.0.1", 80, "a", first.slots(), false, false, 1)));
            }
            gateways.add(gateway);
        }
    }

    List<Sample> run(double durationMillis) {
        clock.schedule(0, this::submitRequest);
        clock.schedule(LOAD_INTERVAL_MILLIS, this::exchangeLoad);
        clock.schedule(STATISTICS_INTERVAL_MILLIS, this::exchangeStatistics);
        clock.runUntil(durationMillis);
        return samples;
    }

    private void submitRequest() {
        double meanInterarrivalMillis =
                MEAN_OWN_TOKENS / (utilization.applyAsDouble(clock.nowMillis()) * tokensPerMilli);
        clock.schedule(meanInterarrivalMillis * exponential(), this::submitRequest);
        requests++;
        int ownTokens = (int) (MEAN_OWN_TOKENS * exponential()) + 1;
        int outputTokens = (int) (MEAN_OUTPUT_TOKENS * exponential()) + 1;
        PromptPrefix prefix = new PromptPrefix(List.of(
                new PromptPrefix.Part("d" + random.nextInt(DOCUMENTS), DOCUMENT_TOKENS),
                new PromptPrefix.Part("r" + requests, ownTokens)));
        Route route = routes.get(random.nextInt(routes.size()));
        submit(new Request(route, prefix, ownTokens, outputTokens, clock.nowMillis()), true);
    }

    private void submit(Request request, boolean mayReturn) {
        GatewayState gateway = gateways.get(random.nextInt(GATEWAYS));
        Placement.Choice choice = gateway.placement
                .choose(service, gateway.upstreams, Set.of(), request.demand(), false, (long) clock.nowMillis())
                .orElseThrow();
        long remainingMillis =
                request.route().timeoutMillis() - Math.round(clock.nowMillis() - request.startedMillis());
        Admission.Candidate candidate = new Admission.Candidate(
                request.route(), targets.shortest(SERVICE, request.route().priority()), remainingMillis);
        if (gateway.admission.admits(candidate, choice)) {
            send(gateway, request, choice);
        } else if (mayReturn) {
            double processingMillis = gateway.models
                            .of(SERVICE)
                            .estimate((long) clock.nowMillis())
                            .processingMillis((double) choice.unreadTokens())
                    * GATEWAYS
                    / UpstreamSpeed.sum(gateway.upstreams, (long) clock.nowMillis());
            long delayMillis =
                    gateway.admission.retryAfterMillis(candidate, choice, processingMillis, (long) clock.nowMillis());
            clock.schedule((double) delayMillis, () -> submit(request, false));
        } else {
            record(request, choice, Double.POSITIVE_INFINITY);
        }
    }

    private void record(Request request, Placement.Choice choice, double actualMillis) {
        samples.add(new Sample(
                request.route(),
                request.startedMillis(),
                request.ownTokens(),
                choice.predictedLatencyMillis(),
                actualMillis));
    }

    private void send(GatewayState gateway, Request request, Placement.Choice choice) {
        Placement.Demand demand = request.demand();
        gateway.placement.recordSent(demand, choice.upstream());
        EngineModel model = gateway.models.of(SERVICE);
        long memoryTokens = demand.promptTokens() + (long) demand.maxOutputTokens();
        model.recordPrompt(choice.unreadTokens(), memoryTokens);
        choice.upstream().load().recordStart(choice.unreadTokens(), memoryTokens);
        double sentMillis = clock.nowMillis();
        StallDetector.Expectation expectation =
                choice.upstream().stall().start(choice.predictedLatencyMillis(), (long) sentMillis);
        double[] firstEventMillis = new double[1];
        EmulatedEngine engine = engines.get(gateway.upstreams.indexOf(choice.upstream()));
        clock.schedule(
                NETWORK_MILLIS,
                () -> engine.submit(
                        demand.prefix(),
                        demand.maxOutputTokens(),
                        () -> {
                            firstEventMillis[0] = clock.nowMillis();
                            double actualMillis = clock.nowMillis() - sentMillis;
                            choice.upstream().load().recordFirstEvent(choice.unreadTokens());
                            choice.upstream().stall().end(expectation);
                            if (!choice.waitsForCapacity()) {
                                SpeedRecorder.recordFirstEvent(
                                        model, choice, Math.round(actualMillis), (long) clock.nowMillis());
                            }
                            record(request, choice, clock.nowMillis() - request.startedMillis());
                        },
                        () -> {
                            choice.upstream().load().recordEnd(true, choice.unreadTokens(), memoryTokens);
                            SpeedRecorder.recordStream(
                                    model,
                                    choice.upstream(),
                                    Math.round(clock.nowMillis() - firstEventMillis[0]),
                                    (long) clock.nowMillis());
                        }));
    }

    private void exchangeLoad() {
        clock.schedule(LOAD_INTERVAL_MILLIS, this::exchangeLoad);
        for (GatewayState sender : gateways) {
            for (GatewayState receiver : gateways) {
                for (int i = 0; sender != receiver && i < engines.size(); i++) {
                    receiver.upstreams
                            .get(i)
                            .load()
                            .updatePeer(
                                    "g" + gateways.indexOf(sender),
                                    sender.upstreams.get(i).load().local(),
                                    (long) clock.nowMillis());
                }
            }
        }
    }

    private void exchangeStatistics() {
        clock.schedule(STATISTICS_INTERVAL_MILLIS, this::exchangeStatistics);
        for (GatewayState sender : gateways) {
            List<Float> values = sender.models.of(SERVICE).local().values();
            for (GatewayState receiver : gateways) {
                for (int i = 0; sender != receiver && i < engines.size(); i++) {
                    SpeedSums sums = sender.upstreams.get(i).speed().local();
                    Optional<SpeedSums> copy = SpeedSums.of(sums.samples(), sums.logSum(), sums.deviationSum());
                    Upstream reported = receiver.upstreams.get(i);
                    copy.ifPresent(received -> reported.speed()
                            .updatePeer("g" + gateways.indexOf(sender), received, (long) clock.nowMillis()));
                }
                if (sender != receiver) {
                    receiver.models
                            .of(SERVICE)
                            .updatePeer(
                                    "g" + gateways.indexOf(sender),
                                    EngineStatistics.of(values).orElseThrow(),
                                    (long) clock.nowMillis());
                }
            }
        }
    }

    private double exponential() {
        return -Math.log(1 - random.nextDouble());
    }
}
