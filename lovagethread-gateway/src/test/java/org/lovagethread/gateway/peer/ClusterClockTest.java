package org.lovagethread.gateway.peer;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ClusterClockTest {
    private final ClusterClock clock = new ClusterClock();

    @Test
    void equalsLocalClockWithoutPeers() {
        assertThat(clock.clusterMillis(5_000, 100)).isEqualTo(5_000);
    }

    @Test
    void ignoresJumpOfSingleClock() {
        clock.update("b", 5_000, 100);
        clock.update("c", 5_001, 100);
        assertThat(clock.clusterMillis(7_400, 100)).isBetween(5_000L, 5_001L);
    }

    @Test
    void discardsOffsetsOfUnreachablePeers() {
        clock.update("b", 5_000, 100);
        clock.update("c", 5_000, 100);
        assertThat(clock.clusterMillis(90_000, 10_000)).isEqualTo(90_000);
    }
}
