package org.lovagethread.gateway.peer;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.peer.PeerTable.GatewayInstance;
import org.lovagethread.wire.generated.GatewayState;

class PeerTableTest {
    private final PeerTable table = new PeerTable("a1", "a", 36);

    private static GatewayState state(String host, String zone, long incarnation, long sequence, int capacity) {
        return GatewayState.newBuilder()
                .setNode(host)
                .setHost(host)
                .setZone(zone)
                .setIncarnation(incarnation)
                .setSequence(sequence)
                .setReady(true)
                .setStoreReachable(true)
                .setCapacity(capacity)
                .build();
    }

    private void register(String zone, int count) {
        for (int i = 1; i <= count; i++) {
            table.add(new GatewayInstance(zone + i, zone, 36, 0));
        }
    }

    @Nested
    class Mesh {
        @Test
        void receivesStatesOfAllZones() {
            register("a", 2);
            register("b", 2);
            assertThat(table.usesCells()).isFalse();
            assertThat(table.update(state("b1", "b", 1, 1, 36), 10)).isTrue();
            assertThat(table.targetHosts()).containsExactlyInAnyOrder("a2", "b1", "b2");
        }

        @Test
        void ignoresOlderStates() {
            table.update(state("b1", "b", 2, 5, 36), 10);
            assertThat(table.update(state("b1", "b", 2, 4, 36), 20)).isFalse();
            assertThat(table.update(state("b1", "b", 1, 9, 36), 20)).isFalse();
            assertThat(table.update(state("b1", "b", 3, 1, 36), 20)).isTrue();
        }

        @Test
        void countsUnreachablePeersUntilRemoved() {
            table.update(state("b1", "b", 1, 1, 36), 0);
            assertThat(table.unreachableCount(2_000)).isEqualTo(1);
            assertThat(table.expire(PeerTable.REMOVAL_TIMEOUT_MILLIS + 1)).containsExactly("b1");
            assertThat(table.unreachableCount(PeerTable.REMOVAL_TIMEOUT_MILLIS + 1))
                    .isZero();
        }
    }

    @Nested
    class Cells {
        @Test
        void startAboveMaximumMeshSize() {
            register("a", 8);
            register("b", 8);
            assertThat(table.usesCells()).isTrue();
            assertThat(table.targetHosts()).hasSize(7).allMatch(host -> host.startsWith("a"));
            assertThat(table.update(state("b1", "b", 1, 1, 36), 10)).isFalse();
            assertThat(table.update(state("a2", "a", 1, 1, 36), 10)).isTrue();
        }

        @Test
        void haveReadyGatewayOfHighestCapacityAsSpeaker() {
            register("a", 8);
            register("b", 8);
            assertThat(table.speakerHost(true, true, 10)).isEqualTo("a1");
            table.update(state("a3", "a", 1, 1, 150), 10);
            assertThat(table.speakerHost(true, true, 10)).isEqualTo("a3");
            assertThat(table.speakerHost(true, true, 10 + PeerTable.PEER_TIMEOUT_MILLIS))
                    .isEqualTo("a1");
        }

        @Test
        void preferSpeakerThatReachesStore() {
            register("a", 8);
            register("b", 8);
            GatewayState highestCapacity = state("a3", "a", 1, 1, 150).toBuilder()
                    .setStoreReachable(false)
                    .build();
            table.update(highestCapacity, 10);
            table.update(state("a4", "a", 1, 1, 36), 10);
            assertThat(table.speakerHost(true, false, 10)).isEqualTo("a4");
            GatewayState withoutStore = state("a4", "a", 1, 2, 36).toBuilder()
                    .setStoreReachable(false)
                    .build();
            table.update(withoutStore, 20);
            assertThat(table.speakerHost(true, false, 20)).isEqualTo("a3");
        }

        @Test
        void startOnSummaryEvenIfFewGatewaysAreKnown() {
            register("a", 2);
            table.recordCellSummary(10);
            assertThat(table.usesCells()).isTrue();
            table.update(
                    state("a2", "a", 1, 1, 36).toBuilder().setKnownGateways(18).build(), 20);
            assertThat(table.estimatedGateways()).isEqualTo(18);
            assertThat(table.knownGateways()).isEqualTo(2);
            table.expire(20_000);
            assertThat(table.usesCells()).isTrue();
        }

        @Test
        void endWithoutSummariesIfFewGatewaysAreKnown() {
            register("a", 2);
            table.recordCellSummary(10);
            table.expire(20_000);
            assertThat(table.usesCells()).isFalse();
        }

        @Test
        void rankGatewaysByCapacity() {
            register("a", 8);
            register("b", 8);
            assertThat(table.rank()).isZero();
            table.add(new GatewayInstance("a3", "a", 150, 0));
            assertThat(table.rank()).isEqualTo(1);
        }

        @Test
        void keepInstancesOfOtherZonesOnExpiry() {
            register("a", 8);
            register("b", 8);
            assertThat(table.expire(PeerTable.REMOVAL_TIMEOUT_MILLIS + 1)).allMatch(host -> host.startsWith("a"));
            assertThat(table.instances("b")).hasSize(8);
        }
    }
}
