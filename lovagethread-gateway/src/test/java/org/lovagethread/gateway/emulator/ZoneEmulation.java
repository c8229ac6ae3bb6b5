package org.lovagethread.gateway.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToDoubleBiFunction;
import org.lovagethread.gateway.CrossZoneSettings;
import org.lovagethread.gateway.config.Route;
import org.lovagethread.gateway.config.RouteKind;
import org.lovagethread.gateway.config.ServiceSpec;
import org.lovagethread.gateway.config.ServiceSpec.EngineSpec;
import org.lovagethread.gateway.engine.EngineModel;
import org.lovagethread.gateway.engine.EngineModels;
import org.lovagethread.gateway.engine.EngineStatistics;
import org.lovagethread.gateway.policy.Admission;
import org.lovagethread.gateway.policy.CrossZoneRouting;
import org.lovagethread.gateway.policy.Placement;
import org.lovagethread.gateway.policy.PromptPrefix;
import org.lovagethread.gateway.policy.SpeedRecorder;
import org.lovagethread.gateway.policy.ZoneTopology;
import org.lovagethread.gateway.policy.ZoneTopology.Distance;
import org.lovagethread.gateway.upstream.Upstream;
import org.lovagethread.gateway.upstream.UpstreamEntry;

/**
 * Plays a random load in three zones of two regions against emulated engines in virtual time. The gateways place the
 * requests with the production code and exchange their load with the delays of cells. The link between the regions has a
 * limited capacity. Refused callers come back once.
 */
final class ZoneEmulation {
    static final List<String> ZONES = List.of("a", "b", "c");
    static final long TARGET_MILLIS = 1_000;
    private static final Map<String, String> REGIONS = Map.of("a", "one", "b", "one", "c", "two");
    private static final String SERVICE = "pool";
    private static final int GATEWAYS_PER_ZONE = 4;
    private static final int ENGINES_PER_ZONE = 4;
    private static final EngineProfile PROFILE = EngineProfile.ofSpeed(60, 64);
    private static final int MEAN_PROMPT_TOKENS = 3_000;
    private static final int MEAN_OUTPUT_TOKENS = 24;
    private static final int BYTES_PER_PROMPT_TOKEN = 4;
    private static final int BYTES_PER_OUTPUT_TOKEN = 120;
    private static final double LINK_BITS_PER_MILLI = 50_000;
    private static final double LOAD_INTERVAL_MILLIS = 250;
    private static final double RELAY_MILLIS = 400;
    private static final double STATISTICS_INTERVAL_MILLIS = 1_000;
    private static final long TIMEOUT_MILLIS = 15_000;
    private static final Route ROUTE = Route.builder("r")
            .match("h", "/")
            .kind(RouteKind.EVENT_STREAM, true, 2)
            .times(TIMEOUT_MILLIS, TARGET_MILLIS, 400)
            .services(List.of(new Route.WeightedService(SERVICE, 1)))
            .build();

    final List<Sample> samples = new ArrayList<>();
    final List<ShareSample> shares = new ArrayList<>();
    final Map<Distance, Long> bytes = new TreeMap<>();
    private final VirtualClock clock = new VirtualClock();
    private final Random random;
    private final boolean controlled;
    private final ToDoubleBiFunction<String, Double> utilization;
    private final List<EmulatedEngine> engines = new ArrayList<>();
    private final List<EmulatedGateway> gateways = new ArrayList<>();
    private final Map<String, Double> linkFreeMillis = new HashMap<>();
    private final ServiceSpec service = new ServiceSpec(
            SERVICE, 1_000, Optional.of(new EngineSpec(PROFILE.slots(), PROFILE.memoryTokens())), Optional.empty());
    private boolean silent;
    private String lostZone = "";
    private int requests;

    /**
     * Outcome of one request.
     *
     * @param zone the zone of the caller
     * @param upstreamZone the zone of the upstream
     * @param startedMillis when it arrived for the first time, in milliseconds
     * @param actualMillis the time from its first arrival to its first event, in milliseconds; infinite if refused twice
     */
    record Sample(String zone, String upstreamZone, double startedMillis, double actualMillis) {}

    /** Shares of one gateway at a time. */
    record ShareSample(double atMillis, String zone, String destination, double share) {}

    private record Request(String zone, PromptPrefix prefix, int promptTokens, int outputTokens, double startedMillis) {
        private Placement.Demand demand() {
            return new Placement.Demand(prefix, promptTokens, outputTokens);
        }

        private long requestBytes() {
            return (long) BYTES_PER_PROMPT_TOKEN * promptTokens;
        }

        private long responseBytes() {
            return (long) BYTES_PER_OUTPUT_TOKEN * outputTokens;
        }
    }

