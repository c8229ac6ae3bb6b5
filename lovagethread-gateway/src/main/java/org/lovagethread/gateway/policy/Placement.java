package org.lovagethread.gateway.policy;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.lovagethread.core.upstream.PrefixMemory;
import org.lovagethread.gateway.config.ServiceSpec;
import org.lovagethread.gateway.config.ServiceSpec.EngineSpec;
import org.lovagethread.gateway.upstream.Upstream;
import org.lovagethread.gateway.upstream.UpstreamLoad;

/**
 * Selects the upstream for a request.
 *
 * <p>For model engines, the time to the first event is predicted from the prompts queued at the engine, the part of the
 * prompt that the engine has probably cached, and the slots and memory in use. Each shared prompt has one home engine
 * per region. It is chosen by rendezvous hashing, so all gateways of the region agree on it without communication. For
 * plain services, the wait is predicted from the requests in flight per slot. In both cases a latency penalty is added
 * for leaving the availability zone or the region.
 *
 * <p>This handles bursts of long prompts, which queue behind each other although slots are free.
 */
public final class Placement {
    /** Prompt tokens that an engine processes per millisecond. */
    public static final double READ_TOKENS_PER_MILLI = 110;

    /** Time to the first event in addition to processing the prompt, in milliseconds. */
    private static final double FIRST_EVENT_MILLIS = 30;

    /** Delay that each request in flight adds to the first event of the next request, in milliseconds. */
    private static final double BUSY_SLOT_MILLIS = 0.8;

    /** Time for which a request is assumed to occupy a slot, in milliseconds. */
    private static final double SLOT_WAIT_MILLIS = 1_500;

    /** Penalty for leaving the availability zone, in milliseconds. */
    private static final double ZONE_MILLIS = 4;

    /** Penalty for leaving the region, in milliseconds. */
    private static final double REGION_MILLIS = 60;

    /** Assumed share of a shared prompt that its home engine has cached when no request with it was sent there. */
    private static final double HOME_SHARE = 0.8;

    /** Weight of the extra time for processing a shared part again, which also delays other requests. */
    private static final double AGAIN_WEIGHT = 1.5;

    /** Share of the memory above which an engine may preempt requests. */
    private static final double FULL_MEMORY_SHARE = 0.92;

    /** Time that a request waits for memory, in milliseconds. */
    private static final double MEMORY_WAIT_MILLIS = 1_500;

    private final PrefixMemory sent = new PrefixMemory();
    private final Zones zones;

    /**
     * Creates a placement.
     *
     * @param zones the distances between availability zones
     */
    public Placement(Zones zones) {
        this.zones = zones;
    }

    /**
     * Resource demand of a request.
     *
     * @param prefix the parts of the prompt
     * @param promptTokens the length of the prompt; zero for plain services
     * @param outputTokens the maximum number of tokens to generate; zero for plain services
     */
    public record Demand(PromptPrefix prefix, int promptTokens, int outputTokens) {
        /** The demand of a request to a plain service. */
        public static final Demand PLAIN = new Demand(PromptPrefix.NONE, 0, 0);
    }

    /**
     * A selected upstream.
     *
     * @param upstream the upstream
     * @param unreadTokens the prompt tokens that it probably still has to process
     * @param waitMillis the predicted time to the first event or response, in milliseconds
     */
    public record Choice(Upstream upstream, long unreadTokens, double waitMillis) {}

