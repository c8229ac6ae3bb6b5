package org.lovagethread.gateway.policy;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.lovagethread.core.upstream.PrefixCacheIndex;
import org.lovagethread.gateway.CrossZoneSettings;
import org.lovagethread.gateway.config.ServiceSpec;
import org.lovagethread.gateway.config.ServiceSpec.EngineSpec;
import org.lovagethread.gateway.engine.EngineEstimate;
import org.lovagethread.gateway.engine.EngineModels;
import org.lovagethread.gateway.upstream.Upstream;
import org.lovagethread.gateway.upstream.UpstreamLoad;

/**
 * Selects the upstream for a request.
 *
 * <p>For model engines, the time to the first event is predicted by the learned model of the service's engines, from the
 * prompts queued at the engine, the part of the prompt that the engine has probably cached, and the slots and memory in
 * use. Each shared prompt has one preferred engine per region, or one in all regions if processing it again costs more
 * than crossing regions. It is chosen by rendezvous hashing weighted by speed, so all gateways agree on it without
 * communication. For plain services, the wait is predicted from the requests in flight per slot. Predicted times are
 * divided by the lasting speed of the upstream and multiplied by its current slowness. In both cases a network cost is added for
 * upstreams in another availability zone or region.
 *
 * <p>This handles bursts of long prompts, which queue behind each other although slots are free.
 */
public final class Placement {
    /** Assumed cost of calling an upstream in another region when preferred engines are chosen, in milliseconds. */
    private static final double CROSS_REGION_COST_MILLIS = 60;

    /** Assumed share of a shared prompt that its preferred engine has cached if it was not sent there before. */
    private static final double PREFERRED_CACHED_SHARE = 0.8;

    /** Weight of the extra time for processing a shared part again, which also delays other requests. */
    private static final double REPROCESSING_WEIGHT = 1.5;

    /** Number of requests of one region that share a prompt while an engine has it cached, as a cautious estimate. */
    private static final double REQUESTS_PER_CACHED_PROMPT = 4;

    /** Deviation from the predicted time, relative to the median engine, from which an engine is considered slow. */
    private static final double SLOW_DEVIATION = 1.5;

    /** Share of the memory above which an engine may preempt requests. */
    private static final double PREEMPTION_MEMORY_SHARE = 0.92;

    /** Number of random bits that a double cannot represent. */
    private static final int UNIFORM_SHIFT = 12;

    private static final double UNIFORM_MIN = (double) (Long.MIN_VALUE >> UNIFORM_SHIFT);

    private final PrefixCacheIndex sentPrefixes = new PrefixCacheIndex();
    private final ZoneTopology zones;
    private final EngineModels models;
    private final CrossZoneRouting routing;

    /**
     * Creates a placement with fixed costs of leaving the zone.
     *
     * @param zones the distances between availability zones
     * @param models the performance models of the engines
     */
    public Placement(ZoneTopology zones, EngineModels models) {
        this(zones, models, new CrossZoneRouting(zones, CrossZoneSettings.FIXED_COSTS, 0));
    }

    /**
     * Creates a placement.
     *
     * @param zones the distances between availability zones
     * @param models the performance models of the engines
     * @param routing decides which requests may leave the zone and what that costs
     */
    public Placement(ZoneTopology zones, EngineModels models, CrossZoneRouting routing) {
        this.zones = zones;
        this.models = models;
        this.routing = routing;
    }

    /**
     * Returns what decides which requests may leave the zone.
     *
     * @return the routing between zones
     */
    public CrossZoneRouting routing() {
        return routing;
    }

    /**
     * Resource demand of a request.
     *
     * @param prefix the parts of the prompt
     * @param promptTokens the length of the prompt; zero for plain services
     * @param maxOutputTokens the maximum number of tokens to generate; zero for plain services
     */
    public record Demand(PromptPrefix prefix, int promptTokens, int maxOutputTokens) {
        /** The demand of a request to a plain service. */
        public static final Demand PLAIN = new Demand(PromptPrefix.NONE, 0, 0);
    }

