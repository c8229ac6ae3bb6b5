package org.lovagethread.gateway.peer;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ClusterClockTest {
    private final ClusterClock agreement = new ClusterClock();

    @Test
    void isTheOwnClockWithoutPeers() {
        assertThat(agreement.currentMillis(5_000, 100)).isEqualTo(5_000);
    }

    @Test
    void passesOverALoneJump() {
        agreement.update("b", 5_000, 100);
        agreement.update("c", 5_001, 100);
        assertThat(agreement.currentMillis(7_400, 100)).isBetween(5_000L, 5_001L);
    }

    @Test
    void forgetsPeersThatAreNotHeard() {
        agreement.update("b", 5_000, 100);
        agreement.update("c", 5_000, 100);
        assertThat(agreement.currentMillis(90_000, 10_000)).isEqualTo(90_000);
    }
}
