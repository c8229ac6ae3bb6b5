package org.lovagethread.gateway.config;

import java.util.List;
import org.lovagethread.core.Checks;

/**
 * Route, which defines the requests that it matches, the services they are sent to and their latency targets.
 *
 * @param name the name of the route
 * @param host the host of matching requests, in lower case
 * @param pathPrefix the prefix of the paths of matching requests, ending with a slash
 * @param kind the kind of the route, which determines what may be retried
 * @param timeoutMillis the maximum time until the deadline of a request, in milliseconds
 * @param targetLatencyMillis the target time to the response, or to the first event of a stream, in milliseconds
 * @param targetGapMillis the target for the longest gap between two events of a stream, in milliseconds; zero if none
 * @param priority the priority; zero is the highest
 * @param services the services over which requests are distributed; never empty
 * @param maxUpstreams the maximum number of upstreams to which one request may be sent
 * @param allowsAnonymous whether requests need no key
 * @param resumable whether a stream can be resumed after the last event received
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        long timeoutMillis,
        long targetLatencyMillis,
        long targetGapMillis,
        int priority,
        List<WeightedService> services,
        int maxUpstreams,
        boolean allowsAnonymous,
        boolean resumable) {

    /** Validates and copies the components. */
    public Route {
        Checks.notBlank(host, "host");
        Checks.notBlank(pathPrefix, "pathPrefix");
        services = List.copyOf(services);
        Checks.inRange(services.size(), 1, Integer.MAX_VALUE, "number of services");
    }

    /**
     * Service with its share of a route's requests.
     *
     * @param service the name of the service
     * @param weight the share, relative to the other weights of the route
     */
    public record WeightedService(String service, double weight) {}

    /**
     * Creates a builder with the default values of an idempotent route.
     *
     * @param name the name of the route
     * @return the new builder
     */
    public static Builder builder(String name) {
        return new Builder(name);
    }

    /**
     * Selects the service for a request.
     *
     * @param draw a random number in the range [0, 1)
     * @return the name of the service
     */
    public String selectService(double draw) {
        double total = services.stream().mapToDouble(WeightedService::weight).sum();
        double left = draw * total;
        for (WeightedService entry : services) {
            left -= entry.weight();
            if (left < 0) {
                return entry.service();
            }
        }
        return services.get(0).service();
    }

    /**
     * Returns whether a request of this route that may have been executed can be retried.
     *
     * @return true if a second execution is allowed
     */
    public boolean isRetryable() {
        return kind.isRetryable(resumable);
    }

    /**
     * Returns whether responses of this route are event streams.
     *
     * @return true for event streams
     */
    public boolean isStreaming() {
        return kind == RouteKind.EVENT_STREAM;
    }

    /** Builder of a route. */
    public static final class Builder {
        private final String name;
        private String host = "";
        private String pathPrefix = "/";
        private RouteKind kind = RouteKind.IDEMPOTENT;
        private long timeoutMillis;
        private long targetLatencyMillis;
        private long targetGapMillis;
        private int priority;
        private List<WeightedService> services = List.of();
        private int maxUpstreams = 1;
        private boolean allowsAnonymous;
        private boolean resumable;

        private Builder(String name) {
            this.name = name;
        }

        /**
         * Sets the requests that the route matches.
         *
         * @param newHost the host
         * @param newPathPrefix the prefix of the paths
         * @return this builder
         */
        public Builder match(String newHost, String newPathPrefix) {
            host = newHost;
            pathPrefix = newPathPrefix;
            return this;
        }

        /**
         * Sets the kind of the route and its limits on retries.
         *
         * @param newKind the kind of the route
         * @param newResumable whether streams can be resumed
         * @param newMaxUpstreams the maximum number of upstreams for one request
         * @return this builder
         */
        public Builder kind(RouteKind newKind, boolean newResumable, int newMaxUpstreams) {
            kind = newKind;
            resumable = newResumable;
            maxUpstreams = newMaxUpstreams;
            return this;
        }

        /**
         * Sets the timeout and the latency targets, in milliseconds.
         *
         * @param newTimeoutMillis the maximum time until the deadline of a request
         * @param newTargetLatencyMillis the target time to the response or first event
         * @param newTargetGapMillis the target for the longest gap between two events; zero if none
         * @return this builder
         */
        public Builder times(long newTimeoutMillis, long newTargetLatencyMillis, long newTargetGapMillis) {
            timeoutMillis = newTimeoutMillis;
            targetLatencyMillis = newTargetLatencyMillis;
            targetGapMillis = newTargetGapMillis;
            return this;
        }

        /**
         * Sets the priority and whether a key is required.
         *
         * @param newPriority the priority; zero is the highest
         * @param newAllowsAnonymous whether requests need no key
         * @return this builder
         */
        public Builder access(int newPriority, boolean newAllowsAnonymous) {
            priority = newPriority;
            allowsAnonymous = newAllowsAnonymous;
            return this;
        }

        /**
         * Sets the services over which requests are distributed.
         *
         * @param newServices the services with their weights
         * @return this builder
         */
        public Builder services(List<WeightedService> newServices) {
            services = newServices;
            return this;
        }

        /**
         * Builds the route.
         *
         * @return the route
         * @throws IllegalArgumentException if the host or path prefix is blank or there is no service
         */
        public Route build() {
            return new Route(
                    name,
                    host,
                    pathPrefix,
                    kind,
                    timeoutMillis,
                    targetLatencyMillis,
                    targetGapMillis,
                    priority,
                    services,
                    maxUpstreams,
                    allowsAnonymous,
                    resumable);
        }
    }
}
