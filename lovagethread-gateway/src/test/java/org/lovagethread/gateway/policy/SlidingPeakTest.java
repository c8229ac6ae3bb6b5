package org.lovagethread.gateway.policy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class SlidingPeakTest {
    private final SlidingPeak peak = new SlidingPeak(12_000);

    @Test
    void risesAtOnce() {
        assertThat(peak.add(3, 0)).isEqualTo(3);
        assertThat(peak.add(7, 100)).isEqualTo(7);
        assertThat(peak.add(2, 200)).isEqualTo(7);
    }

    @Test
    void fallsToTheHighestOfTheLastSecondsAndNotToTheLastValue() {
        peak.add(9, 0);
        peak.add(6, 6_000);
        assertThat(peak.add(1, 11_900)).isEqualTo(9);
        assertThat(peak.add(1, 12_100)).isEqualTo(6);
        assertThat(peak.add(1, 18_100)).isEqualTo(1);
    }

    @Test
    void forgetsAllAfterALongPause() {
        peak.add(9, 0);
        assertThat(peak.add(0, 500_000)).isZero();
    }
}