    /**
     * A selected upstream.
     *
     * @param upstream the upstream
     * @param unreadTokens the prompt tokens of the request that it probably has to process
     * @param queuedTokens all prompt tokens that it has to process until the first event of the request
     * @param predictedLatencyMillis the predicted time to the first event or response, in milliseconds
     * @param processingMillis the part of that time in which the request itself is processed, in milliseconds
     * @param waitsForCapacity whether the request probably waits for a slot or for memory
     */
    public record Choice(
            Upstream upstream,
            long unreadTokens,
            long queuedTokens,
            double predictedLatencyMillis,
            double processingMillis,
            boolean waitsForCapacity) {
        /**
         * Returns the choice for a request that is sent only later.
         *
         * @param waitMillis the time until it is sent, in milliseconds
         * @return the choice, in which the request does not wait at the upstream
         */
        public Choice startingAfter(double waitMillis) {
            return new Choice(
                    upstream, unreadTokens, queuedTokens, waitMillis + processingMillis, processingMillis, true);
        }

        /** Returns whether the upstream is that of a plain service and probably has a free slot for the request. */
        boolean isPlainWithFreeSlot() {
            return queuedTokens == 0 && !waitsForCapacity;
        }
    }

    /** Properties of the candidates for one request. */
    private record Context(
            Optional<EngineSpec> engine,
            EngineEstimate estimate,
            Demand demand,
            String preferredId,
            double typicalMillis,
            double medianDeviation,
            long nowMillis) {}

    /**
     * Selects an upstream.
     *
     * <p>Upstreams with recent failures are selected only for a trial or if there is no other candidate.
     *
     * @param service the service
     * @param candidates the upstreams that accept requests
     * @param excluded the identifiers of upstreams to which this request has already been sent
     * @param demand the resource demand of the request
     * @param trialAllowed whether the request may be used as a trial of an upstream with recent failures
     * @param nowMillis the current time in milliseconds
     * @return the selected upstream, or empty if there is no candidate
     */
    public Optional<Choice> choose(
            ServiceSpec service,
            List<Upstream> candidates,
            Set<String> excluded,
            Demand demand,
            boolean trialAllowed,
            long nowMillis) {
        EngineEstimate estimate = models.of(service.name()).estimate(nowMillis);
        Context context = context(service, candidates, estimate, demand, nowMillis);
        CrossZoneRouting.ServiceZones serviceZones = routing.begin(service.name(), candidates, excluded, nowMillis);
        Choice best = null;
        double bestScore = Double.MAX_VALUE;
        Choice trial = null;
        Choice lastResort = null;
        double lastResortScore = Double.MAX_VALUE;
        for (Upstream upstream : candidates) {
            if (excluded.contains(upstream.entry().id())) {
                continue;
            }
            Choice choice = predict(context, upstream);
            double localScore = choice.predictedLatencyMillis() + reprocessingPenaltyMillis(context, choice);
            double score = localScore + networkCostMillis(serviceZones, context, upstream);
            boolean avoided = upstream.failureDetector().shouldAvoid(nowMillis);
            if (!avoided) {
                serviceZones.record(choice, estimate, localScore);
            }
            if (avoided
                    && trialAllowed
                    && trial == null
                    && upstream.failureDetector().tryAcquireTrial(nowMillis)) {
                trial = choice;
            }
            if (avoided && score < lastResortScore) {
                lastResort = choice;
                lastResortScore = score;
            } else if (!avoided && score < bestScore) {
                best = choice;
                bestScore = score;
            }
        }
        serviceZones.end();
        return Optional.ofNullable(trial != null ? trial : best != null ? best : lastResort);
    }

    private Context context(
            ServiceSpec service, List<Upstream> candidates, EngineEstimate estimate, Demand demand, long nowMillis) {
        return new Context(
                service.engine(),
                estimate,
                demand,
                preferredEngine(candidates, demand, estimate, nowMillis),
                models.of(service.name()).speedBaseline().typical(),
                medianDeviation(candidates),
                nowMillis);
    }

