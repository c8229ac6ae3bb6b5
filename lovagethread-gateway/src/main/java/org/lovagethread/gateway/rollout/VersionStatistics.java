package org.lovagethread.gateway.rollout;

import java.util.Map;
import java.util.TreeMap;

/**
 * Counts of the responses of both versions since a rollout was ordered, by route and group of upstreams.
 *
 * <p>The counts only increase. Merging the same report twice, or an older one later, has no effect.
 */
public final class VersionStatistics {
    /** Group of requests to old upstreams while canaries receive some; smaller numbers are groups of canaries. */
    public static final int CONTROL = CanaryPlan.GROUPS;

    /** Group of requests to old upstreams while these have the whole load. */
    public static final int FULL_LOAD = CONTROL + 1;

    /** Number of groups. */
    public static final int GROUPS = FULL_LOAD + 1;

    /** Number of latency buckets. */
    public static final int BUCKETS = 24;

    /** Number of outcomes of a group: the failures, then the responses by latency. */
    public static final int OUTCOMES = 1 + BUCKETS;

    /** Index of the number of sent requests, which follows the outcomes. */
    public static final int SENT = OUTCOMES;

    /** Number of counts of a group. */
    public static final int COUNTS = OUTCOMES + 1;

    /** Maximum number of routes; the others are counted together. */
    private static final int MAX_ROUTES = 12;

    /** Route that stands for all beyond {@link #MAX_ROUTES}. */
    private static final String OTHER_ROUTES = "*";

    /** Upper end of the first bucket in milliseconds; differences below it do not matter to callers. */
    private static final double FIRST_BUCKET_MILLIS = 16;

    /** Buckets for each doubling of the latency, so that a version three times slower is three buckets away. */
    private static final double BUCKETS_PER_OCTAVE = 2;

    private final Map<String, long[][]> countsByRoute = new TreeMap<>();

    /**
     * Records that a request is sent.
     *
     * @param route the name of its route
     * @param group the group of the upstream
     */
    public void recordSent(String route, int group) {
        row(route, group)[SENT]++;
    }

    /**
     * Records a failed request.
     *
     * @param route the name of its route
     * @param group the group of the upstream
     */
    public void recordFailure(String route, int group) {
        row(route, group)[0]++;
    }

    /**
     * Records a response.
     *
     * @param route the name of its route
     * @param group the group of the upstream
     * @param latencyMillis the time to the response in milliseconds
     */
    public void recordResponse(String route, int group, double latencyMillis) {
        row(route, group)[1 + bucket(latencyMillis)]++;
    }

    /**
     * Returns the counts by route; each has an array for each group: failures, latency buckets, sent requests.
     *
     * @return the counts, which must not be modified
     */
    public Map<String, long[][]> countsByRoute() {
        return countsByRoute;
    }

    /**
     * Raises the counts of a group to at least the given ones.
     *
     * @param route the name of the route
     * @param group the group of upstreams
     * @param counts the counts
     */
    public void raise(String route, int group, long[] counts) {
        long[] row = row(route, group);
        for (int i = 0; i < COUNTS; i++) {
            row[i] = Math.max(row[i], counts[i]);
        }
    }

    /**
     * Adds other statistics.
     *
     * @param other the other statistics
     */
    public void add(VersionStatistics other) {
        other.countsByRoute.forEach((route, groups) -> {
            for (int group = 0; group < GROUPS; group++) {
                long[] row = row(route, group);
                for (int i = 0; i < COUNTS; i++) {
                    row[i] += groups[group][i];
                }
            }
        });
    }

    static int bucket(double latencyMillis) {
        if (latencyMillis <= FIRST_BUCKET_MILLIS) {
            return 0;
        }
        double octaves = Math.log(latencyMillis / FIRST_BUCKET_MILLIS) / Math.log(2);
        return (int) Math.min(BUCKETS - 1, 1 + Math.floor(BUCKETS_PER_OCTAVE * octaves));
    }

    private long[] row(String route, int group) {
        boolean isFull = countsByRoute.size() >= MAX_ROUTES && !countsByRoute.containsKey(route);
        return countsByRoute.computeIfAbsent(isFull ? OTHER_ROUTES : route, name -> new long[GROUPS][COUNTS])[group];
    }
}
