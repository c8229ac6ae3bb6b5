package org.lovagethread.core.upstream;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.lovagethread.core.CoreSettings;
import org.lovagethread.core.RendezvousHash;
import org.lovagethread.core.call.CallRequest;

/** Chooses the upstream for an attempt. */
public final class Router {
    /** Cost of a way to another availability zone of the region, in milliseconds. */
    public static final double CROSS_ZONE_COST_MILLIS = 3.0;

    /** Cost of a way to another region, in milliseconds; the link is slow and billed by volume. */
    public static final double CROSS_REGION_COST_MILLIS = 60.0;

    private static final double MAX_TIE_BREAK_MILLIS = 0.01;

    private final PrefixCacheIndex prefixes = new PrefixCacheIndex();
    private final SplittableRandom random;
    private final CoreSettings settings;

    /**
     * Creates a router.
     *
     * @param settings the settings of the node
     * @param random the source of random numbers
     */
    public Router(CoreSettings settings, SplittableRandom random) {
        this.settings = settings;
        this.random = random;
    }

    /**
     * Chooses the candidate with the lowest cost; upstreams with recent failures are used only if all have them.
     *
     * @param candidates the upstreams to choose from
     * @param request the call
     * @param nowMillis the present time in milliseconds since the epoch
     * @return the choice, or empty if there are no candidates
     */
    public Optional<Upstream> choose(List<Upstream> candidates, CallRequest request, long nowMillis) {
        List<Upstream> healthy = candidates.stream()
                .filter(upstream -> !upstream.isInBackoff(nowMillis))
                .toList();
        List<Upstream> pool = healthy.isEmpty() ? candidates : healthy;
        String home = preferredUpstream(pool, request.prefixKey());
        int shift = pool.isEmpty() ? 0 : random.nextInt(pool.size());
        Upstream best = null;
        double bestCost = Double.MAX_VALUE;
        for (int i = 0; i < pool.size(); i++) {
            int draw = (i + shift) % pool.size();
            double cost = cost(pool.get(i), request, home, draw) + random.nextDouble() * MAX_TIE_BREAK_MILLIS;
            if (cost < bestCost) {
                best = pool.get(i);
                bestCost = cost;
            }
        }
        if (best != null) {
            prefixes.recordSent(request.prefixKey(), best.id());
        }
        return Optional.ofNullable(best);
    }

    private double cost(Upstream upstream, CallRequest request, String home, int draw) {
        boolean held = prefixes.isLikelyCached(request.prefixKey(), upstream.id());
        return settings.routingPolicy()
                .cost(new RoutingPolicy.Candidate(
                        upstream,
                        request.prefixKey(),
                        held,
                        upstream.id().equals(home),
                        request.promptTokens(),
                        networkCost(upstream),
                        draw));
    }

    /** Returns the upstream to which a prefix belongs by rendezvous hash; all nodes with the same list agree. */
    private static String preferredUpstream(List<Upstream> pool, String prefixKey) {
        return pool.stream()
                .map(Upstream::id)
                .min(Comparator.comparingLong(id -> RendezvousHash.rank(prefixKey, id)))
                .orElse("");
    }

    private double networkCost(Upstream upstream) {
        if (!upstream.info().region().equals(settings.region())) {
            return CROSS_REGION_COST_MILLIS;
        }
        return upstream.info().zone().equals(settings.zone()) ? 0 : CROSS_ZONE_COST_MILLIS;
    }
}