    /** The decisions of one gateway. */
    private final class EmulatedGateway {
        private final String name;
        private final String zone;
        private final EngineModels models = new EngineModels();
        private final Admission admission = new Admission();
        private final CrossZoneRouting routing;
        private final Placement placement;
        private final List<Upstream> upstreams = new ArrayList<>();

        private EmulatedGateway(String zone, int index) {
            this.name = zone + index;
            this.zone = zone;
            ZoneTopology topology = new ZoneTopology(zone, REGIONS);
            CrossZoneSettings settings = new CrossZoneSettings(controlled, 1_000 * LINK_BITS_PER_MILLI);
            this.routing = new CrossZoneRouting(topology, settings, name.hashCode());
            this.placement = new Placement(topology, models, routing);
            for (int i = 0; i < engines.size(); i++) {
                String engineZone = ZONES.get(i / ENGINES_PER_ZONE);
                upstreams.add(new Upstream(new UpstreamEntry(
                        "i-" + i, SERVICE, "10.0.0.1", 80, engineZone, PROFILE.slots(), false, false, 1)));
            }
        }

        private List<Upstream> candidates() {
            return upstreams.stream()
                    .filter(upstream -> !upstream.entry().zone().equals(lostZone))
                    .toList();
        }
    }

    /**
     * Creates an emulation.
     *
     * @param controlled whether the shares that leave the zones are controlled
     * @param seed the seed of the load
     * @param utilization the demand of a zone relative to the capacity of its engines, by the zone and the time
     */
    ZoneEmulation(boolean controlled, long seed, ToDoubleBiFunction<String, Double> utilization) {
        this.controlled = controlled;
        this.random = new Random(seed);
        this.utilization = utilization;
        for (int i = 0; i < ZONES.size() * ENGINES_PER_ZONE; i++) {
            engines.add(new EmulatedEngine(PROFILE, clock));
        }
        for (String zone : ZONES) {
            for (int i = 0; i < GATEWAYS_PER_ZONE; i++) {
                gateways.add(new EmulatedGateway(zone, i));
            }
            clock.schedule(0, () -> submitRequest(zone));
        }
        clock.schedule(LOAD_INTERVAL_MILLIS, this::exchangeLoad);
        clock.schedule(STATISTICS_INTERVAL_MILLIS, this::exchangeStatistics);
    }

    VirtualClock clock() {
        return clock;
    }

    ZoneEmulation run(double endMillis) {
        clock.runUntil(endMillis);
        return this;
    }

    /** Removes the engines of a zone from the lists of all gateways. Their requests end as they are. */
    void loseEngines(String zone) {
        lostZone = zone;
    }

    /** Stops all messages between the gateways of different zones. */
    void silenceZones() {
        silent = true;
    }

    private void submitRequest(String zone) {
        double perMilli = utilization.applyAsDouble(zone, clock.nowMillis())
                * ENGINES_PER_ZONE
                * PROFILE.tokensPerMilli()
                / MEAN_PROMPT_TOKENS;
        clock.schedule(exponential() / perMilli, () -> submitRequest(zone));
        requests++;
        int promptTokens = (int) (MEAN_PROMPT_TOKENS * exponential()) + 1;
        int outputTokens = (int) (MEAN_OUTPUT_TOKENS * exponential()) + 1;
        PromptPrefix prefix = new PromptPrefix(List.of(new PromptPrefix.Part("r" + requests, promptTokens)));
        submit(new Request(zone, prefix, promptTokens, outputTokens, clock.nowMillis()), true);
    }

    private void submit(Request request, boolean mayReturn) {
        EmulatedGateway gateway =
                gateways.get(ZONES.indexOf(request.zone()) * GATEWAYS_PER_ZONE + random.nextInt(GATEWAYS_PER_ZONE));
        long now = (long) clock.nowMillis();
        Placement.Choice choice = gateway.placement
                .choose(service, gateway.candidates(), Set.of(), request.demand(), false, now)
                .orElseThrow();
        long remainingMillis = TIMEOUT_MILLIS - Math.round(clock.nowMillis() - request.startedMillis());
        Admission.Candidate candidate = new Admission.Candidate(ROUTE, OptionalLong.of(TARGET_MILLIS), remainingMillis);
        if (gateway.admission.admits(candidate, choice)) {
            send(gateway, request, choice);
        } else if (mayReturn) {
            double processingMillis =
                    gateway.models.of(SERVICE).estimate(now).processingMillis((double) choice.unreadTokens())
                            * gateways.size()
                            / engines.size();
            long delayMillis = gateway.admission.retryAfterMillis(candidate, choice, processingMillis, now);
            clock.schedule((double) delayMillis, () -> submit(request, false));
        } else {
            samples.add(new Sample(request.zone(), "", request.startedMillis(), Double.POSITIVE_INFINITY));
        }
    }

