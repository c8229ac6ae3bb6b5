package org.lovagethread.gateway.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class StallDetectorTest {
    private final StallDetector detector = new StallDetector();

    /** Fails if a stalled engine receives new prompts until its next response arrives. */
    @Test
    void seesOverdueResponseUntilItArrives() {
        StallDetector.Expectation expectation = detector.start(100, 1_000);
        assertThat(detector.overdueSlowdown(1_200)).isEqualTo(1);
        assertThat(detector.overdueSlowdown(1_400)).isGreaterThan(3);
        detector.end(expectation);
        assertThat(detector.overdueSlowdown(1_400)).isEqualTo(1);
    }

    /** Fails if an upstream that was avoided after slow responses is avoided forever, as it then sends none. */
    @Test
    void forgetsSlowResponses() {
        for (int i = 0; i < 20; i++) {
            detector.record(3, i);
        }
        assertThat(detector.recentSlowdown(1, 1_000)).isGreaterThan(2);
        assertThat(detector.recentSlowdown(1, 40_000)).isLessThan(1.01);
    }

    /** Fails if an unanswered request makes the predicted time grow without bound. */
    @Test
    void boundsSlowdown() {
        detector.start(10, 0);
        assertThat(detector.overdueSlowdown(1_000_000)).isEqualTo(4);
    }
}
