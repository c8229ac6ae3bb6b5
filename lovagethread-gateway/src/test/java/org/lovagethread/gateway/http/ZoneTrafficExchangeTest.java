package org.lovagethread.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.CrossZoneSettings;
import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.log.GatewayMetrics;
import org.lovagethread.gateway.policy.ZoneTopology;
import org.lovagethread.gateway.policy.ZoneTraffic.Flow;
import org.lovagethread.wire.generated.CellState;
import org.lovagethread.wire.generated.GatewayState;

class ZoneTrafficExchangeTest {
    private static final Map<String, String> REGIONS = Map.of("a", "one", "b", "one", "c", "two");

    private final GatewayMetrics metrics = new GatewayMetrics();
    private final ZoneTrafficExchange exchange = exchange(REGIONS, CrossZoneSettings.CONTROLLED);

    private ZoneTrafficExchange exchange(Map<String, String> regions, CrossZoneSettings settings) {
        return new ZoneTrafficExchange(
                new ZoneTopology("a", regions),
                settings,
                "g#1",
                new EventLog("g", new ByteArrayOutputStream()),
                metrics);
    }

    private static GatewayState report(long tokens) {
        List<Flow> flows = List.of(new Flow("pool", "b", 1, tokens, 100, 200, 0));
        return GatewayState.newBuilder()
                .setZone("b")
                .addAllZoneFlows(ZoneTrafficCodec.encode(flows))
                .build();
    }

    /** Guards against messages that grow with each state, of which several are sent every second. */
    @Test
    void reportsAtIntervals() {
        exchange.routing().traffic().recordSent("pool", "b", 10, 100, 0);
        assertThat(exchange.reportForPeers(false, 0)).isNotEmpty();
        assertThat(exchange.reportForPeers(false, 500)).isEmpty();
        assertThat(exchange.reportForPeers(false, 900)).isNotEmpty();
        assertThat(exchange.reportForCells(900)).isNotEmpty();
        assertThat(exchange.reportForCells(1_800)).isEmpty();
    }

    /** Guards against messages that change in a deployment with one zone. */
    @Test
    void reportsNothingInOneZone() {
        ZoneTrafficExchange single = exchange(Map.of("a", "one"), CrossZoneSettings.CONTROLLED);
        single.routing().traffic().recordSent("pool", "a", 10, 100, 0);
        assertThat(single.reportForPeers(false, 0)).isEmpty();
        assertThat(single.reportForCells(0)).isEmpty();
    }

    /** Guards against instances that are ordered without regard to the demand that peers and cells report. */
    @Test
    void providesDemandOfOtherZones() {
        exchange.apply(report(0), "b1#1", 0);
        exchange.apply(report(5_000), "b1#1", 1_000);
        CellState summary =
                CellState.newBuilder().setZone("c").setSpeaker("c1#1").build();
        exchange.apply(summary, 1_000);
        assertThat(exchange.demandByZone("pool", 1_000)).containsEntry("b", 5_000.0);
        ZoneTrafficExchange off = exchange(REGIONS, CrossZoneSettings.FIXED_COSTS);
        off.apply(report(0), "b1#1", 0);
        off.apply(report(5_000), "b1#1", 1_000);
        assertThat(off.demandByZone("pool", 1_000)).isEmpty();
    }

    /** Guards against traffic between zones that operators cannot see, or that is counted twice. */
    @Test
    void countsTrafficByDistance() {
        exchange.routing().traffic().recordSent("pool", "c", 10, 100, 0);
        exchange.routing().traffic().recordReceived("pool", "c", 50, 0);
        exchange.tick(500);
        exchange.tick(1_000);
        assertThat(new String(metrics.exposition(), StandardCharsets.UTF_8))
                .contains("lovagethread_zone_requests_total{distance=\"other-region\",service=\"pool\",zone=\"c\"} 1.0")
                .contains("lovagethread_zone_bytes_total{distance=\"other-region\",service=\"pool\",zone=\"c\"} 150.0");
    }
}