    private void send(EmulatedGateway gateway, Request request, Placement.Choice choice) {
        Upstream upstream = choice.upstream();
        String target = upstream.entry().zone();
        long now = (long) clock.nowMillis();
        EngineModel model = gateway.models.of(SERVICE);
        long memoryTokens = request.promptTokens() + (long) request.outputTokens();
        model.recordPrompt(choice.unreadTokens(), memoryTokens);
        upstream.load().recordStart(choice.unreadTokens(), memoryTokens);
        gateway.routing.traffic().recordSent(SERVICE, target, memoryTokens, request.requestBytes(), now);
        count(request.zone(), target, request.requestBytes() + request.responseBytes());
        double sentMillis = clock.nowMillis();
        double[] firstEventMillis = new double[1];
        EmulatedEngine engine = engines.get(gateway.upstreams.indexOf(upstream));
        Runnable onFirstEvent = () -> {
            firstEventMillis[0] = clock.nowMillis();
            upstream.load().recordFirstEvent(choice.unreadTokens());
            SpeedRecorder.recordFirstEvent(
                    model, choice, Math.round(clock.nowMillis() - sentMillis), (long) clock.nowMillis());
            samples.add(new Sample(
                    request.zone(), target, request.startedMillis(), clock.nowMillis() - request.startedMillis()));
        };
        Runnable onEnd = () -> {
            upstream.load().recordEnd(true, choice.unreadTokens(), memoryTokens);
            model.recordStream(Math.round(clock.nowMillis() - firstEventMillis[0]));
            gateway.routing.traffic().recordReceived(SERVICE, target, request.responseBytes(), (long)
                    clock.nowMillis());
        };
        clock.schedule(
                transferMillis(request.zone(), target, request.requestBytes()),
                () -> engine.submit(
                        request.prefix(),
                        request.outputTokens(),
                        () -> clock.schedule(
                                transferMillis(target, request.zone(), BYTES_PER_OUTPUT_TOKEN), onFirstEvent),
                        () -> clock.schedule(
                                transferMillis(target, request.zone(), request.responseBytes()) + 1, onEnd)));
    }

    private void count(String zone, String target, long count) {
        bytes.merge(new ZoneTopology(zone, REGIONS).distance(target), count, Long::sum);
    }

    /** Returns the time of a transfer, which uses the link between the regions one after the other. */
    private double transferMillis(String from, String to, long size) {
        return switch (new ZoneTopology(from, REGIONS).distance(to)) {
            case SAME_ZONE -> 0.25;
            case SAME_REGION -> 1;
            case OTHER_REGION -> {
                String direction = REGIONS.get(from);
                double startMillis = Math.max(clock.nowMillis(), linkFreeMillis.getOrDefault(direction, 0.0));
                double endMillis = startMillis + 8.0 * size / LINK_BITS_PER_MILLI;
                linkFreeMillis.put(direction, endMillis);
                yield 12 + endMillis - clock.nowMillis();
            }
        };
    }

    private void exchangeLoad() {
        clock.schedule(LOAD_INTERVAL_MILLIS, this::exchangeLoad);
        for (EmulatedGateway sender : gateways) {
            for (String destination : ZONES) {
                shares.add(new ShareSample(
                        clock.nowMillis(), sender.zone, destination, sender.routing.share(SERVICE, destination)));
            }
            for (EmulatedGateway receiver : gateways) {
                if (sender == receiver || (silent && !sender.zone.equals(receiver.zone))) {
                    continue;
                }
                double delayMillis = sender.zone.equals(receiver.zone) ? 1 : RELAY_MILLIS;
                for (int i = 0; i < engines.size(); i++) {
                    var work = sender.upstreams.get(i).load().local();
                    var load = receiver.upstreams.get(i).load();
                    clock.schedule(delayMillis, () -> load.updatePeer(sender.name, work, (long) clock.nowMillis()));
                }
                clock.schedule(delayMillis, () -> receiver.routing.traffic().recordHeard(sender.zone, (long)
                        clock.nowMillis()));
            }
        }
    }

    private void exchangeStatistics() {
        clock.schedule(STATISTICS_INTERVAL_MILLIS, this::exchangeStatistics);
        for (EmulatedGateway sender : gateways) {
            List<Float> values = sender.models.of(SERVICE).local().values();
            var report = sender.routing.traffic().report();
            for (EmulatedGateway receiver : gateways) {
                if (sender != receiver && !(silent && !sender.zone.equals(receiver.zone))) {
                    clock.schedule(RELAY_MILLIS, () -> {
                        long now = (long) clock.nowMillis();
                        receiver.models
                                .of(SERVICE)
                                .updatePeer(
                                        sender.name, EngineStatistics.of(values).orElseThrow(), now);
                        receiver.routing.traffic().update(sender.name, sender.zone, report, now);
                    });
                }
            }
        }
    }

    private double exponential() {
        return -Math.log(1 - random.nextDouble());
    }
}
