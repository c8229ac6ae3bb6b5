package org.lovagethread.gateway.policy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class FailureDetectorTest {

    @Test
    void avoidsUpstreamWithHighFailureRate() {
        FailureDetector detector = new FailureDetector();
        for (int i = 0; i < 10; i++) {
            detector.recordOutcome(i % 2 == 0, i * 20L);
        }
        assertThat(detector.shouldAvoid(200)).isTrue();
    }

    @Test
    void acceptsUpstreamWithLowFailureRate() {
        FailureDetector detector = new FailureDetector();
        for (int i = 0; i < 50; i++) {
            detector.recordOutcome(i % 7 != 0, i * 20L);
        }
        assertThat(detector.shouldAvoid(1_000)).isFalse();
    }

    @Test
    void acceptsUpstreamAfterFailuresHaveDecayed() {
        FailureDetector detector = new FailureDetector();
        for (int i = 0; i < 4; i++) {
            detector.recordOutcome(false, 0);
        }
        assertThat(detector.shouldAvoid(0)).isTrue();
        assertThat(detector.shouldAvoid(15_000)).isFalse();
    }

    @Test
    void limitsTrialsOfAvoidedUpstream() {
        FailureDetector detector = new FailureDetector();
        detector.recordOutcome(false, 0);
        detector.recordOutcome(false, 0);
        assertThat(detector.tryAcquireTrial(10)).isTrue();
        assertThat(detector.tryAcquireTrial(20)).isFalse();
        assertThat(detector.tryAcquireTrial(1_000)).isTrue();
    }

    @Test
    void allowsNoTrialWhileUnreachable() {
        FailureDetector detector = new FailureDetector();
        detector.recordUnreachable(0, 1_500);
        assertThat(detector.shouldAvoid(100)).isTrue();
        assertThat(detector.tryAcquireTrial(100)).isFalse();
        assertThat(detector.tryAcquireTrial(1_600)).isTrue();
    }
}
