package org.lovagethread.gateway.http;

import java.util.List;
import java.util.Map;
import org.lovagethread.gateway.CrossZoneSettings;
import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.log.GatewayMetrics;
import org.lovagethread.gateway.policy.CrossZoneRouting;
import org.lovagethread.gateway.policy.ZoneTopology;
import org.lovagethread.gateway.policy.ZoneTraffic;
import org.lovagethread.wire.generated.CellState;
import org.lovagethread.wire.generated.GatewayState;
import org.lovagethread.wire.generated.ZoneFlow;

/** Exchanges the traffic between zones with peers, and reports it in the log and the metrics. */
final class ZoneTrafficExchange {
    /** Interval between two reports in a full mesh, in milliseconds. */
    private static final long MESH_INTERVAL_MILLIS = 900;

    /** Interval between two reports in cell mode, where each is sent to many gateways, in milliseconds. */
    private static final long CELL_INTERVAL_MILLIS = 3_600;

    private static final int PERCENT = 100;

    private final CrossZoneRouting routing;
    private final ZoneTopology zones;
    private final boolean followsDemand;
    private final EventLog log;
    private final GatewayMetrics metrics;
    private long nextReportMillis;
    private long nextSummaryMillis;

    /**
     * Creates an exchange.
     *
     * @param zones the distances between availability zones
     * @param settings the settings of the traffic between zones
     * @param process the name and incarnation of this gateway, from which the seed of its random decisions is derived
     * @param log receives a line for each substantial change of a share
     * @param metrics receive the traffic and the shares
     */
    ZoneTrafficExchange(
            ZoneTopology zones, CrossZoneSettings settings, String process, EventLog log, GatewayMetrics metrics) {
        this.routing = new CrossZoneRouting(zones, settings, process.hashCode());
        this.zones = zones;
        this.followsDemand = settings.enabled();
        this.log = log;
        this.metrics = metrics;
    }

    /** Returns what decides which requests leave the zone. */
    CrossZoneRouting routing() {
        return routing;
    }

    /** Returns the tokens per second that callers in each zone request; empty if instances are distributed evenly. */
    Map<String, Double> demandByZone(String service, long nowMillis) {
        return followsDemand ? routing.traffic().demandByZone(service, nowMillis) : Map.of();
    }

    /** Returns the flows that the next state of this gateway contains; none if no report is due. */
    List<ZoneFlow> reportForPeers(boolean usesCells, long nowMillis) {
        if (nowMillis < nextReportMillis || !isReported()) {
            return List.of();
        }
        nextReportMillis = nowMillis + (usesCells ? CELL_INTERVAL_MILLIS : MESH_INTERVAL_MILLIS);
        return ZoneTrafficCodec.encode(routing.traffic().report());
    }

    /** Returns the flows that the next summary of the cell contains; none if no report is due. */
    List<ZoneFlow> reportForCells(long nowMillis) {
        if (nowMillis < nextSummaryMillis || !isReported()) {
            return List.of();
        }
        nextSummaryMillis = nowMillis + CELL_INTERVAL_MILLIS;
        return ZoneTrafficCodec.encode(
                routing.traffic().report(sender -> !sender.startsWith(CellExchange.CELL_PREFIX)));
    }

    private boolean isReported() {
        return followsDemand && zones.regionByZone().size() > 1;
    }

    /** Applies the state of a peer. */
    void apply(GatewayState state, String process, long nowMillis) {
        routing.traffic().recordHeard(state.getZone(), nowMillis);
        routing.traffic()
                .update(process, state.getZone(), ZoneTrafficCodec.decode(state.getZoneFlowsList()), nowMillis);
    }

    /** Applies the summary of another cell. */
    void apply(CellState state, long nowMillis) {
        routing.traffic().recordHeard(state.getZone(), nowMillis);
        routing.traffic()
                .update(
                        CellExchange.CELL_PREFIX + state.getSpeaker(),
                        state.getZone(),
                        ZoneTrafficCodec.decode(state.getZoneFlowsList()),
                        nowMillis);
    }

    /** Updates the metrics, logs the changes of shares, and lowers the shares of services without requests. */
    void tick(long nowMillis) {
        routing.tick(nowMillis);
        for (ZoneTraffic.Flow flow : routing.traffic().localFlows()) {
            String distance = zones.distance(flow.zone()).label();
            metrics.recordZoneTraffic(flow.service(), flow.zone(), distance, flow.requests(), flow.bytes());
            metrics.setZoneShare(flow.service(), flow.zone(), flow.share());
        }
        for (CrossZoneRouting.Change change : routing.takeChanges()) {
            log.add(log.line("zone-share-" + change.kind().label())
                    .put("service", change.service())
                    .put("zone", change.zone())
                    .put("share_percent", Math.round(change.share() * PERCENT))
                    .put("gain_ms", Math.round(change.gainMillis()))
                    .put("own_percent", Math.round(change.ownUtilization() * PERCENT))
                    .put("target_percent", Math.round(change.targetUtilization() * PERCENT)));
        }
    }
}
