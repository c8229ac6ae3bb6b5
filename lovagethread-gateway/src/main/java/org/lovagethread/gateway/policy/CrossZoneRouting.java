package org.lovagethread.gateway.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.lovagethread.gateway.CrossZoneSettings;
import org.lovagethread.gateway.engine.EngineEstimate;
import org.lovagethread.gateway.policy.ZoneTopology.Distance;
import org.lovagethread.gateway.upstream.Upstream;

/**
 * Decides which requests may leave the availability zone, and what sending one to another zone costs.
 *
 * <p>For each service and destination zone a {@link ZoneShare} controls the share of the requests that may leave for it.
 * Each request draws whether it may; one that may still leaves only if the destination's upstreams, with the cost, are
 * the better choice. Requests whose shared prompt has its preferred engine in another zone are exempt: processing the
 * prompt again costs more capacity than sending the request there. All requests may leave, by cost, while the zone has few
 * upstreams of the service or no usable one. Not thread-safe.
 *
 * <p>This handles a zone with more demand than its upstreams can serve while others have capacity to spare.
 */
public final class CrossZoneRouting {
    /** Fixed cost of calling an upstream in another availability zone of the region, in milliseconds. */
    private static final double CROSS_ZONE_COST_MILLIS = 4;

    /** Fixed cost of calling an upstream in another region, in milliseconds. */
    private static final double CROSS_REGION_COST_MILLIS = 60;

    /** Latency between zones of a region in both directions, in milliseconds. */
    private static final double ZONE_LATENCY_MILLIS = 2;

    /** Latency between regions in both directions, in milliseconds. */
    private static final double REGION_LATENCY_MILLIS = 24;

    /** Time that a caller must save for each KiB sent to another zone of the region, in milliseconds. */
    private static final double ZONE_PRICE_MILLIS_PER_KIB = 0.125;

    /** Time that a caller must save for each KiB between regions, which costs ten times as much, in milliseconds. */
    private static final double REGION_PRICE_MILLIS_PER_KIB = 1.25;

    /** Assumed size of a request and its response before any was measured, in bytes. */
    private static final double DEFAULT_REQUEST_BYTES = 16_384;

    /** Cost of a zone for a request that may not leave for it, in milliseconds. It exceeds any wait. */
    private static final double CLOSED_COST_MILLIS = 1e9;

    /**
     * Weight of the latest sample in the smoothed utilizations, at four samples per second. With 0.05 the average lags
     * so much that shares overshoot; with 0.25 the random load of a few upstreams moves them.
     */
    private static final double SAMPLE_WEIGHT = 0.1;

    /**
     * Maximum utilization in the formulas for queues, which have a pole at one. Close to it, the noise of the measured
     * utilization would move the cost by hundreds of milliseconds.
     */
    private static final double MAX_UTILIZATION = 0.85;

    /**
     * Number of own upstreams below which shares do not apply. The load of so few upstreams varies so much that their mean
     * utilization does not tell whether they suffice, and their requests wait less if all zones are used by cost.
     */
    private static final int MIN_CONTROLLED_UPSTREAMS = 4;

    /** Utilization of the own upstreams from which requests leave for zones with capacity to spare, beyond the shares. */
    private static final double OVERFLOW_UTILIZATION = 0.9;

    /** Utilization of a destination up to which it receives the overflow of other zones. */
    private static final double SPARE_UTILIZATION = 0.6;

    /** Change of a share that is reported, in addition to its start and end. */
    private static final double REPORTED_CHANGE = 0.1;

    /** Difference in load over which requests that leave are spread, as a multiple of a request's processing time. */
    private static final double SPREAD_PROMPTS = 2;

    private static final double BYTES_PER_KIB = 1_024;
    private static final double BITS_PER_BYTE = 8;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final ZoneTopology zones;
    private final CrossZoneSettings settings;
    private final ZoneTraffic traffic;
    private final SplittableRandom random;
    private final Map<String, ServiceZones> services = new HashMap<>();
    private final List<Change> changes = new ArrayList<>();

    /** Kind of a reported change of a share. */
    public enum ChangeKind {
        /** Requests begin to leave. */
        STARTED("started"),
        /** The share has changed substantially. */
        CHANGED("changed"),
        /** No request leaves any more. */
        ENDED("ended");

