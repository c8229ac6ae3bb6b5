package org.lovagethread.gateway.peer;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ClockAgreementTest {
    private final ClockAgreement agreement = new ClockAgreement();

    @Test
    void isTheOwnClockWithoutPeers() {
        assertThat(agreement.trueMillis(5_000, 100)).isEqualTo(5_000);
    }

    @Test
    void passesOverALoneJump() {
        agreement.heard("b", 5_000, 100);
        agreement.heard("c", 5_001, 100);
        assertThat(agreement.trueMillis(7_400, 100)).isBetween(5_000L, 5_001L);
    }

    @Test
    void forgetsPeersThatAreNotHeard() {
        agreement.heard("b", 5_000, 100);
        agreement.heard("c", 5_000, 100);
        assertThat(agreement.trueMillis(90_000, 10_000)).isEqualTo(90_000);
    }
}
