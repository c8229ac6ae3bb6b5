package org.lovagethread.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnknownFieldSet;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.policy.ZoneTraffic.Flow;
import org.lovagethread.wire.generated.CellState;
import org.lovagethread.wire.generated.GatewayState;

class ZoneTrafficCodecTest {
    private static final Flow FLOW = new Flow("pool", "b", 12, 34_000, 5_000_000_000L, 67, 0.25);

    /** Guards against fields that are lost on the way, for example because the generated message declares them. */
    @Test
    void survivesEncodingOfMessages() throws Exception {
        GatewayState state = GatewayState.newBuilder()
                .setNode("n")
                .mergeUnknownFields(ZoneTrafficCodec.encode(List.of(FLOW, FLOW), ZoneTrafficCodec.GATEWAY_STATE_FIELD))
                .build();
        CellState cell = CellState.newBuilder()
                .setZone("z")
                .mergeUnknownFields(ZoneTrafficCodec.encode(List.of(FLOW), ZoneTrafficCodec.CELL_STATE_FIELD))
                .build();
        assertThat(ZoneTrafficCodec.decode(
                        GatewayState.parseFrom(state.toByteArray()).getUnknownFields(),
                        ZoneTrafficCodec.GATEWAY_STATE_FIELD))
                .containsExactly(FLOW, FLOW);
        assertThat(ZoneTrafficCodec.decode(
                        CellState.parseFrom(cell.toByteArray()).toBuilder()
                                .clearWindows()
                                .build()
                                .getUnknownFields(),
                        ZoneTrafficCodec.CELL_STATE_FIELD))
                .containsExactly(FLOW);
    }

    /** Guards against an exception, or unbounded memory, because of a malformed message. */
    @Test
    void ignoresMalformedFlows() {
        UnknownFieldSet.Field.Builder field = UnknownFieldSet.Field.newBuilder()
                .addLengthDelimited(ByteString.copyFrom(new byte[] {(byte) 0xff, 1, 2}))
                .addVarint(7);
        IntStream.range(0, 100).forEach(i -> field.addLengthDelimited(ByteString.EMPTY));
        UnknownFieldSet fields =
                UnknownFieldSet.newBuilder().addField(27, field.build()).build();
        assertThat(ZoneTrafficCodec.decode(fields, 27)).hasSizeLessThan(10);
    }

    /** Guards against reports that exceed the traffic planned for messages between 340 gateways. */
    @Test
    void isSmall() {
        List<Flow> flows = IntStream.range(0, 6)
                .mapToObj(i -> new Flow("service-1" + i, "highlands-a", 1L << 40, 1L << 40, 1L << 40, 1L << 40, 1))
                .toList();
        assertThat(ZoneTrafficCodec.encode(flows, 27).toByteArray()).hasSizeLessThan(420);
    }
}
