package org.lovagethread.gateway.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.policy.ZoneTraffic.Flow;

class ZoneTrafficTest {
    private static final Map<String, String> REGIONS = Map.of("a", "one", "b", "one", "c", "two");
    private static final String SERVICE = "pool";

    private final ZoneTraffic traffic = new ZoneTraffic(new ZoneTopology("a", REGIONS));

    private static Flow flow(String zone, long tokens, long sent, long received, double share) {
        return new Flow(SERVICE, zone, 1, tokens, sent, received, share);
    }

    @Nested
    class Reports {
        /** Guards against traffic that is counted twice or is lost with one message. */
        @Test
        void maybeLostOrDuplicated() {
            traffic.update("b1", "b", List.of(flow("b", 0, 0, 0, 0)), 0);
            traffic.update("b1", "b", List.of(flow("b", 1_000, 0, 0, 0)), 1_000);
            traffic.update("b1", "b", List.of(flow("b", 1_000, 0, 0, 0)), 1_000);
            traffic.update("b1", "b", List.of(flow("b", 4_000, 0, 0, 0)), 4_000);
            assertThat(traffic.demandByZone(SERVICE, 4_000).get("b")).isCloseTo(1_000, within(1.0));
        }

        /** Guards against old reports that count as current traffic. */
        @Test
        void expire() {
            traffic.update("b1", "b", List.of(flow("c", 0, 0, 0, 0.3)), 0);
            assertThat(traffic.isLeaving("b", SERVICE, 1_000)).isTrue();
            long lateMillis = 1 + ZoneTraffic.REPORT_TIMEOUT_MILLIS;
            assertThat(traffic.isLeaving("b", SERVICE, lateMillis)).isFalse();
            traffic.expire(lateMillis);
            assertThat(traffic.demandByZone(SERVICE, lateMillis)).isEmpty();
        }

        /** Guards against messages that grow with the number of services. */
        @Test
        void areBounded() {
            for (int i = 0; i < 50; i++) {
                traffic.recordSent("s" + i, "b", i, i, 0);
            }
            assertThat(traffic.report()).hasSize(ZoneTraffic.MAX_REPORTED_FLOWS);
            assertThat(traffic.report().get(0).service()).isEqualTo("s49");
        }

        /** Guards against a summary that jumps when a member with large totals joins the cell. */
        @Test
        void ofCellContainOnlyTrafficSinceFirstReport() {
            traffic.recordSent(SERVICE, "a", 10, 0, 0);
            traffic.update("a1", "a", List.of(flow("a", 5_000, 0, 0, 0.1)), 0);
            traffic.update("a1", "a", List.of(flow("a", 5_100, 0, 0, 0.2)), 1_000);
            traffic.update("cell:b", "b", List.of(flow("b", 9_000, 0, 0, 0)), 1_000);
            assertThat(traffic.report(sender -> !sender.startsWith("cell:")))
                    .singleElement()
                    .satisfies(sum -> {
                        assertThat(sum.tokens()).isEqualTo(110);
                        assertThat(sum.share()).isEqualTo(0.2);
                    });
        }
    }

    @Nested
    class Link {
        /** Guards against a link that seems free because the traffic of other gateways is not counted. */
        @Test
        void carriesTrafficOfAllGatewaysOfBothRegions() {
            traffic.update("b1", "b", List.of(flow("c", 0, 0, 0, 0)), 0);
            traffic.update("c1", "c", List.of(flow("a", 0, 0, 0, 0), flow("c", 0, 0, 0, 0)), 0);
            traffic.update("b1", "b", List.of(flow("c", 0, 2_000, 100, 0)), 1_000);
            traffic.update("c1", "c", List.of(flow("a", 0, 100, 3_000, 0), flow("c", 0, 9_000, 9_000, 0)), 1_000);
            assertThat(traffic.linkBytesPerSecond("c", 1_000)).isCloseTo(5_000, within(1.0));
            assertThat(traffic.linkBytesPerSecond("b", 1_000)).isLessThan(5_000);
        }
    }

    @Nested
    class Silence {
        /** Guards against zones whose gateways were never heard but count as heard. */
        @Test
        void lastsUntilFirstMessage() {
            assertThat(traffic.isSilent("b", 0)).isTrue();
            traffic.recordHeard("b", 100);
            assertThat(traffic.isSilent("b", 200)).isFalse();
            assertThat(traffic.isSilent("b", 101 + ZoneTraffic.SILENCE_MILLIS)).isTrue();
        }
    }
}
