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
 * Chooses the upstream for a request.
 *
 * <p>For model engines it predicts the time to the first event from the prompts that wait there, the part of the prompt
 * that the engine probably has in memory, and the slots and memory in use. Each shared prompt has a home engine in each
 * region, on which all gateways of the region agree without a message. Plain services are chosen by requests in
 * progress for each slot. Either way a price in time is put on leaving the availability zone or the region. The load that
 * this answers is many long prompts at once: they queue behind each other although slots are free.
 */
public final class Placement {
    /** Prompt tokens that an engine reads in a millisecond. */
    public static final double READ_TOKENS_PER_MILLI = 110;

    /** Time that an engine takes to the first event besides reading, in milliseconds. */
    private static final double FIRST_EVENT_MILLIS = 30;

    /** Time that each request in progress adds to the first event of the next, in milliseconds. */
    private static final double BUSY_SLOT_MILLIS = 0.8;

    /** Time until a slot is free again, divided by the number of slots, in milliseconds. */
    private static final double SLOT_WAIT_MILLIS = 1_500;

    /** Weight of leaving the availability zone, in milliseconds. */
    private static final double ZONE_MILLIS = 4;

    /** Weight of leaving the region, in milliseconds. */
    private static final double REGION_MILLIS = 60;

    /** Part of a shared prompt that its home engine is taken to hold when nothing is known. */
    private static final double HOME_SHARE = 0.8;

    /** Weight of the time for reading a shared part again, besides that time, since it delays other requests too. */
    private static final double AGAIN_WEIGHT = 1.5;

    /** Share of the memory from which requests may be preempted. */
    private static final double FULL_MEMORY_SHARE = 0.92;

    /** Time that a request waits for memory, in milliseconds. */
    private static final double MEMORY_WAIT_MILLIS = 1_500;

    private final PrefixCacheIndex sent = new PrefixCacheIndex();
    private final Zones zones;

    /**
     * Creates a placement.
     *
     * @param zones tells how far availability zones are
     */
    public Placement(Zones zones) {
        this.zones = zones;
    }

    /**
     * What is known of a request.
     *
     * @param prefix the parts of its prompt
     * @param promptTokens the length of its prompt; zero for plain services
     * @param outputTokens the most tokens that it generates; zero for plain services
     */
    public record Demand(PromptPrefix prefix, int promptTokens, int outputTokens) {
        /** A request to a plain service. */
        public static final Demand PLAIN = new Demand(PromptPrefix.NONE, 0, 0);
    }

    /**
     * A chosen upstream.
     *
     * @param upstream the upstream
     * @param unreadTokens the prompt tokens that it probably has to read
     * @param waitMillis the predicted time to the first event or answer, in milliseconds
     */
    public record Choice(Upstream upstream, long unreadTokens, double waitMillis) {}

    /**
     * Chooses an upstream.
     *
     * @param service the service
     * @param candidates the upstreams that may get requests
     * @param excluded ids of upstreams that this request has already been sent to
     * @param demand what is known of the request
     * @param trialAllowed whether the request may serve as a trial of an upstream that failed lately
     * @param nowMillis the present time in milliseconds
     * @return the best choice; upstreams that failed lately come last; empty if there is no candidate
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
     * Notes that a request was sent, so that its prompt is taken to be in the engine's memory.
     *
     * @param demand what is known of the request
     * @param upstream the upstream
     */
    public void placed(Demand demand, Upstream upstream) {
        for (PromptPrefix.Part part : demand.prefix().parts()) {
            sent.recordSent(part.id(), upstream.entry().id());
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
            boolean sentThere = sent.isLikelyCached(part.id(), upstream.entry().id());
            boolean atHome = upstream.entry().id().equals(home);
            if (!sentThere && !atHome) {
                break;
            }
            known += sentThere ? part.tokens() : 0;
            guessed += sentThere ? 0 : HOME_SHARE * part.tokens();
        }
        return known + (long) guessed;
    }

    /** Returns the weighted time in which shared parts are read that an engine of the region probably has in memory. */
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