        private final String label;

        ChangeKind(String label) {
            this.label = label;
        }

        /**
         * Returns the label in log lines.
         *
         * @return the label
         */
        public String label() {
            return label;
        }
    }

    /**
     * A reported change of the share of a service's requests that may leave for a zone.
     *
     * @param kind the kind of change
     * @param service the service
     * @param zone the destination
     * @param share the new share
     * @param gainMillis the mean time that leaving would have saved recently, beyond its cost, in milliseconds
     * @param ownUtilization the utilization of the own upstreams
     * @param targetUtilization the utilization of the destination's upstreams
     */
    public record Change(
            ChangeKind kind,
            String service,
            String zone,
            double share,
            double gainMillis,
            double ownUtilization,
            double targetUtilization) {}

    /**
     * Creates a routing without any share.
     *
     * @param zones the distances between availability zones
     * @param settings the settings
     * @param seed the seed of the random decisions, which must differ between gateways
     */
    public CrossZoneRouting(ZoneTopology zones, CrossZoneSettings settings, long seed) {
        this.zones = zones;
        this.settings = settings;
        this.traffic = new ZoneTraffic(zones);
        this.random = new SplittableRandom(seed);
    }

    /**
     * Returns the traffic between zones.
     *
     * @return the ledger
     */
    public ZoneTraffic traffic() {
        return traffic;
    }

    /**
     * Returns the current share of the requests of a service that may leave for a zone.
     *
     * @param service the service
     * @param zone the destination
     * @return the share
     */
    public double share(String service, String zone) {
        ServiceZones state = services.get(service);
        Zone destination = state == null ? null : state.byName.get(zone);
        return destination == null ? 0 : destination.share.share();
    }

    /**
     * Returns the changes of shares since the last call.
     *
     * @return the changes
     */
    public List<Change> takeChanges() {
        List<Change> taken = List.copyOf(changes);
        changes.clear();
        return taken;
    }

    /**
     * Lowers the shares of services without requests and drops the reports of silent peers.
     *
     * @param nowMillis the current time in milliseconds
     */
    public void tick(long nowMillis) {
        services.values().forEach(state -> state.lowerUnused(nowMillis));
        traffic.expire(nowMillis);
    }

    /** Begins the placement of one request and draws the zones for which it may leave. */
    ServiceZones begin(String service, List<Upstream> candidates, Set<String> excluded, long nowMillis) {
        ServiceZones state = services.computeIfAbsent(service, ServiceZones::new);
        state.begin(candidates, excluded, nowMillis);
        return state;
    }

    /** One zone with upstreams of a service. */
    private static final class Zone {
        private final String name;
        private final Distance distance;
        private final ZoneShare share = new ZoneShare();
        private double reportedShare;
        private double utilization;
        private double linkUtilization;
        private double requestMillis;
        private double costMillis;
        private boolean open;
        private double bestScoreMillis;
        private double sampledUtilization;
        private int sampledUpstreams;

        private Zone(String name, Distance distance) {
            this.name = name;
            this.distance = distance;
        }

        private boolean isOwn() {
            return distance == Distance.SAME_ZONE;
        }
    }

    /** The zones of one service, and the request that is being placed. */
    final class ServiceZones {
        private final String service;
        private final Map<String, Zone> byName = new HashMap<>();
        private final List<Zone> all = new ArrayList<>();
        private boolean sampling;
        private boolean controlled;
        private long nextSampleMillis;
        private long nowMillis;

        private ServiceZones(String service) {
            this.service = service;
        }

        private void begin(List<Upstream> candidates, Set<String> excluded, long now) {
            if (!settings.enabled()) {
                return;
            }
            nowMillis = now;
            sampling = now >= nextSampleMillis;
            if (sampling) {
                nextSampleMillis = now + ZoneShare.STEP_INTERVAL_MILLIS;
                updateCosts();
            }
            controlled = ownUpstreams(candidates, excluded, now) >= MIN_CONTROLLED_UPSTREAMS;
            Zone own = byName.get(zones.zone());
            boolean overflows = own != null && own.utilization >= OVERFLOW_UTILIZATION;
            for (Zone zone : all) {
                zone.bestScoreMillis = Double.POSITIVE_INFINITY;
                double share = overflows ? Math.max(zone.share.share(), spareShare(zone)) : zone.share.share();
                zone.open = zone.isOwn() || !controlled || (share > 0 && random.nextDouble() < share);
            }
        }

