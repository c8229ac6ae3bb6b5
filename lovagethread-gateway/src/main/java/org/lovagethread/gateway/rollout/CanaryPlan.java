package org.lovagethread.gateway.rollout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.lovagethread.core.RendezvousHash;
import org.lovagethread.gateway.upstream.Upstream;

/**
 * Selects the upstreams of the target version that receive the canary traffic, and the times at which they do.
 *
 * <p>Faults that appear only under load are found only if a canary has as much load as an old upstream. Where the
 * permitted share is too small for that, it is spent in bursts, at the same times at all gateways. During a burst each
 * canary receives as many requests as an old upstream does.
 */
final class CanaryPlan {
    /** Number of groups of target upstreams, of which each canary represents another one. */
    static final int GROUPS = 4;

    /** Number of canaries, so that one faulty upstream is not mistaken for a bad version. */
    private static final int CANARIES = 3;

    /** Preferred time from one burst to the next, in milliseconds. */
    private static final long BURST_INTERVAL_MILLIS = 2_500;

    private CanaryPlan() {}

    /** Returns the group of a target upstream, the same at all gateways. */
    static int group(Rollout rollout, Upstream upstream) {
        long rank = RendezvousHash.rank(rollout.target(), upstream.entry().id());
        return (int) Math.floorMod(rank, (long) GROUPS);
    }

    /** Returns the canaries among the target upstreams, the same at all gateways that know the same upstreams. */
    static List<Upstream> canaries(Rollout rollout, List<Upstream> targets) {
        List<Upstream> ranked = new ArrayList<>(targets);
        ranked.sort(Comparator.comparingLong(upstream ->
                RendezvousHash.rank(rollout.service(), upstream.entry().id())));
        List<Upstream> canaries = new ArrayList<>();
        Set<Integer> groups = new HashSet<>();
        for (Upstream upstream : ranked) {
            if (canaries.size() < CANARIES && groups.add(group(rollout, upstream))) {
                canaries.add(upstream);
            }
        }
        for (Upstream upstream : ranked) {
            if (canaries.size() < Math.min(2, ranked.size()) && !canaries.contains(upstream)) {
                canaries.add(upstream);
            }
        }
        return canaries;
    }

    /** Returns the share of the requests for the canaries during a burst, at which they have the load of the others. */
    static double burstShare(int canaries, int oldUpstreams) {
        return canaries == 0 ? 0 : (double) canaries / (canaries + oldUpstreams);
    }

    /** Returns whether canaries receive requests now. */
    static boolean isBurst(Rollout rollout, double permittedShare, double burstShare, long nowMillis) {
        double canaryMillis = RolloutDecision.EARLIEST_SHIFT * rollout.durationMillis();
        double intervalMillis = canaryMillis / Math.max(1, Math.round(canaryMillis / BURST_INTERVAL_MILLIS));
        double elapsedMillis = Math.max(0, rollout.progress(nowMillis) * rollout.durationMillis());
        double phase = elapsedMillis % intervalMillis / intervalMillis;
        return phase >= 1 - permittedShare / Math.max(permittedShare, burstShare);
    }
}
