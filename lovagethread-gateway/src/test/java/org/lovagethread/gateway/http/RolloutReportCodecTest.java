package org.lovagethread.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnknownFieldSet;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.rollout.Rollout;
import org.lovagethread.gateway.rollout.RolloutReport;
import org.lovagethread.gateway.rollout.RolloutStage;
import org.lovagethread.gateway.rollout.VersionStatistics;
import org.lovagethread.wire.generated.GatewayState;

class RolloutReportCodecTest {
    private static final int FIELD = RolloutReportCodec.GATEWAY_FIELD;

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
                .setUnknownFields(RolloutReportCodec.encode(List.of(report(statistics)), FIELD, true, 1_000))
                .build();
        GatewayState received = GatewayState.parseFrom(state.toByteString());
        List<RolloutReport> reports = RolloutReportCodec.decode(received.getUnknownFields(), FIELD, 50_000);
        assertThat(reports).hasSize(1);
        assertThat(reports.get(0).rollout()).isEqualTo(new Rollout("desk", "v2", 7, 12_000, 54_000));
        assertThat(reports.get(0).stage()).isEqualTo(RolloutStage.SHIFTING);
        assertThat(reports.get(0).stoppedGateways()).isEqualTo(1);
        assertThat(reports.get(0).statistics().countsByRoute().get("r"))
                .isDeepEqualTo(statistics.countsByRoute().get("r"));
    }

    /** Guards against unreadable bytes of a peer that end the handling of its message. */
    @Test
    void skipsWhatItCannotRead() {
        UnknownFieldSet garbage = UnknownFieldSet.newBuilder()
                .addField(
                        FIELD,
                        UnknownFieldSet.Field.newBuilder()
                                .addLengthDelimited(ByteString.copyFrom(new byte[] {-1, -1, -1}))
                                .addLengthDelimited(ByteString.EMPTY)
                                .build())
                .build();
        assertThat(RolloutReportCodec.decode(garbage, FIELD, 0)).isEmpty();
    }

    /** Guards against messages whose size grows with the number of responses. */
    @Test
    void boundsTheSize() {
        VersionStatistics statistics = new VersionStatistics();
        for (int i = 0; i < 100_000; i++) {
            statistics.recordResponse("route-" + i % 40, i % VersionStatistics.GROUPS, 20 + i % 400);
        }
        int bytes = RolloutReportCodec.encode(List.of(report(statistics)), FIELD, true, 0)
                .getSerializedSize();
        assertThat(bytes).isLessThan(4_000);
    }
}
