package org.lovagethread.gateway.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.config.ClientLimits;
import org.lovagethread.gateway.config.GatewayConfiguration;
import org.lovagethread.gateway.config.Route;
import org.lovagethread.gateway.config.RouteKind;
import org.lovagethread.gateway.config.RouteTable;
import org.lovagethread.gateway.config.ServiceSpec;
import org.lovagethread.gateway.config.ServiceSpec.EngineSpec;
import org.lovagethread.gateway.config.ServiceSpec.FleetSpec;
import org.lovagethread.gateway.engine.EngineModels;
import org.lovagethread.gateway.policy.FleetPlanner;
import org.lovagethread.gateway.upstream.SpeedSums;
import org.lovagethread.gateway.upstream.Upstream;
import org.lovagethread.gateway.upstream.UpstreamEntry;
import org.lovagethread.gateway.upstream.UpstreamTable;

class FleetDemandTest {
    private static final double TOKENS_PER_SECOND = 2_000_000;
    private static final ServiceSpec SERVICE = new ServiceSpec(
            "pool",
            290,
            Optional.of(new EngineSpec(48, 900_000)),
            Optional.of(new FleetSpec(1, 100, 4_000, 0.15, Map.of("a", 1.0))));
    private static final Route ROUTE = Route.builder("r")
            .match("h", "/")
            .kind(RouteKind.EVENT_STREAM, true, 2)
            .times(15_000, 600, 250)
            .services(List.of(new Route.WeightedService("pool", 1)))
            .build();

    private static int needed(double speed) {
        UpstreamTable upstreams = new UpstreamTable();
        SpeedSums sums = SpeedSums.of(2_000, 2_000 * Math.log(speed), 600).orElseThrow();
        for (int i = 0; i < 3; i++) {
            upstreams.put(new UpstreamEntry("i-" + i, "pool", "10.0.0.1", 80, "a", 48, false, true, 1), 1, 0);
        }
        for (Upstream upstream : upstreams.all()) {
            upstream.speed().updatePeer("g", sums, 0);
        }
        GatewayConfiguration configuration = new GatewayConfiguration(
                1, new RouteTable(List.of(ROUTE)), Map.of("pool", SERVICE), Map.of(), List.of(), ClientLimits.DEFAULT);
        return new FleetDemand(upstreams, new EngineModels(), new FleetPlanner())
                .measure(configuration, SERVICE, TOKENS_PER_SECOND, 0)
                .needed();
    }

    /** Fails if a fleet of slow instances is planned as if they had the speed that the engine model refers to. */
    @Test
    void countsInstancesOfMeanSpeed() {
        assertThat((double) needed(0.5) / needed(1)).isBetween(1.6, 2.6);
    }
}
