package org.lovagethread.gateway.policy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class LagDetectorTest {
    private final LagDetector detector = new LagDetector();

    private void tickBetween(long fromMillis, long toMillis) {
        for (long now = fromMillis; now <= toMillis; now += 20) {
            detector.onTick(now);
        }
    }

    @Test
    void isNotLaggingWithRegularTicks() {
        tickBetween(0, 1_000);
        assertThat(detector.isLagging(1_020)).isFalse();
    }

    @Test
    void detectsPauseBeforeNextTick() {
        tickBetween(0, 1_000);
        assertThat(detector.isLagging(3_000)).isTrue();
    }

    @Test
    void reportsLagUntilRecoveryTimeHasPassed() {
        tickBetween(0, 1_000);
        tickBetween(3_000, 4_000);
        assertThat(detector.isLagging(4_010)).isTrue();
        tickBetween(4_000, 5_000);
        assertThat(detector.isLagging(5_010)).isFalse();
    }

    @Test
    void observesOnlyTheThresholdOfAPause() {
        tickBetween(0, 1_000);
        tickBetween(3_000, 4_000);
        assertThat(detector.observedMillis()).isEqualTo(1_000 + 120 + 1_000);
    }
}
