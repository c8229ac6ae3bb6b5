package org.lovagethread.gateway.link;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.DoubleSupplier;
import java.util.stream.Collectors;
import org.lovagethread.gateway.upstream.UpstreamEntry;

/** The probes under way, and the choice of upstreams for further ones. Not thread-safe. */
final class LinkProbes {
    private final Map<String, Long> beganMillisById = new HashMap<>();
    private final Map<String, Long> lastProbeMillisById = new HashMap<>();
    private final DoubleSupplier random;

    LinkProbes(DoubleSupplier random) {
        this.random = random;
    }

    int underWay() {
        return beganMillisById.size();
    }

    /** Returns the number of probes under way that were begun after a time. */
    int begunSince(long millis) {
        return (int) beganMillisById.values().stream()
                .filter(began -> began > millis)
                .count();
    }

    /** Returns whether a probe has been under way for a time without a result. */
    boolean isSilent(long silenceMillis, long nowMillis) {
        return beganMillisById.values().stream().anyMatch(began -> nowMillis - began >= silenceMillis);
    }

    /** Removes a probe that has ended, and returns when it was begun; empty if it is not under way. */
    OptionalLong end(String upstreamId) {
        Long began = beganMillisById.remove(upstreamId);
        return began == null ? OptionalLong.empty() : OptionalLong.of(began);
    }

    /** Begins probes until a number of them is under way, as far as there are upstreams without one. */
    List<UpstreamEntry> begin(int wanted, Collection<UpstreamEntry> known, LinkTrouble trouble, long nowMillis) {
        List<UpstreamEntry> candidates = new ArrayList<>();
        known.stream()
                .filter(upstream -> !beganMillisById.containsKey(upstream.id()))
                .forEach(candidates::add);
        lastProbeMillisById
                .keySet()
                .retainAll(known.stream().map(UpstreamEntry::id).collect(Collectors.toSet()));
        List<UpstreamEntry> begun = new ArrayList<>();
        while (underWay() < wanted && !candidates.isEmpty()) {
            UpstreamEntry chosen = choose(candidates, begun, trouble);
            candidates.remove(chosen);
            begun.add(chosen);
            beganMillisById.put(chosen.id(), nowMillis);
            lastProbeMillisById.put(chosen.id(), nowMillis);
        }
        return begun;
    }

    /** Chooses an upstream unlike those that have failed, since most faults hit one service or zone. */
    private UpstreamEntry choose(List<UpstreamEntry> candidates, List<UpstreamEntry> begun, LinkTrouble trouble) {
        Map<String, Double> tieBreaks = new HashMap<>();
        candidates.forEach(candidate -> tieBreaks.put(candidate.id(), random.getAsDouble()));
        return candidates.stream()
                .min(Comparator.comparing((UpstreamEntry candidate) -> trouble.contains(candidate.id()))
                        .thenComparing(candidate -> trouble.contains(candidate.id())
                                ? 0L
                                : trouble.similarTo(candidate) + similar(begun, candidate))
                        .thenComparing(candidate -> lastProbeMillisById.getOrDefault(candidate.id(), Long.MIN_VALUE))
                        .thenComparing(candidate -> tieBreaks.get(candidate.id())))
                .orElseThrow();
    }

    private static long similar(List<UpstreamEntry> begun, UpstreamEntry candidate) {
        return begun.stream()
                .filter(other ->
                        other.zone().equals(candidate.zone()) || other.service().equals(candidate.service()))
                .count();
    }
}
