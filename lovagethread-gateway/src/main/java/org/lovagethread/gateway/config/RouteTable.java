package org.lovagethread.gateway.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** Finds the route of a request by its host and the longest matching path prefix. */
public final class RouteTable {
    private static final Comparator<Route> LONGEST_FIRST = Comparator.comparingInt(
                    (Route route) -> route.pathPrefix().length())
            .reversed();

    private final LatencyTargets latencyTargets;
    private final Map<String, List<Route>> byHost = new HashMap<>();
    private final long longestResumableMillis;
    private final Set<String> resumableServices;

    /**
     * Creates a table.
     *
     * @param routes the routes, in any order
     */
    public RouteTable(List<Route> routes) {
        this.latencyTargets = new LatencyTargets(routes);
        this.longestResumableMillis = routes.stream()
                .filter(route -> route.isStreaming() && route.resumable())
                .mapToLong(Route::timeoutMillis)
                .max()
                .orElse(0);
        this.resumableServices = routes.stream()
                .filter(route -> route.isStreaming() && route.resumable())
                .flatMap(route -> route.services().stream())
                .map(Route.WeightedService::service)
                .collect(Collectors.toUnmodifiableSet());
        for (Route route : routes) {
            byHost.computeIfAbsent(normalized(route.host()), host -> new ArrayList<>())
                    .add(route);
        }
        byHost.values().forEach(list -> list.sort(LONGEST_FIRST));
    }

    /**
     * Returns the target latencies of the routes.
     *
     * @return the targets by service and priority
     */
    public LatencyTargets latencyTargets() {
        return latencyTargets;
    }

    /**
     * Returns the longest timeout of the routes whose streams can be resumed.
     *
     * @return the timeout in milliseconds; zero if there is no such route
     */
    public long longestResumableMillis() {
        return longestResumableMillis;
    }

    /**
     * Returns the services of the routes whose streams can be resumed.
     *
     * @return the names of the services
     */
    public Set<String> resumableServices() {
        return resumableServices;
    }

    /**
     * Finds the route of a request.
     *
     * @param host the value of the Host header, with or without a port
     * @param path the path without the query
     * @return the matching route with the longest path prefix, or empty if no route matches
     */
    public Optional<Route> find(String host, String path) {
        for (Route route : byHost.getOrDefault(normalized(host), List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    private static String normalized(String host) {
        int colon = host.lastIndexOf(':');
        String name = colon >= 0 && host.indexOf(']', colon) < 0 ? host.substring(0, colon) : host;
        return name.toLowerCase(Locale.ROOT);
    }
}
