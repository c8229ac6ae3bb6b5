package org.lovagethread.gateway.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import org.lovagethread.gateway.policy.ZoneTopology.Distance;

/**
 * Requests and bytes sent by each zone to the upstreams of each zone: those of this gateway, and those that peers and
 * cells report. Not thread-safe.
 *
 * <p>Reports carry totals since the start of the sender's process, so a lost or duplicated one does no harm. The report
 * of a silent sender is dropped.
 */
public final class ZoneTraffic {
    /** Maximum number of flows in a report; the smallest ones are left out. */
    public static final int MAX_REPORTED_FLOWS = 6;

    /** Age from which the report of a sender is dropped. Reports are sent every few seconds, in milliseconds. */
    static final long REPORT_TIMEOUT_MILLIS = 12_000;

    /** Age of the latest message from a zone's gateways from which they count as silent, in milliseconds. */
    static final long SILENCE_MILLIS = 2_000;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final Map<FlowKey, LocalFlow> localFlows = new HashMap<>();
    private final Map<String, Sender> senders = new HashMap<>();
    private final Map<String, Long> heardMillisByZone = new HashMap<>();
    private final ZoneTopology zones;

    /** Requests of one service that are sent to the upstreams of one zone. */
    private record FlowKey(String service, String zone) {
        // Implemented explicitly, because linking the generated methods at run time delays the start of the process by
        // tens of milliseconds.
        @Override
        public boolean equals(Object other) {
            return other instanceof FlowKey key && service.equals(key.service) && zone.equals(key.zone);
        }

        @Override
        public int hashCode() {
            return Objects.hash(service, zone);
        }
    }

    /**
     * Totals of the requests of one service to the upstreams of one zone.
     *
     * @param service the service
     * @param zone the availability zone of the upstreams
     * @param requests the requests sent
     * @param tokens the prompt tokens and requested output tokens of the requests
     * @param bytesSent the bytes of the requests
     * @param bytesReceived the bytes of the responses
     * @param share the current share of the requests that may leave for the zone
     */
    public record Flow(
            String service, String zone, long requests, long tokens, long bytesSent, long bytesReceived, double share) {
        private static Flow empty(String service, String zone) {
            return new Flow(service, zone, 0, 0, 0, 0, 0);
        }

        private Flow plus(Flow other) {
            return new Flow(
                    service,
                    zone,
                    requests + other.requests,
                    tokens + other.tokens,
                    bytesSent + other.bytesSent,
                    bytesReceived + other.bytesReceived,
                    Math.max(share, other.share));
        }

        private Flow since(Flow earlier) {
            return new Flow(
                    service,
                    zone,
                    Math.max(0, requests - earlier.requests),
                    Math.max(0, tokens - earlier.tokens),
                    Math.max(0, bytesSent - earlier.bytesSent),
                    Math.max(0, bytesReceived - earlier.bytesReceived),
                    share);
        }

        /**
         * Returns the bytes in both directions.
         *
         * @return the number of bytes
         */
        public long bytes() {
            return bytesSent + bytesReceived;
        }

        private FlowKey key() {
            return new FlowKey(service, zone);
        }
    }

    /** Totals of this gateway with their rates. */
    private static final class LocalFlow {
        private final RateMeter tokens = new RateMeter();
        private final RateMeter bytesSent = new RateMeter();
        private final RateMeter bytesReceived = new RateMeter();
        private Flow total;

        private LocalFlow(FlowKey key) {
            total = Flow.empty(key.service(), key.zone());
        }
    }

    /** The latest report of a sender, what it has sent since its first report, and what it sends per second. */
    private static final class ReportedFlow {
        private Flow latest;
        private Flow accumulated;
        private Flow recent;
        private long receivedMillis;
        private double recentSeconds;

        private ReportedFlow(Flow first, long nowMillis) {
            latest = first;
            accumulated = Flow.empty(first.service(), first.zone());
            recent = accumulated;
            receivedMillis = nowMillis;
        }

        private void update(Flow flow, long nowMillis) {
            if (nowMillis > receivedMillis) {
                recent = flow.since(latest);
                recentSeconds = (nowMillis - receivedMillis) / MILLIS_PER_SECOND;
                accumulated = accumulated.plus(recent);
                latest = flow;
                receivedMillis = nowMillis;
            }
        }

        private double perSecond(ToLongFunction<Flow> property) {
            return recentSeconds == 0 ? 0 : property.applyAsLong(recent) / recentSeconds;
        }
    }

