package org.lovagethread.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.rollout.Rollout;
import org.lovagethread.gateway.rollout.RolloutReport;
import org.lovagethread.gateway.rollout.RolloutStage;
import org.lovagethread.gateway.rollout.VersionStatistics;
import org.lovagethread.wire.generated.GatewayState;
import org.lovagethread.wire.generated.RolloutSummary;
import org.lovagethread.wire.generated.RouteStatistics;

class RolloutReportCodecTest {
    private static RolloutReport report(VersionStatistics statistics) {
        return new RolloutReport(new Rollout("desk", "v2", 7, 12_000, 5_000), RolloutStage.SHIFTING, 1, statistics);
    }

    /** Guards against reports that are lost or changed on the way through the state message. */
    @Test
    void decodesWhatItEncodes() throws Exception {
        VersionStatistics statistics = new VersionStatistics();
        statistics.recordFailure("r", 0);
        statistics.recordResponse("r", VersionStatistics.FULL_LOAD, 90);
        statistics.recordSent("r", VersionStatistics.CONTROL);
        GatewayState state = GatewayState.newBuilder()
                .setNode("g")
                .addAllRollouts(RolloutReportCodec.encode(List.of(report(statistics)), true, 1_000))
                .build();
        GatewayState received = GatewayState.parseFrom(state.toByteString());
        List<RolloutReport> reports = RolloutReportCodec.decode(received.getRolloutsList(), 50_000);
        assertThat(reports).hasSize(1);
        assertThat(reports.get(0).rollout()).isEqualTo(new Rollout("desk", "v2", 7, 12_000, 54_000));
        assertThat(reports.get(0).stage()).isEqualTo(RolloutStage.SHIFTING);
        assertThat(reports.get(0).stoppedGateways()).isEqualTo(1);
        assertThat(reports.get(0).statistics().countsByRoute().get("r"))
                .isDeepEqualTo(statistics.countsByRoute().get("r"));
    }

    /** Guards against impossible values of a peer that are applied or end the handling of its message. */
    @Test
    void skipsWhatItCannotRead() {
        RolloutSummary valid = RolloutReportCodec.encode(List.of(report(new VersionStatistics())), false, 1_000)
                .get(0);
        assertThat(RolloutReportCodec.decode(List.of(valid), 0)).hasSize(1);
        List<RolloutSummary> invalid = List.of(
                RolloutSummary.getDefaultInstance(),
                valid.toBuilder().setStage(5).build(),
                valid.toBuilder().setDurationMillis(0).build(),
                valid.toBuilder().setDurationMillis(Long.MAX_VALUE).build(),
                withCounts(valid, -1, -1, -1),
                withCounts(valid, VersionStatistics.COUNTS, 1),
                withCounts(valid, 127, 1, 127, 1, 127),
                withCounts(valid, -1, 1, 1));
        assertThat(RolloutReportCodec.decode(invalid, 0)).isEmpty();
    }

    private static RolloutSummary withCounts(RolloutSummary summary, int... bytes) {
        byte[] counts = new byte[bytes.length];
        for (int i = 0; i < bytes.length; i++) {
            counts[i] = (byte) bytes[i];
        }
        RouteStatistics.Builder route = RouteStatistics.newBuilder().setRoute("r");
        return summary.toBuilder()
                .addRoutes(route.setCounts(ByteString.copyFrom(counts)))
                .build();
    }

    /** Guards against a message of a peer with so many reports that handling them delays requests. */
    @Test
    void limitsTheNumberOfReports() {
        List<RolloutReport> reports = Collections.nCopies(100, report(new VersionStatistics()));
        assertThat(RolloutReportCodec.decode(RolloutReportCodec.encode(reports, false, 0), 0))
                .hasSize(32);
    }

    /** Guards against messages whose size grows with the number of responses. */
    @Test
    void boundsTheSize() {
        VersionStatistics statistics = new VersionStatistics();
        for (int i = 0; i < 100_000; i++) {
            statistics.recordResponse("route-" + i % 40, i % VersionStatistics.GROUPS, 20 + i % 400);
        }
        int bytes = GatewayState.newBuilder()
                .addAllRollouts(RolloutReportCodec.encode(List.of(report(statistics)), true, 0))
                .build()
                .getSerializedSize();
        assertThat(bytes).isLessThan(4_000);
    }
}
