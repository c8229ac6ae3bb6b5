package org.lovagethread.core;

import java.util.Objects;
import org.lovagethread.core.call.ReclaimPolicy;
import org.lovagethread.core.upstream.RoutingPolicy;

/** Settings of one {@link Core}. */
public final class CoreSettings {
    private final String address;
    private final long addressLifetimeMillis;
    private final long incarnation;
    private final String node;
    private final String peerAddress;
    private final ReclaimPolicy reclaimPolicy;
    private final String region;
    private final RoutingPolicy routingPolicy;
    private final long seed;
    private final long stopGraceMillis;
    private final String zone;

    private CoreSettings(Builder builder) {
        address = Checks.notBlank(builder.address, "address");
        addressLifetimeMillis = Checks.inRange(builder.addressLifetimeMillis, 100, 600_000, "address lifetime in ms");
        incarnation = builder.incarnation;
        node = Checks.notBlank(builder.node, "node");
        peerAddress = Objects.requireNonNull(builder.peerAddress, "peer address");
        reclaimPolicy = Objects.requireNonNull(builder.reclaimPolicy, "reclaim policy");
        region = Objects.requireNonNull(builder.region, "region");
        routingPolicy = Objects.requireNonNull(builder.routingPolicy, "routing policy");
        seed = builder.seed;
        stopGraceMillis = Checks.inRange(builder.stopGraceMillis, 0, 3_600_000, "stop grace in ms");
        zone = Objects.requireNonNull(builder.zone, "zone");
    }

    /**
     * Creates a builder with default values.
     *
     * @param node the name of the node
     * @return a new builder
     */
    public static Builder builder(String node) {
        return new Builder(node);
    }

    /**
     * Returns the host and port at which callers reach the node.
     *
     * @return the address, never blank
     */
    public String address() {
        return address;
    }

    /**
     * Returns how long a caller may use the addresses that were resolved for it.
     *
     * @return the lifetime in milliseconds
     */
    public long addressLifetimeMillis() {
        return addressLifetimeMillis;
    }

    /**
     * Returns the start time of the process, which identifies its incarnation.
     *
     * @return milliseconds since the epoch
     */
    public long incarnation() {
        return incarnation;
    }

    /**
     * Returns the name of the node.
     *
     * @return the name, never blank
     */
    public String node() {
        return node;
    }

    /**
     * Returns the host and port at which peers reach the node.
     *
     * @return the address
     */
    public String peerAddress() {
        return peerAddress;
    }

    /**
     * Returns the policy for streams whose upstreams are leaving.
     *
     * @return the policy, never null
     */
    public ReclaimPolicy reclaimPolicy() {
        return reclaimPolicy;
    }

    /**
     * Returns the region of the node.
     *
     * @return the region
     */
    public String region() {
        return region;
    }

    /**
     * Returns the policy by which upstreams are ranked.
     *
     * @return the policy, never null
     */
    public RoutingPolicy routingPolicy() {
        return routingPolicy;
    }

    /**
     * Returns the seed of the random number generator.
     *
     * @return the seed
     */
    public long seed() {
        return seed;
    }

    /**
     * Returns how long after a stop request streams may continue before they are handed over to peers.
     *
     * @return the time in milliseconds
     */
    public long stopGraceMillis() {
        return stopGraceMillis;
    }

    /**
     * Returns the availability zone of the node.
     *
     * @return the zone
     */
    public String zone() {
        return zone;
    }

    /** Builder of {@link CoreSettings}. */
    public static final class Builder {
        private final String node;
        private String address = "";
        private long addressLifetimeMillis = 5_000;
        private long incarnation = 1;
        private String peerAddress = "";
        private ReclaimPolicy reclaimPolicy = ReclaimPolicy.CHOOSE;
        private String region = "";
        private RoutingPolicy routingPolicy = RoutingPolicy.PREDICTED;
        private long seed;
        private long stopGraceMillis = 30_000;
        private String zone = "";

        private Builder(String node) {
            this.node = node;
        }

        /**
         * Sets the host and port at which callers reach the node.
         *
         * @param value the address
         * @return this builder
         */
        public Builder address(String value) {
            address = value;
            return this;
        }

        /**
         * Sets how long a caller may use the addresses that were resolved for it.
         *
         * @param value the lifetime in milliseconds
         * @return this builder
         */
        public Builder addressLifetimeMillis(long value) {
            addressLifetimeMillis = value;
            return this;
        }

        /**
         * Builds the settings.
         *
         * @return the settings
         * @throws IllegalArgumentException if a value is missing or out of range
         */
        public CoreSettings build() {
            return new CoreSettings(this);
        }

        /**
         * Sets the start time of the process.
         *
         * @param value milliseconds since the epoch
         * @return this builder
         */
        public Builder incarnation(long value) {
            incarnation = value;
            return this;
        }

        /**
         * Sets the host and port at which peers reach the node.
         *
         * @param value the address
         * @return this builder
         */
        public Builder peerAddress(String value) {
            peerAddress = value;
            return this;
        }

        /**
         * Sets the policy for streams whose upstreams are leaving.
         *
         * @param value the policy
         * @return this builder
         */
        public Builder reclaimPolicy(ReclaimPolicy value) {
            reclaimPolicy = value;
            return this;
        }

        /**
         * Sets the region.
         *
         * @param value the region
         * @return this builder
         */
        public Builder region(String value) {
            region = value;
            return this;
        }

        /**
         * Sets the policy by which upstreams are ranked.
         *
         * @param value the policy
         * @return this builder
         */
        public Builder routingPolicy(RoutingPolicy value) {
            routingPolicy = value;
            return this;
        }

        /**
         * Sets the seed of the random number generator.
         *
         * @param value the seed
         * @return this builder
         */
        public Builder seed(long value) {
            seed = value;
            return this;
        }

        /**
         * Sets how long after a stop request streams may continue before they are handed over to peers.
         *
         * @param value the time in milliseconds
         * @return this builder
         */
        public Builder stopGraceMillis(long value) {
            stopGraceMillis = value;
            return this;
        }

        /**
         * Sets the availability zone.
         *
         * @param value the zone
         * @return this builder
         */
        public Builder zone(String value) {
            zone = value;
            return this;
        }
    }
}
