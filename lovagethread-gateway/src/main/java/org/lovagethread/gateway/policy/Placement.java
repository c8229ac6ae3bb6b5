package org.lovagethread.gateway.policy;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.lovagethread.core.upstream.PrefixCacheIndex;
import org.lovagethread.gateway.config.ServiceSpec;
import org.lovagethread.gateway.config.ServiceSpec.EngineSpec;
import org.lovagethread.gateway.upstream.Upstream;
import org.lovagethread.gateway.upstream.UpstreamLoad;

/**
 * Selects the upstream for a request.
 *
 * <p>For model engines, the time to the first event is predicted from the prompts queued at the engine, the part of the
 * prompt that the engine has probably cached, and the slots and memory in use. Each shared prompt has one preferred
 * engine per region. It is chosen by rendezvous hashing, so all gateways of the region agree on it without
 * communication. For plain services, the wait is predicted from the requests in flight per slot. In both cases a
 * network cost is added for upstreams in another availability zone or region.
 *
 * <p>This handles bursts of long prompts, which queue behind each other although slots are free.
 */
public final class Placement {
    /** Prompt tokens that an engine processes per millisecond. */
    public static final double PROMPT_TOKENS_PER_MILLI = 110;

    /** Time to the first event in addition to processing the prompt, in milliseconds. */
    private static final double FIRST_EVENT_OVERHEAD_MILLIS = 30;

    /** Delay that each request in flight adds to the first event of the next request, in milliseconds. */
    private static final double MILLIS_PER_IN_FLIGHT_REQUEST = 0.8;

    /** Time for which a request is assumed to occupy a slot, in milliseconds. */
    private static final double SLOT_OCCUPANCY_MILLIS = 1_500;

    /** Cost of calling an upstream in another availability zone of the region, in milliseconds. */
    private static final double CROSS_ZONE_COST_MILLIS = 4;

    /** Cost of calling an upstream in another region, in milliseconds. */
    private static final double CROSS_REGION_COST_MILLIS = 60;

    /** Assumed share of a shared prompt that its preferred engine has cached if it was not sent there before. */
    private static final double PREFERRED_CACHED_SHARE = 0.8;

    /** Weight of the extra time for processing a shared part again, which also delays other requests. */
    private static final double REPROCESSING_WEIGHT = 1.5;

    /** Share of the memory above which an engine may preempt requests. */
    private static final double PREEMPTION_MEMORY_SHARE = 0.92;

    /** Time that a request waits for memory, in milliseconds. */
    private static final double MEMORY_WAIT_MILLIS = 1_500;

    private final PrefixCacheIndex sentPrefixes = new PrefixCacheIndex();
    private final ZoneTopology zones;

