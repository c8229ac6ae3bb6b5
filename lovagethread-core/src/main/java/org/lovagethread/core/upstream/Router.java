package org.lovagethread.core.upstream;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.lovagethread.core.CoreSettings;
import org.lovagethread.core.RendezvousHash;
import org.lovagethread.core.call.CallRequest;

/** Selects the upstream for an attempt. */
public final class Router {
    /** Cost of calling an upstream in another availability zone of the region, in milliseconds. */
    public static final double CROSS_ZONE_COST_MILLIS = 3.0;

    /** Cost of calling an upstream in another region, in milliseconds; the link is slow and billed by volume. */
    public static final double CROSS_REGION_COST_MILLIS = 60.0;

    private static final double MAX_TIE_BREAK_MILLIS = 0.01;

    private final PrefixCacheIndex prefixes = new PrefixCacheIndex();
    private final SplittableRandom random;
    private final CoreSettings settings;

    /**
     * Creates a router.
     *
     * @param settings the settings of the node
     * @param random the random number generator
     */
    public Router(CoreSettings settings, SplittableRandom random) {
        this.settings = settings;
        this.random = random;
    }

    /**
     * Selects the candidate with the lowest cost; upstreams in back-off are used only if all candidates are.
     *
     * @param candidates the upstreams to select from
     * @param request the call
     * @param nowMillis the current time in milliseconds since the epoch
     * @return the selected upstream, or empty if there are no candidates
     */
    public Optional<Upstream> choose(List<Upstream> candidates, CallRequest request, long nowMillis) {
        List<Upstream> healthy = candidates.stream()
                .filter(upstream -> !upstream.shouldAvoid(nowMillis))
                .toList();
        List<Upstream> pool = healthy.isEmpty() ? candidates : healthy;
        String preferredId = preferredUpstream(pool, request.prefixKey());
        int offset = pool.isEmpty() ? 0 : random.nextInt(pool.size());
        Upstream best = null;
        double bestCost = Double.MAX_VALUE;
        for (int i = 0; i < pool.size(); i++) {
            int randomIndex = (i + offset) % pool.size();
            double cost =
                    cost(pool.get(i), request, preferredId, randomIndex) + random.nextDouble() * MAX_TIE_BREAK_MILLIS;
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

    private double cost(Upstream upstream, CallRequest request, String preferredId, int randomIndex) {
        boolean cached = prefixes.isLikelyCached(request.prefixKey(), upstream.id());
        return settings.routingPolicy()
                .cost(new RoutingPolicy.Candidate(
                        upstream,
                        request.prefixKey(),
                        cached,
                        upstream.id().equals(preferredId),
                        request.promptTokens(),
                        networkCostMillis(upstream),
                        randomIndex));
    }

    /** Returns the upstream preferred for a prefix by rendezvous hash; nodes with the same upstreams agree on it. */
    private static String preferredUpstream(List<Upstream> pool, String prefixKey) {
        return pool.stream()
                .map(Upstream::id)
                .min(Comparator.comparingLong(id -> RendezvousHash.rank(prefixKey, id)))
                .orElse("");
    }

    private double networkCostMillis(Upstream upstream) {
        if (!upstream.info().region().equals(settings.region())) {
            return CROSS_REGION_COST_MILLIS;
        }
        return upstream.info().zone().equals(settings.zone()) ? 0 : CROSS_ZONE_COST_MILLIS;
    }
}
