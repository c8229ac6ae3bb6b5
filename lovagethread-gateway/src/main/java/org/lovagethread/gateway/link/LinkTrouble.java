package org.lovagethread.gateway.link;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.lovagethread.gateway.upstream.UpstreamEntry;

/** The upstreams to which connections have failed since the last connection to any upstream. Not thread-safe. */
final class LinkTrouble {
    /** Number of upstreams that must have failed, if there are as many. */
    private static final int MIN_FAILED_UPSTREAMS = 5;

    /** Number of services and zones among the failed upstreams, if there are as many. */
    private static final int MIN_VARIETY = 2;

    /** Time for which a failure counts, in milliseconds. */
    private static final long FAILURE_LIFETIME_MILLIS = 3_000;

    private final Map<String, Failure> failures = new LinkedHashMap<>();

    private record Failure(UpstreamEntry upstream, long beganMillis, long latestBeganMillis, long expiryMillis) {}

    void record(UpstreamEntry upstream, long beganMillis, long nowMillis) {
        long expiryMillis = nowMillis + FAILURE_LIFETIME_MILLIS;
        failures.merge(
                upstream.id(),
                new Failure(upstream, beganMillis, beganMillis, expiryMillis),
                (first, latest) -> new Failure(
                        upstream, first.beganMillis(), Math.max(beganMillis, first.latestBeganMillis()), expiryMillis));
    }

    void expire(long nowMillis) {
        failures.values().removeIf(failure -> nowMillis >= failure.expiryMillis());
    }

    void clear() {
        failures.clear();
    }

    boolean isEmpty() {
        return failures.isEmpty();
    }

    int size() {
        return failures.size();
    }

    boolean contains(String upstreamId) {
        return failures.containsKey(upstreamId);
    }

    /** Returns the number of upstreams to which a connection failed that was begun after a time. */
    long failedSince(long millis) {
        return failures.values().stream()
                .filter(failure -> failure.latestBeganMillis() > millis)
                .count();
    }

    /** Returns when the first connection that failed was begun; empty if none failed. */
    OptionalLong sinceMillis() {
        return failures.values().stream().mapToLong(Failure::beganMillis).min();
    }

    /**
     * Returns since when so many different upstreams have failed that their failures are unlikely to be their own.
     *
     * @param known the upstreams that could have been tried
     * @return the time in milliseconds; empty if too few have failed
     */
    OptionalLong wideSinceMillis(Collection<UpstreamEntry> known) {
        if (failures.isEmpty()) {
            return OptionalLong.empty();
        }
        int upstreams = Math.min(MIN_FAILED_UPSTREAMS, known.size());
        long services = countUpToVariety(
                known.stream().map(UpstreamEntry::service).distinct().count());
        long zones = countUpToVariety(
                known.stream().map(UpstreamEntry::zone).distinct().count());
        Set<String> knownIds = new HashSet<>();
        known.forEach(upstream -> knownIds.add(upstream.id()));
        List<Failure> ordered = failures.values().stream()
                .filter(failure -> knownIds.contains(failure.upstream().id()))
                .sorted(Comparator.comparingLong(Failure::beganMillis))
                .toList();
        Set<String> failedServices = new HashSet<>();
        Set<String> failedZones = new HashSet<>();
        for (int i = 0; i < ordered.size(); i++) {
            failedServices.add(ordered.get(i).upstream().service());
            failedZones.add(ordered.get(i).upstream().zone());
            if (i + 1 >= upstreams && failedServices.size() >= services && failedZones.size() >= zones) {
                return OptionalLong.of(ordered.get(i).beganMillis());
            }
        }
        return OptionalLong.empty();
    }

    private static long countUpToVariety(long count) {
        return Math.min(MIN_VARIETY, count);
    }

    /** Returns the number of failed upstreams of a zone or service, by which the next probe is chosen. */
    long similarTo(UpstreamEntry upstream) {
        return failures.values().stream()
                .filter(failure -> failure.upstream().zone().equals(upstream.zone())
                        || failure.upstream().service().equals(upstream.service()))
                .count();
    }
}
