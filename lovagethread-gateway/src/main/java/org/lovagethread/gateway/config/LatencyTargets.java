package org.lovagethread.gateway.config;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/** Shortest target latencies to the first event among the streaming routes to each service, by priority. */
public final class LatencyTargets {
    /** Number of priorities that are distinguished; less urgent ones count as the last. */
    private static final int PRIORITIES = 10;

    private static final long NONE = Long.MAX_VALUE;

    private final Map<String, long[]> shortestByService = new HashMap<>();

    /**
     * Creates the targets of some routes.
     *
     * @param routes the routes
     */
    LatencyTargets(List<Route> routes) {
        for (Route route : routes) {
            if (route.isStreaming() && route.targetLatencyMillis() > 0) {
                route.services().forEach(entry -> add(entry.service(), route));
            }
        }
    }

    private void add(String service, Route route) {
        long[] shortest = shortestByService.computeIfAbsent(service, name -> {
            long[] none = new long[PRIORITIES];
            Arrays.fill(none, NONE);
            return none;
        });
        for (int priority = index(route.priority()); priority < PRIORITIES; priority++) {
            shortest[priority] = Math.min(shortest[priority], route.targetLatencyMillis());
        }
    }

    /**
     * Returns the shortest target of a service.
     *
     * @param service the name of the service
     * @return the target in milliseconds, or empty if no streaming route to the service has a target
     */
    public OptionalLong shortest(String service) {
        return shortest(service, PRIORITIES - 1);
    }

    /**
     * Returns the shortest target of a service among the routes that are at least as urgent as a given priority.
     *
     * @param service the name of the service
     * @param priority the priority; zero is the highest
     * @return the target in milliseconds, or empty if there is none
     */
    public OptionalLong shortest(String service, int priority) {
        long[] shortest = shortestByService.get(service);
        return shortest == null || shortest[index(priority)] == NONE
                ? OptionalLong.empty()
                : OptionalLong.of(shortest[index(priority)]);
    }

    private static int index(int priority) {
        return Math.max(0, Math.min(PRIORITIES - 1, priority));
    }
}