        /** Returns the share of the overflow that a zone receives, in proportion to its spare capacity. */
        private double spareShare(Zone zone) {
            return traffic.isSilent(zone.name, nowMillis)
                    ? 0
                    : Math.max(0, (SPARE_UTILIZATION - zone.utilization) / SPARE_UTILIZATION);
        }

        private int ownUpstreams(List<Upstream> candidates, Set<String> excluded, long now) {
            int usable = 0;
            int all = 0;
            for (Upstream upstream : candidates) {
                if (upstream.entry().zone().equals(zones.zone())) {
                    all++;
                    boolean tried = excluded.contains(upstream.entry().id());
                    usable += tried || upstream.failureDetector().shouldAvoid(now) ? 0 : 1;
                }
            }
            return usable == 0 ? 0 : all;
        }

        /**
         * Returns the cost of sending the request to an upstream.
         *
         * @param upstream the upstream
         * @param isPreferred whether the upstream is the preferred engine of the request's shared prompt
         */
        double costMillis(Upstream upstream, boolean isPreferred) {
            if (!settings.enabled()) {
                return fixedCostMillis(zones.distance(upstream.entry().zone()));
            }
            Zone zone = zone(upstream.entry().zone());
            if (zone.isOwn() || isPreferred) {
                return zone.costMillis;
            }
            return zone.open ? zone.costMillis + spreadMillis(zone) : zone.costMillis + CLOSED_COST_MILLIS;
        }

        /**
         * Returns a random time that spreads the requests that leave over the upstreams of the destination. The reports
         * about their load are old, so all gateways would otherwise select the same one until the next report.
         */
        private double spreadMillis(Zone zone) {
            return random.nextDouble() * SPREAD_PROMPTS * zone.requestMillis;
        }

        private Zone zone(String name) {
            Zone zone = byName.get(name);
            if (zone == null) {
                zone = new Zone(name, zones.distance(name));
                zone.open = zone.isOwn() || !controlled;
                zone.bestScoreMillis = Double.POSITIVE_INFINITY;
                zone.costMillis = costMillis(zone);
                byName.put(name, zone);
                all.add(zone);
            }
            return zone;
        }

        /**
         * Records how well an upstream without recent failures would serve the request, without the cost of its zone.
         *
         * @param choice the prediction for the upstream
         * @param estimate the estimated performance of the engines
         * @param scoreMillis the predicted time, lower is better
         */
        void record(Placement.Choice choice, EngineEstimate estimate, double scoreMillis) {
            if (!settings.enabled()) {
                return;
            }
            Zone zone = zone(choice.upstream().entry().zone());
            zone.bestScoreMillis = Math.min(zone.bestScoreMillis, scoreMillis);
            if (sampling) {
                zone.sampledUtilization += utilization(choice, estimate);
                zone.sampledUpstreams++;
                zone.requestMillis += SAMPLE_WEIGHT * (requestMillis(choice) - zone.requestMillis);
            }
        }

        /** Returns the time by which a request delays others: engines process prompts one by one, others use slots. */
        private double requestMillis(Placement.Choice choice) {
            boolean isEngine = choice.queuedTokens() > 0;
            int slots = Math.max(1, choice.upstream().entry().slots());
            return isEngine ? choice.processingMillis() : choice.processingMillis() / slots;
        }

        /** The load at which an engine always has a prompt to process counts as full, as do occupied slots. */
        private double utilization(Placement.Choice choice, EngineEstimate estimate) {
            Upstream upstream = choice.upstream();
            double slots = Math.max(1, upstream.entry().slots());
            double bySlots = upstream.load().total(nowMillis).inFlight() / slots;
            double waitingTokens = (double) choice.queuedTokens() - choice.unreadTokens();
            double byPrompts = waitingTokens / Math.max(1, estimate.unreadTokens());
            return choice.waitsForCapacity() ? 1 : Math.min(1, Math.max(bySlots, byPrompts));
        }