    /**
     * Selects an upstream.
     *
     * <p>Upstreams with recent failures are selected only for a trial or if there is no other candidate.
     *
     * @param service the service
     * @param candidates the upstreams that accept requests
     * @param excluded the ids of upstreams to which this request has already been sent
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
        String home = home(candidates, demand, nowMillis);
        double typical = typicalMillis(candidates);
        Choice best = null;
        double bestScore = Double.MAX_VALUE;
        Choice lastResort = null;
        double lastResortScore = Double.MAX_VALUE;
        for (Upstream upstream : candidates) {
            if (excluded.contains(upstream.entry().id())) {
                continue;
            }
            Choice choice = predict(service, upstream, demand, home, nowMillis);
            double score = choice.waitMillis()
                    + distance(upstream)
                    + slowness(upstream, typical)
                    + againMillis(demand, choice);
            boolean avoided = upstream.failures().avoided(nowMillis);
            if (avoided && trialAllowed && upstream.failures().tryTrial(nowMillis)) {
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
    public void placed(Demand demand, Upstream upstream) {
        for (PromptPrefix.Part part : demand.prefix().parts()) {
            sent.sent(part.id(), upstream.entry().id());
        }
    }

    private Choice predict(ServiceSpec service, Upstream upstream, Demand demand, String home, long nowMillis) {
        UpstreamLoad.Work work = upstream.load().total(nowMillis);
        if (service.engine().isEmpty()) {
            int slots = Math.max(1, upstream.entry().slots());
            double wait = Math.max(1, upstream.answerMillis()) * work.inFlight() / slots;
            return new Choice(upstream, 0, wait);
        }
        EngineSpec engine = service.engine().get();
        long unread = Math.max(1, demand.promptTokens() - held(upstream, demand, home));
        double wait = FIRST_EVENT_MILLIS
                + (work.unreadTokens() + unread) / READ_TOKENS_PER_MILLI
                + work.inFlight() * BUSY_SLOT_MILLIS;
        int beyondSlots = work.inFlight() + 1 - engine.slots();
        if (beyondSlots > 0) {
            wait += beyondSlots * SLOT_WAIT_MILLIS / engine.slots();
        }
        if (work.memoryTokens() + demand.promptTokens() + demand.outputTokens()
                > FULL_MEMORY_SHARE * engine.memoryTokens()) {
            wait += MEMORY_WAIT_MILLIS;
        }
        return new Choice(upstream, unread, wait);
    }

    private long held(Upstream upstream, Demand demand, String home) {
        long known = 0;
        double guessed = 0;
        List<PromptPrefix.Part> parts = demand.prefix().parts();
        for (int i = 0; i < parts.size() - 1; i++) {
            PromptPrefix.Part part = parts.get(i);
            boolean sentThere = sent.holds(part.id(), upstream.entry().id());
            boolean atHome = upstream.entry().id().equals(home);
            if (!sentThere && !atHome) {
                break;
            }
            known += sentThere ? part.tokens() : 0;
            guessed += sentThere ? 0 : HOME_SHARE * part.tokens();
        }
        return known + (long) guessed;
    }

    /** Returns the weighted time for processing shared parts that another engine of the region has probably cached. */
    private static double againMillis(Demand demand, Choice choice) {
        long shared = demand.prefix().sharedTokens();
        long own = Math.max(0, demand.promptTokens() - shared);
        return AGAIN_WEIGHT * Math.max(0, Math.min(shared, choice.unreadTokens() - own)) / READ_TOKENS_PER_MILLI;
    }

    private String home(List<Upstream> candidates, Demand demand, long nowMillis) {
        String subject = demand.prefix().subject();
        String near = "";
        String any = "";
        long highestNear = Long.MIN_VALUE;
        long highest = Long.MIN_VALUE;
        if (subject.isEmpty()) {
            return any;
        }
        for (Upstream upstream : candidates) {
            if (upstream.failures().avoided(nowMillis)) {
                continue;
            }
            String id = upstream.entry().id();
            long weight = mix(31L * subject.hashCode() + id.hashCode());
            boolean far = zones.distance(upstream.entry().zone()) == Zones.Distance.OTHER_REGION;
            if (!far && weight > highestNear) {
                highestNear = weight;
                near = id;
            }
            if (weight > highest) {
                highest = weight;
                any = id;
            }
        }
        return near.isEmpty() ? any : near;
    }

    private static long mix(long value) {
        long mixed = value * 0x9E3779B97F4A7C15L;
        mixed = (mixed ^ (mixed >>> 32)) * 0xBF58476D1CE4E5B9L;
        return mixed ^ (mixed >>> 29);
    }

    private double distance(Upstream upstream) {
        return switch (zones.distance(upstream.entry().zone())) {
            case SAME_ZONE -> 0;
            case SAME_REGION -> ZONE_MILLIS;
            case OTHER_REGION -> REGION_MILLIS;
        };
    }

    private static double slowness(Upstream upstream, double typicalMillis) {
        return Math.max(0, upstream.answerMillis() - 2 * typicalMillis);
    }

    private static double typicalMillis(List<Upstream> candidates) {
        double[] times = candidates.stream()
                .mapToDouble(Upstream::answerMillis)
                .filter(millis -> millis > 0)
                .sorted()
                .toArray();
        return times.length == 0 ? Double.MAX_VALUE / 4 : times[times.length / 2];
    }
}
