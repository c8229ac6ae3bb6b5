package org.lovagethread.gateway.config;

import java.util.List;
import org.lovagethread.core.Checks;

/**
 * One route: which requests it takes, where they go and what they are promised.
 *
 * @param name the name of the route
 * @param host the host that requests name, in lower case
 * @param pathPrefix the start of the paths of requests, ending with a slash
 * @param kind what may be repeated
 * @param timeoutMillis the longest time for which a request is kept waiting, in milliseconds
 * @param targetMillis the time within which an answer, or the first event of a stream, is on time, in milliseconds
 * @param gapMillis the longest pause between events for which a stream is on time, in milliseconds; zero if none
 * @param priority the rank; zero is the most urgent
 * @param services the services that requests are split over; never empty
 * @param mostUpstreams the most upstreams to which one request may be sent
 * @param anonymous whether requests need no key
 * @param resumable whether a stream can be resumed after the last event received
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        long timeoutMillis,
        long targetMillis,
        long gapMillis,
        int priority,
        List<WeightedService> services,
        int mostUpstreams,
        boolean anonymous,
        boolean resumable) {

    /** Checks and copies the components. */
    public Route {
        Checks.notBlank(host, "host");
        Checks.notBlank(pathPrefix, "pathPrefix");
        services = List.copyOf(services);
        Checks.inRange(services.size(), 1, Integer.MAX_VALUE, "number of services");
    }

    /**
     * A service with its share of a route's requests.
     *
     * @param service the name of the service
     * @param weight the share, relative to the other weights of the route
     */
    public record WeightedService(String service, double weight) {}

    /**
     * Starts a builder with the values of a plain idempotent route.
     *
     * @param name the name of the route
     * @return a new builder
     */
    public static Builder builder(String name) {
        return new Builder(name);
    }

    /**
     * Returns the service for a request.
     *
     * @param draw a number from zero up to, but not including, one
     * @return the name of the service
     */
    public String service(double draw) {
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
     * Tells whether a request of this route that may have run can be sent again.
     *
     * @return true if a second run is allowed
     */
    public boolean repeatable() {
        return kind.repeatable(resumable);
    }

    /**
     * Tells whether answers of this route are streams of events.
     *
     * @return true for streams
     */
    public boolean streaming() {
        return kind == RouteKind.EVENT_STREAM;
    }

    /** Builds a route. */
    public static final class Builder {
        private final String name;
        private String host = "";
        private String pathPrefix = "/";
        private RouteKind kind = RouteKind.IDEMPOTENT;
        private long timeoutMillis;
        private long targetMillis;
        private long gapMillis;
        private int priority;
        private List<WeightedService> services = List.of();
        private int mostUpstreams = 1;
        private boolean anonymous;
        private boolean resumable;

        private Builder(String name) {
            this.name = name;
        }

        /**
         * Sets which requests the route takes.
         *
         * @param newHost the host that requests name
         * @param newPathPrefix the start of the paths
         * @return this builder
         */
        public Builder match(String newHost, String newPathPrefix) {
            host = newHost;
            pathPrefix = newPathPrefix;
            return this;
        }

        /**
         * Sets what may be repeated.
         *
         * @param newKind the kind of the route
         * @param newResumable whether streams can be resumed
         * @param newMostUpstreams the most upstreams for one request
         * @return this builder
         */
        public Builder kind(RouteKind newKind, boolean newResumable, int newMostUpstreams) {
            kind = newKind;
            resumable = newResumable;
            mostUpstreams = newMostUpstreams;
            return this;
        }

        /**
         * Sets the promised times, each in milliseconds.
         *
         * @param newTimeoutMillis the longest wait
         * @param newTargetMillis the time to the answer or first event
         * @param newGapMillis the longest pause between events; zero if none
         * @return this builder
         */
        public Builder times(long newTimeoutMillis, long newTargetMillis, long newGapMillis) {
            timeoutMillis = newTimeoutMillis;
            targetMillis = newTargetMillis;
            gapMillis = newGapMillis;
            return this;
        }

        /**
         * Sets the rank and whether a key is needed.
         *
         * @param newPriority the rank; zero is the most urgent
         * @param newAnonymous whether requests need no key
         * @return this builder
         */
        public Builder access(int newPriority, boolean newAnonymous) {
            priority = newPriority;
            anonymous = newAnonymous;
            return this;
        }

        /**
         * Sets where requests go.
         *
         * @param newServices the services with their shares
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
         * @throws IllegalArgumentException if host or prefix is blank or there is no service
         */
        public Route build() {
            return new Route(
                    name,
                    host,
                    pathPrefix,
                    kind,
                    timeoutMillis,
                    targetMillis,
                    gapMillis,
                    priority,
                    services,
                    mostUpstreams,
                    anonymous,
                    resumable);
        }
    }
}