    /**
     * Creates a placement.
     *
     * @param zones the distances between availability zones
     */
    public Placement(ZoneTopology zones) {
        this.zones = zones;
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
     * @param unreadTokens the prompt tokens that it probably still has to process
     * @param predictedLatencyMillis the predicted time to the first event or response, in milliseconds
     */
    public record Choice(Upstream upstream, long unreadTokens, double predictedLatencyMillis) {}

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
        String preferredId = preferredEngine(candidates, demand, nowMillis);
        double medianMillis = medianResponseMillis(candidates);
        Choice best = null;
        double bestScore = Double.MAX_VALUE;
        Choice lastResort = null;
        double lastResortScore = Double.MAX_VALUE;
        for (Upstream upstream : candidates) {
            if (excluded.contains(upstream.entry().id())) {
                continue;
            }
            Choice choice = predict(service, upstream, demand, preferredId, nowMillis);
            double score = choice.predictedLatencyMillis()
                    + networkCostMillis(upstream)
                    + slownessPenaltyMillis(upstream, medianMillis)
                    + reprocessingPenaltyMillis(demand, choice);
            boolean avoided = upstream.failureDetector().shouldAvoid(nowMillis);
            if (avoided && trialAllowed && upstream.failureDetector().tryAcquireTrial(nowMillis)) {
                return Optional.of(choice);
            }
            if (avoided && score < lastResortScore) {
                lastResort = choice;
                lastResortScore = score;
            } else if (!avoided && score < bestScore) {
                best = choice;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best != null ? best : lastResort);
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

    private Choice predict(ServiceSpec service, Upstream upstream, Demand demand, String preferredId, long nowMillis) {
        UpstreamLoad.Work work = upstream.load().total(nowMillis);
        if (service.engine().isEmpty()) {
            int slots = Math.max(1, upstream.entry().slots());
            double predictedMillis = Math.max(1, upstream.averageResponseMillis()) * work.inFlight() / slots;
            return new Choice(upstream, 0, predictedMillis);
        }
        EngineSpec engine = service.engine().get();
        long unreadTokens = Math.max(1, demand.promptTokens() - cachedTokens(upstream, demand, preferredId));
        double predictedMillis = FIRST_EVENT_OVERHEAD_MILLIS
                + (work.unreadTokens() + unreadTokens) / PROMPT_TOKENS_PER_MILLI
                + work.inFlight() * MILLIS_PER_IN_FLIGHT_REQUEST;
        int beyondSlots = work.inFlight() + 1 - engine.slots();
        if (beyondSlots > 0) {
            predictedMillis += beyondSlots * SLOT_OCCUPANCY_MILLIS / engine.slots();
        }
        if (work.memoryTokens() + demand.promptTokens() + demand.maxOutputTokens()
                > PREEMPTION_MEMORY_SHARE * engine.memoryTokens()) {
            predictedMillis += MEMORY_WAIT_MILLIS;
        }
        return new Choice(upstream, unreadTokens, predictedMillis);
    }

    private long cachedTokens(Upstream upstream, Demand demand, String preferredId) {
        long sentTokens = 0;
        double estimatedTokens = 0;
        List<PromptPrefix.Part> parts = demand.prefix().parts();
        for (int i = 0; i < parts.size() - 1; i++) {
            PromptPrefix.Part part = parts.get(i);
            boolean sentBefore =
                    sentPrefixes.isLikelyCached(part.id(), upstream.entry().id());
            boolean isPreferred = upstream.entry().id().equals(preferredId);
            if (!sentBefore && !isPreferred) {
                break;
            }
            sentTokens += sentBefore ? part.tokens() : 0;
            estimatedTokens += sentBefore ? 0 : PREFERRED_CACHED_SHARE * part.tokens();
        }
        return sentTokens + (long) estimatedTokens;
    }

    /** Returns the weighted time for processing shared parts that another engine of the region has probably cached. */
    private static double reprocessingPenaltyMillis(Demand demand, Choice choice) {
        long sharedTokens = demand.prefix().sharedTokens();
        long unsharedTokens = Math.max(0, demand.promptTokens() - sharedTokens);
        return REPROCESSING_WEIGHT
                * Math.max(0, Math.min(sharedTokens, choice.unreadTokens() - unsharedTokens))
                / PROMPT_TOKENS_PER_MILLI;
    }

    private String preferredEngine(List<Upstream> candidates, Demand demand, long nowMillis) {
        String prefixId = demand.prefix().lastSharedId();
        String bestInRegion = "";
        String bestOverall = "";
        long highestInRegion = Long.MIN_VALUE;
        long highestOverall = Long.MIN_VALUE;
        if (prefixId.isEmpty()) {
            return bestOverall;
        }
        for (Upstream upstream : candidates) {
            if (upstream.failureDetector().shouldAvoid(nowMillis)) {
                continue;
            }
            String id = upstream.entry().id();
            long weight = mix(31L * prefixId.hashCode() + id.hashCode());
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
        return bestInRegion.isEmpty() ? bestOverall : bestInRegion;
    }

    private static long mix(long value) {
        long mixed = value * 0x9E3779B97F4A7C15L;
        mixed = (mixed ^ (mixed >>> 32)) * 0xBF58476D1CE4E5B9L;
        return mixed ^ (mixed >>> 29);
    }

    private double networkCostMillis(Upstream upstream) {
        return switch (zones.distance(upstream.entry().zone())) {
            case SAME_ZONE -> 0;
            case SAME_REGION -> CROSS_ZONE_COST_MILLIS;
            case OTHER_REGION -> CROSS_REGION_COST_MILLIS;
        };
    }

    private static double slownessPenaltyMillis(Upstream upstream, double medianMillis) {
        return Math.max(0, upstream.averageResponseMillis() - 2 * medianMillis);
    }

    private static double medianResponseMillis(List<Upstream> candidates) {
        double[] times = candidates.stream()
                .mapToDouble(Upstream::averageResponseMillis)
                .filter(millis -> millis > 0)
                .sorted()
                .toArray();
        return times.length == 0 ? Double.MAX_VALUE / 4 : times[times.length / 2];
    }
}