    private static final class Sender {
        private final String zone;
        private final Map<FlowKey, ReportedFlow> flows = new HashMap<>();

        private Sender(String zone) {
            this.zone = zone;
        }
    }

    /**
     * Creates a ledger without traffic.
     *
     * @param zones the distances between availability zones
     */
    public ZoneTraffic(ZoneTopology zones) {
        this.zones = zones;
    }

    /**
     * Records a request of this gateway.
     *
     * @param service the service
     * @param zone the availability zone of the upstream
     * @param tokens the prompt tokens and requested output tokens
     * @param bytes the size of the request in bytes
     * @param nowMillis the current time in milliseconds
     */
    public void recordSent(String service, String zone, long tokens, long bytes, long nowMillis) {
        LocalFlow flow = localFlow(service, zone);
        flow.total = flow.total.plus(new Flow(service, zone, 1, tokens, bytes, 0, 0));
        flow.tokens.add(tokens, nowMillis);
        flow.bytesSent.add(bytes, nowMillis);
    }

    /**
     * Records the end of a response to a request of this gateway.
     *
     * @param service the service
     * @param zone the availability zone of the upstream
     * @param bytes the size of what was received in bytes
     * @param nowMillis the current time in milliseconds
     */
    public void recordReceived(String service, String zone, long bytes, long nowMillis) {
        LocalFlow flow = localFlow(service, zone);
        flow.total = flow.total.plus(new Flow(service, zone, 0, 0, 0, bytes, 0));
        flow.bytesReceived.add(bytes, nowMillis);
    }

    /** Sets the share of the requests that may leave for a zone, which is part of the next report. */
    void recordShare(String service, String zone, double share) {
        LocalFlow flow = localFlow(service, zone);
        Flow total = flow.total;
        flow.total = new Flow(
                service, zone, total.requests(), total.tokens(), total.bytesSent(), total.bytesReceived(), share);
    }

    private LocalFlow localFlow(String service, String zone) {
        return localFlows.computeIfAbsent(new FlowKey(service, zone), LocalFlow::new);
    }

    /**
     * Records that a message from a gateway of a zone, or a summary of the zone, was received.
     *
     * @param zone the availability zone
     * @param nowMillis the current time in milliseconds
     */
    public void recordHeard(String zone, long nowMillis) {
        heardMillisByZone.put(zone, nowMillis);
    }

    /**
     * Replaces the report of a sender.
     *
     * @param sender the name and incarnation of the sender
     * @param zone the availability zone that the report is about
     * @param flows the totals since the start of the sender; flows that are left out keep their totals
     * @param nowMillis the current time in milliseconds
     */
    public void update(String sender, String zone, List<Flow> flows, long nowMillis) {
        Sender known = senders.computeIfAbsent(sender, key -> new Sender(zone));
        for (Flow flow : flows) {
            ReportedFlow reported = known.flows.get(flow.key());
            if (reported == null) {
                known.flows.put(flow.key(), new ReportedFlow(flow, nowMillis));
            } else {
                reported.update(flow, nowMillis);
            }
        }
    }

    /**
     * Drops the reports of silent senders.
     *
     * @param nowMillis the current time in milliseconds
     */
    public void expire(long nowMillis) {
        for (Sender sender : senders.values()) {
            sender.flows.values().removeIf(flow -> nowMillis - flow.receivedMillis > REPORT_TIMEOUT_MILLIS);
        }
        senders.values().removeIf(sender -> sender.flows.isEmpty());
    }

    /**
     * Returns the totals of this gateway by service and zone.
     *
     * @return all flows of this gateway
     */
    public List<Flow> localFlows() {
        return localFlows.values().stream().map(flow -> flow.total).toList();
    }

    /**
     * Returns the report of this gateway.
     *
     * @return its largest flows, {@link #MAX_REPORTED_FLOWS} at most
     */
    public List<Flow> report() {
        return largest(localFlows());
    }

    /**
     * Returns the report of this gateway and of the senders of its cell together.
     *
     * @param isOfCell selects the names of the senders to include
     * @return the largest flows, {@link #MAX_REPORTED_FLOWS} at most
     */
    public List<Flow> report(Predicate<String> isOfCell) {
        Map<FlowKey, Flow> sums = new HashMap<>();
        localFlows().forEach(flow -> sums.merge(flow.key(), flow, Flow::plus));
        senders.forEach((name, sender) -> {
            if (isOfCell.test(name)) {
                for (ReportedFlow flow : sender.flows.values()) {
                    sums.merge(flow.accumulated.key(), flow.accumulated.plus(shareOf(flow.latest)), Flow::plus);
                }
            }
        });
        return largest(new ArrayList<>(sums.values()));
    }

