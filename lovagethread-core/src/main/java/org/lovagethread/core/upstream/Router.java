package org.lovagethread.core.upstream;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/** Chooses the upstream for an attempt. */
public final class Router {
    private static final double OTHER_REGION_COST = 8.0;
    private static final double OTHER_ZONE_COST = 0.5;

    private final String region;
    private final String zone;
    private final SplittableRandom random;

    /**
     * Creates a router.
     *
     * @param region the region of this node
     * @param zone the availability zone of this node
     * @param random the source of random numbers that breaks ties
     */
    public Router(String region, String zone, SplittableRandom random) {
        this.region = region;
        this.zone = zone;
        this.random = random;
    }

    /**
     * Chooses the candidate with the lowest cost.
     *
     * @param candidates the upstreams to choose from
     * @param nowMillis the present time in milliseconds since the epoch
     * @return the choice, or empty if there are no candidates
     */
    public Optional<Upstream> choose(List<Upstream> candidates, long nowMillis) {
        List<Upstream> healthy = candidates.stream()
                .filter(upstream -> !upstream.avoided(nowMillis))
                .toList();
        List<Upstream> pool = healthy.isEmpty() ? candidates : healthy;
        Upstream best = null;
        double bestCost = Double.MAX_VALUE;
        for (Upstream upstream : pool) {
            double cost = cost(upstream) + random.nextDouble() * 0.01;
            if (cost < bestCost) {
                best = upstream;
                bestCost = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    private double cost(Upstream upstream) {
        double cost = upstream.inFlight();
        if (!upstream.info().region().equals(region)) {
            cost += OTHER_REGION_COST;
        } else if (!upstream.info().zone().equals(zone)) {
            cost += OTHER_ZONE_COST;
        }
        return cost;
    }
}
