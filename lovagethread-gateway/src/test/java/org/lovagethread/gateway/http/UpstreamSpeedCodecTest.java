package org.lovagethread.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnknownFieldSet;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.upstream.SpeedSums;
import org.lovagethread.gateway.upstream.Upstream;
import org.lovagethread.gateway.upstream.UpstreamEntry;
import org.lovagethread.gateway.upstream.UpstreamSpeed;
import org.lovagethread.wire.generated.GatewayState;

class UpstreamSpeedCodecTest {
    private static final double LOG_SPEED = 0.5;
    private static final int MAX_BYTES = 1_200;

    private final UpstreamSpeedCodec codec = new UpstreamSpeedCodec();

    private static List<Upstream> upstreams(int count, long startedAtMillis) {
        List<Upstream> upstreams = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            upstreams.add(new Upstream(
                    new UpstreamEntry("i-" + i, "pool", "10.0.0.1", 80, "a", 24, false, false, startedAtMillis)));
        }
        return upstreams;
    }

    private static List<Upstream> sampled(int count) {
        List<Upstream> upstreams = upstreams(count, 1);
        SpeedSums sums = SpeedSums.of(200, 200 * LOG_SPEED, 60).orElseThrow();
        upstreams.forEach(upstream -> upstream.speed().updatePeer("g0", sums, 0));
        return upstreams;
    }

    private GatewayState report(List<Upstream> upstreams) throws InvalidProtocolBufferException {
        GatewayState sent = GatewayState.newBuilder()
                .setNode("g1")
                .mergeUnknownFields(codec.encode(
                        UpstreamSpeedCodec.GATEWAY_FIELD, upstreams, speed -> speed.totalExcept(peer -> false)))
                .build();
        return GatewayState.parseFrom(sent.toByteArray());
    }

    private static void apply(GatewayState state, List<Upstream> upstreams) {
        UpstreamSpeedCodec.applyPeer(state.getUnknownFields(), UpstreamSpeedCodec.GATEWAY_FIELD, "g1", upstreams, 0);
    }

    /** Fails if speeds are lost between gateways, for example because the field became a known one. */
    @Test
    void transfersSpeeds() throws InvalidProtocolBufferException {
        List<Upstream> receiving = upstreams(3, 1);
        apply(report(sampled(3)), receiving);
        SpeedSums received = receiving.get(2).speed().totalExcept(peer -> false);
        assertThat(received.samples()).isCloseTo(200, within(0.1));
        assertThat(received.logSum()).isCloseTo(200 * LOG_SPEED, within(0.1));
        assertThat(received.deviationSum()).isCloseTo(60, within(0.1));
    }

    /** Fails if the speed of a process is attributed to the process that replaced it. */
    @Test
    void ignoresReportsAboutEarlierProcess() throws InvalidProtocolBufferException {
        List<Upstream> restarted = upstreams(3, 2);
        apply(report(sampled(3)), restarted);
        assertThat(restarted).allSatisfy(upstream -> assertThat(
                        upstream.speed().totalExcept(peer -> false).samples())
                .isZero());
    }

    /** Fails if the reports of 600 upstreams exceed the bandwidth between gateways, or some are never reported. */
    @Test
    void reportsManyUpstreamsInTurns() throws InvalidProtocolBufferException {
        List<Upstream> sending = sampled(600);
        List<Upstream> receiving = upstreams(600, 1);
        for (int i = 0; i < 10; i++) {
            GatewayState state = report(sending);
            assertThat(state.getSerializedSize()).isLessThan(MAX_BYTES);
            apply(state, receiving);
        }
        assertThat(receiving)
                .allSatisfy(upstream -> assertThat(upstream.speed().factor(0)).isGreaterThan(1.3));
    }

    /** Fails if unreadable bytes of another version stop the processing of a message. */
    @Test
    void ignoresUnreadableBytes() {
        UnknownFieldSet unreadable = UnknownFieldSet.newBuilder()
                .addField(
                        UpstreamSpeedCodec.GATEWAY_FIELD,
                        UnknownFieldSet.Field.newBuilder()
                                .addLengthDelimited(ByteString.copyFromUtf8("\u0007xyz"))
                                .build())
                .build();
        List<Upstream> receiving = upstreams(1, 1);
        UpstreamSpeedCodec.applyPeer(unreadable, UpstreamSpeedCodec.GATEWAY_FIELD, "g1", receiving, 0);
        assertThat(receiving.get(0).speed().factor(0)).isEqualTo(1);
    }

    /** Fails if upstreams without samples are reported. */
    @Test
    void omitsUpstreamsWithoutSamples() {
        assertThat(codec.encode(UpstreamSpeedCodec.CELL_FIELD, upstreams(5, 1), UpstreamSpeed::local)
                        .asMap())
                .isEmpty();
    }
}