    private Choice predict(Context context, Upstream upstream) {
        return context.engine().isEmpty() ? predictPlain(context, upstream) : predictEngine(context, upstream);
    }

    /**
     * Records that a request was sent. Its prompt is then assumed to be cached by the engine.
     *
     * @param demand the resource demand of the request
     * @param upstream the upstream
     */
    public void recordSent(Demand demand, Upstream upstream) {
        for (PromptPrefix.Part part : demand.prefix().parts()) {
            sentPrefixes.recordSent(part.id(), upstream.entry().id());
        }
    }

    private static Choice predictPlain(Context context, Upstream upstream) {
        int slots = Math.max(1, upstream.entry().slots());
        int inFlight = upstream.load().total(context.nowMillis()).inFlight();
        double responseMillis = slowness(context, upstream)
                * Math.max(1, context.typicalMillis())
                / upstream.speed().factor(context.nowMillis());
        double predictedMillis = responseMillis * (inFlight + 1) / slots;
        return new Choice(upstream, 0, 0, predictedMillis, responseMillis, inFlight >= slots);
    }

    private Choice predictEngine(Context context, Upstream upstream) {
        EngineSpec engine = context.engine().orElseThrow();
        EngineEstimate estimate = context.estimate();
        Demand demand = context.demand();
        UpstreamLoad.Work work = upstream.load().total(context.nowMillis());
        long unreadTokens = Math.max(1, demand.promptTokens() - cachedTokens(context, upstream));
        long queuedTokens = work.unreadTokens() + unreadTokens;
        double capacityWaitMillis = slotWaitMillis(engine, estimate, work) + memoryWaitMillis(context, engine, work);
        double generationDelayMillis = estimate.overheadMillis() * work.generating() / engine.slots();
        double speed = upstream.speed().factor(context.nowMillis());
        double slowness = Math.max(slowness(context, upstream), upstream.stall().overdueSlowdown(context.nowMillis()));
        double predictedMillis = (slowness * estimate.firstEventMillis((double) queuedTokens)
                        + generationDelayMillis
                        + capacityWaitMillis)
                / speed;
        double processingMillis = slowness * estimate.firstEventMillis((double) unreadTokens) / speed;
        return new Choice(
                upstream, unreadTokens, queuedTokens, predictedMillis, processingMillis, capacityWaitMillis > 0);
    }

    private static double slotWaitMillis(EngineSpec engine, EngineEstimate estimate, UpstreamLoad.Work work) {
        int beyondSlots = work.inFlight() + 1 - engine.slots();
        return Math.max(0, beyondSlots) * estimate.streamMillis() / engine.slots();
    }

    /** Returns the time until streams that end have released the missing memory. */
    private static double memoryWaitMillis(Context context, EngineSpec engine, UpstreamLoad.Work work) {
        Demand demand = context.demand();
        double missingTokens = work.memoryTokens()
                + demand.promptTokens()
                + demand.maxOutputTokens()
                - PREEMPTION_MEMORY_SHARE * engine.memoryTokens();
        double releasedShare = missingTokens / Math.max(1, work.memoryTokens());
        return Math.max(0, Math.min(1, releasedShare)) * context.estimate().streamMillis();
    }

    private static double slowness(Context context, Upstream upstream) {
        double relative = upstream.stall().recentSlowdown(context.medianDeviation(), context.nowMillis());
        return relative < SLOW_DEVIATION ? 1 : relative;
    }

    private long cachedTokens(Context context, Upstream upstream) {
        long sentTokens = 0;
        double estimatedTokens = 0;
        List<PromptPrefix.Part> parts = context.demand().prefix().parts();
        for (int i = 0; i < parts.size() - 1; i++) {
            PromptPrefix.Part part = parts.get(i);
            boolean sentBefore =
                    sentPrefixes.isLikelyCached(part.id(), upstream.entry().id());
            boolean isPreferred = upstream.entry().id().equals(context.preferredId());
            if (!sentBefore && !isPreferred) {
                break;
            }
            sentTokens += sentBefore ? part.tokens() : 0;
            estimatedTokens += sentBefore ? 0 : PREFERRED_CACHED_SHARE * part.tokens();
        }
        return sentTokens + (long) estimatedTokens;
    }

