package org.lovagethread.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.policy.ZoneTraffic.Flow;
import org.lovagethread.wire.generated.CellState;
import org.lovagethread.wire.generated.GatewayState;
import org.lovagethread.wire.generated.ZoneFlow;

class ZoneTrafficCodecTest {
    private static final Flow FLOW = new Flow("pool", "b", 12, 34_000, 5_000_000_000L, 67, 0.25);

    /** Guards against fields that are lost on the way. */
    @Test
    void survivesEncodingOfMessages() throws Exception {
        GatewayState state = GatewayState.newBuilder()
                .setNode("n")
                .addAllZoneFlows(ZoneTrafficCodec.encode(List.of(FLOW, FLOW)))
                .build();
        CellState cell = CellState.newBuilder()
                .setZone("z")
                .addAllZoneFlows(ZoneTrafficCodec.encode(List.of(FLOW)))
                .build();
        assertThat(ZoneTrafficCodec.decode(
                        GatewayState.parseFrom(state.toByteArray()).getZoneFlowsList()))
                .containsExactly(FLOW, FLOW);
        assertThat(ZoneTrafficCodec.decode(CellState.parseFrom(cell.toByteArray()).toBuilder()
                        .clearWindows()
                        .build()
                        .getZoneFlowsList()))
                .containsExactly(FLOW);
    }

    /** Guards against an exception, or unbounded memory, because of a message with impossible values. */
    @Test
    void limitsImpossibleFlows() {
        ZoneFlow.Builder negative = ZoneFlow.newBuilder()
                .setRequests(-1)
                .setTokens(-2)
                .setBytesSent(Long.MIN_VALUE)
                .setBytesReceived(-4)
                .setSharePermille(-5);
        List<ZoneFlow> messages = new ArrayList<>();
        messages.add(negative.build());
        messages.add(ZoneFlow.newBuilder().setSharePermille(1_001).build());
        messages.addAll(Collections.nCopies(100, ZoneFlow.getDefaultInstance()));
        assertThat(ZoneTrafficCodec.decode(messages))
                .hasSizeLessThan(10)
                .startsWith(new Flow("", "", 0, 0, 0, 0, 0), new Flow("", "", 0, 0, 0, 0, 1));
    }

    /** Guards against reports that exceed the traffic planned for messages between 340 gateways. */
    @Test
    void isSmall() {
        List<Flow> flows = IntStream.range(0, 6)
                .mapToObj(i -> new Flow("service-1" + i, "highlands-a", 1L << 40, 1L << 40, 1L << 40, 1L << 40, 1))
                .toList();
        GatewayState state = GatewayState.newBuilder()
                .addAllZoneFlows(ZoneTrafficCodec.encode(flows))
                .build();
        assertThat(state.toByteArray()).hasSizeLessThan(420);
    }
}