    private static Flow shareOf(Flow flow) {
        return new Flow(flow.service(), flow.zone(), 0, 0, 0, 0, flow.share());
    }

    private static List<Flow> largest(List<Flow> flows) {
        return flows.stream()
                .sorted(Comparator.comparingLong((Flow flow) -> flow.tokens() + flow.bytes())
                        .reversed())
                .limit(MAX_REPORTED_FLOWS)
                .toList();
    }

    /** Returns whether nothing has been received from the gateways of a zone for some time. */
    boolean isSilent(String zone, long nowMillis) {
        Long heardMillis = heardMillisByZone.get(zone);
        return heardMillis == null || nowMillis - heardMillis > SILENCE_MILLIS;
    }

    /** Returns whether a zone reports that requests of a service may leave it. */
    boolean isLeaving(String zone, String service, long nowMillis) {
        for (Sender sender : senders.values()) {
            if (!sender.zone.equals(zone)) {
                continue;
            }
            for (ReportedFlow flow : sender.flows.values()) {
                boolean recent = nowMillis - flow.receivedMillis <= REPORT_TIMEOUT_MILLIS;
                if (recent && flow.latest.share() > 0 && flow.latest.service().equals(service)) {
                    return true;
                }
            }
        }
        return false;
    }

    /**
     * Returns the bytes per second on the link to the region of a zone, in the direction that carries more. Both the
     * requests of this region and the responses to requests of the other region use the link outwards.
     */
    double linkBytesPerSecond(String zone, long nowMillis) {
        double outward = 0;
        double inward = 0;
        for (LocalFlow flow : localFlows.values()) {
            if (isSameRegion(flow.total.zone(), zone)) {
                outward += flow.bytesSent.perSecond(nowMillis);
                inward += flow.bytesReceived.perSecond(nowMillis);
            }
        }
        for (Sender sender : senders.values()) {
            boolean isOwnRegion = zones.distance(sender.zone) != Distance.OTHER_REGION;
            boolean isOtherRegion = isSameRegion(sender.zone, zone);
            for (ReportedFlow flow : sender.flows.values()) {
                if (isOwnRegion && isSameRegion(flow.latest.zone(), zone)) {
                    outward += flow.perSecond(Flow::bytesSent);
                    inward += flow.perSecond(Flow::bytesReceived);
                } else if (isOtherRegion && zones.distance(flow.latest.zone()) != Distance.OTHER_REGION) {
                    outward += flow.perSecond(Flow::bytesReceived);
                    inward += flow.perSecond(Flow::bytesSent);
                }
            }
        }
        return Math.max(outward, inward);
    }

    private boolean isSameRegion(String first, String second) {
        return zones.between(first, second) != Distance.OTHER_REGION;
    }

    /**
     * Returns the demand of the callers in each zone, wherever their requests are sent.
     *
     * @param service the service
     * @param nowMillis the current time in milliseconds
     * @return the prompt tokens and requested output tokens per second, by availability zone
     */
    public Map<String, Double> demandByZone(String service, long nowMillis) {
        Map<String, Double> demand = new HashMap<>();
        for (LocalFlow flow : localFlows.values()) {
            if (flow.total.service().equals(service)) {
                demand.merge(zones.zone(), flow.tokens.perSecond(nowMillis), Double::sum);
            }
        }
        for (Sender sender : senders.values()) {
            for (ReportedFlow flow : sender.flows.values()) {
                if (flow.latest.service().equals(service)) {
                    demand.merge(sender.zone, flow.perSecond(Flow::tokens), Double::sum);
                }
            }
        }
        return demand;
    }

    /** Returns the mean bytes of the requests of a service and their responses; a default before any response. */
    double meanBytes(String service, double defaultBytes) {
        long requests = 0;
        long bytes = 0;
        for (LocalFlow flow : localFlows.values()) {
            if (flow.total.service().equals(service)) {
                requests += flow.total.requests();
                bytes += flow.total.bytes();
            }
        }
        return bytes == 0 ? defaultBytes : (double) bytes / requests;
    }
}
