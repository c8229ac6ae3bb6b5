package org.lovagethread.gateway.policy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class FailureDetectorTest {

    @Test
    void avoidsAnUpstreamThatFailsOften() {
        FailureDetector detector = new FailureDetector();
        for (int i = 0; i < 10; i++) {
            detector.observed(i % 2 == 0, i * 20L);
        }
        assertThat(detector.avoided(200)).isTrue();
    }

    @Test
    void keepsAnUpstreamWithTheUsualErrors() {
        FailureDetector detector = new FailureDetector();
        for (int i = 0; i < 50; i++) {
            detector.observed(i % 7 != 0, i * 20L);
        }
        assertThat(detector.avoided(1_000)).isFalse();
    }

    @Test
    void returnsAfterFailuresHaveFaded() {
        FailureDetector detector = new FailureDetector();
        for (int i = 0; i < 4; i++) {
            detector.observed(false, 0);
        }
        assertThat(detector.avoided(0)).isTrue();
        assertThat(detector.avoided(15_000)).isFalse();
    }

    @Test
    void triesAnAvoidedUpstreamOneRequestAtATime() {
        FailureDetector detector = new FailureDetector();
        detector.observed(false, 0);
        detector.observed(false, 0);
        assertThat(detector.tryTrial(10)).isTrue();
        assertThat(detector.tryTrial(20)).isFalse();
        assertThat(detector.tryTrial(1_000)).isTrue();
    }

    @Test
    void doesNotTryAnUpstreamThatWasJustUnreachable() {
        FailureDetector detector = new FailureDetector();
        detector.unreachable(0, 1_500);
        assertThat(detector.avoided(100)).isTrue();
        assertThat(detector.tryTrial(100)).isFalse();
        assertThat(detector.tryTrial(1_600)).isTrue();
    }
}
