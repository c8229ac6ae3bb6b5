package org.lovagethread.gateway.rollout;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lovagethread.gateway.upstream.Upstream;

/** The versions of the upstreams of one service that this gateway has seen. */
final class ServiceVersions {
    /**
     * Time for which upstreams of a new version are held back, in milliseconds. The order to roll the version out may
     * arrive later than their entries.
     */
    static final long HOLD_MILLIS = 2_000;

    private final Set<String> serving = new HashSet<>();
    private final Set<String> losing = new HashSet<>();
    private final Map<String, Long> releaseMillis = new HashMap<>();

    /** Records which versions serve while a rollout of another version runs. */
    void recordServing(List<Upstream> upstreams) {
        upstreams.forEach(upstream -> serving.add(upstream.entry().version()));
    }

    /** Records that a rollout of a version was ordered, after which it is not excluded because of an earlier one. */
    void onOrdered(String target) {
        losing.remove(target);
    }

    /** Records the end of a rollout, after which no request is sent to the losing versions. */
    void onEnded(String target, RolloutStage stage) {
        if (stage == RolloutStage.COMPLETED) {
            losing.addAll(serving);
            losing.remove(target);
            serving.clear();
            serving.add(target);
        } else {
            losing.add(target);
            serving.remove(target);
        }
    }

    /** Returns the upstreams without those of versions that lost a rollout; all if no others are left. */
    List<Upstream> withoutLosing(List<Upstream> upstreams) {
        if (losing.isEmpty()) {
            return upstreams;
        }
        List<Upstream> others = upstreams.stream()
                .filter(upstream -> !losing.contains(upstream.entry().version()))
                .toList();
        return others.isEmpty() ? upstreams : others;
    }

    /** Returns the upstreams without those of versions that appeared just now; all if no others are left. */
    List<Upstream> withoutNew(List<Upstream> upstreams, long nowMillis) {
        if (serving.isEmpty() && !upstreams.isEmpty()) {
            // Upstreams of a new version are started beside the old ones, so the oldest upstream has the old version.
            upstreams.stream()
                    .min(Comparator.comparingLong(upstream -> upstream.entry().startedAtMillis()))
                    .ifPresent(oldest -> serving.add(oldest.entry().version()));
        }
        boolean complete = true;
        for (Upstream upstream : upstreams) {
            complete &= isReleased(upstream.entry().version(), nowMillis);
        }
        if (complete) {
            return upstreams;
        }
        List<Upstream> released = upstreams.stream()
                .filter(upstream -> serving.contains(upstream.entry().version()))
                .toList();
        return released.isEmpty() ? upstreams : released;
    }

    private boolean isReleased(String version, long nowMillis) {
        if (serving.contains(version)) {
            return true;
        }
        if (nowMillis < releaseMillis.computeIfAbsent(version, name -> nowMillis + HOLD_MILLIS)) {
            return false;
        }
        releaseMillis.remove(version);
        return serving.add(version);
    }
}