        /** Ends the placement of the request and adapts the shares if that is due. */
        void end() {
            Zone own = byName.get(zones.zone());
            if (!settings.enabled() || !controlled || own == null) {
                return;
            }
            if (sampling) {
                all.forEach(this::applySample);
            }
            for (Zone zone : all) {
                if (zone.isOwn()) {
                    continue;
                }
                // Without a usable upstream in the destination, the gain is negative infinity and the share falls.
                zone.share.recordGain(own.bestScoreMillis - zone.bestScoreMillis, zone.costMillis);
                if (sampling && zone.share.isDue(nowMillis)) {
                    adapt(zone, own.utilization);
                }
            }
        }

        private void applySample(Zone zone) {
            if (zone.sampledUpstreams > 0) {
                double sample = zone.sampledUtilization / zone.sampledUpstreams;
                zone.utilization += SAMPLE_WEIGHT * (sample - zone.utilization);
            }
            zone.sampledUtilization = 0;
            zone.sampledUpstreams = 0;
        }

        /** Lowers the shares that no request has adapted for some time. */
        private void lowerUnused(long now) {
            nowMillis = now;
            for (Zone zone : all) {
                if (zone.share.share() > 0 && zone.share.isUnused(now)) {
                    adapt(zone, 0);
                }
            }
        }

        private void adapt(Zone zone, double ownUtilization) {
            double gainMillis = zone.share.meanGainMillis();
            zone.share.step(
                    new ZoneShare.Conditions(
                            ownUtilization,
                            zone.utilization,
                            zone.linkUtilization,
                            traffic.isLeaving(zone.name, service, nowMillis),
                            traffic.isSilent(zone.name, nowMillis)),
                    nowMillis);
            double share = zone.share.share();
            double previous = zone.reportedShare;
            if (share == previous) {
                return;
            }
            traffic.recordShare(service, zone.name, share);
            if (share == 0 || previous == 0 || Math.abs(share - previous) >= REPORTED_CHANGE) {
                zone.reportedShare = share;
                ChangeKind kind =
                        share == 0 ? ChangeKind.ENDED : previous == 0 ? ChangeKind.STARTED : ChangeKind.CHANGED;
                changes.add(new Change(kind, service, zone.name, share, gainMillis, ownUtilization, zone.utilization));
            }
        }

        private void updateCosts() {
            for (Zone zone : all) {
                if (zone.distance == Distance.OTHER_REGION) {
                    zone.linkUtilization = traffic.linkBytesPerSecond(zone.name, nowMillis)
                            * BITS_PER_BYTE
                            / settings.regionLinkBitsPerSecond();
                }
                zone.costMillis = costMillis(zone);
            }
        }

        private double costMillis(Zone zone) {
            double bytes = traffic.meanBytes(service, DEFAULT_REQUEST_BYTES);
            return switch (zone.distance) {
                case SAME_ZONE -> 0;
                case SAME_REGION -> ZONE_LATENCY_MILLIS
                        + ZONE_PRICE_MILLIS_PER_KIB * bytes / BYTES_PER_KIB
                        + delayOfOthersMillis(zone);
                case OTHER_REGION -> REGION_LATENCY_MILLIS
                        + REGION_PRICE_MILLIS_PER_KIB * bytes / BYTES_PER_KIB
                        + transferMillis(zone, bytes)
                        + delayOfOthersMillis(zone);
            };
        }

        /** Returns the time to transfer a request and its response over the link between the regions. */
        private double transferMillis(Zone zone, double bytes) {
            double freeShare = 1 - Math.min(MAX_UTILIZATION, zone.linkUtilization);
            return bytes * BITS_PER_BYTE * MILLIS_PER_SECOND / (settings.regionLinkBitsPerSecond() * freeShare);
        }

        /** Returns the time that the destination's own requests wait longer because of one more request. */
        private double delayOfOthersMillis(Zone zone) {
            double utilization = Math.min(MAX_UTILIZATION, zone.utilization);
            return zone.requestMillis * utilization * utilization / (1 - utilization);
        }
    }

    private static double fixedCostMillis(Distance distance) {
        return switch (distance) {
            case SAME_ZONE -> 0;
            case SAME_REGION -> CROSS_ZONE_COST_MILLIS;
            case OTHER_REGION -> CROSS_REGION_COST_MILLIS;
        };
    }
}