    /** Returns the weighted time for processing shared parts that another engine of the region has probably cached. */
    private static double reprocessingPenaltyMillis(Context context, Choice choice) {
        long sharedTokens = context.demand().prefix().sharedTokens();
        long unsharedTokens = Math.max(0, context.demand().promptTokens() - sharedTokens);
        long reprocessedTokens = Math.max(0, Math.min(sharedTokens, choice.unreadTokens() - unsharedTokens));
        return REPROCESSING_WEIGHT * context.estimate().processingMillis((double) reprocessedTokens);
    }

    /** Returns whether processing a shared prompt in each region costs less than crossing regions for each request. */
    private static boolean isPreferredPerRegion(Demand demand, EngineEstimate estimate) {
        double processingCostMillis = (1 + REPROCESSING_WEIGHT)
                * estimate.processingMillis((double) demand.prefix().sharedTokens());
        return processingCostMillis < REQUESTS_PER_CACHED_PROMPT * CROSS_REGION_COST_MILLIS;
    }

    private String preferredEngine(List<Upstream> candidates, Demand demand, EngineEstimate estimate, long nowMillis) {
        String prefixId = demand.prefix().lastSharedId();
        String bestInRegion = "";
        String bestOverall = "";
        double highestInRegion = Double.NEGATIVE_INFINITY;
        double highestOverall = Double.NEGATIVE_INFINITY;
        if (prefixId.isEmpty()) {
            return bestOverall;
        }
        for (Upstream upstream : candidates) {
            if (upstream.failureDetector().shouldAvoid(nowMillis)) {
                continue;
            }
            String id = upstream.entry().id();
            double random = uniform(mix(31L * prefixId.hashCode() + id.hashCode()));
            double speed = upstream.speed().weight(nowMillis);
            // The logarithm is calculated only for the few candidates that this upper bound does not rule out.
            if (speed / (1 - random) <= highestInRegion) {
                continue;
            }
            double weight = speed / -Math.log(random);
            boolean otherRegion = zones.distance(upstream.entry().zone()) == ZoneTopology.Distance.OTHER_REGION;
            if (!otherRegion && weight > highestInRegion) {
                highestInRegion = weight;
                bestInRegion = id;
            }
            if (weight > highestOverall) {
                highestOverall = weight;
                bestOverall = id;
            }
        }
        return bestInRegion.isEmpty() || !isPreferredPerRegion(demand, estimate) ? bestOverall : bestInRegion;
    }

    private static long mix(long value) {
        long mixed = value * 0x9E3779B97F4A7C15L;
        mixed = (mixed ^ (mixed >>> 32)) * 0xBF58476D1CE4E5B9L;
        return mixed ^ (mixed >>> 29);
    }

    private static double networkCostMillis(
            CrossZoneRouting.ServiceZones serviceZones, Context context, Upstream upstream) {
        return serviceZones.costMillis(upstream, upstream.entry().id().equals(context.preferredId()));
    }

    /** Returns a value between zero and one, both exclusive, that increases with a random number of 64 bits. */
    private static double uniform(long random) {
        return ((random >> UNIFORM_SHIFT) - UNIFORM_MIN + 0.5) / (-2 * UNIFORM_MIN);
    }

    private static double medianDeviation(List<Upstream> candidates) {
        if (candidates.isEmpty()) {
            return 1;
        }
        double[] values = new double[candidates.size()];
        for (int i = 0; i < values.length; i++) {
            values[i] = candidates.get(i).stall().averageDeviation();
        }
        Arrays.sort(values);
        return values[values.length / 2];
    }
}
