package org.lovagethread.gateway.policy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class SlidingMaximumTest {
    private final SlidingMaximum maximum = new SlidingMaximum(12_000);

    @Test
    void risesImmediately() {
        assertThat(maximum.add(3, 0)).isEqualTo(3);
        assertThat(maximum.add(7, 100)).isEqualTo(7);
        assertThat(maximum.add(2, 200)).isEqualTo(7);
    }

    @Test
    void fallsToMaximumOfWindow() {
        maximum.add(9, 0);
        maximum.add(6, 6_000);
        assertThat(maximum.add(1, 11_900)).isEqualTo(9);
        assertThat(maximum.add(1, 12_100)).isEqualTo(6);
        assertThat(maximum.add(1, 18_100)).isEqualTo(1);
    }

    @Test
    void discardsAllValuesAfterLongPause() {
        maximum.add(9, 0);
        assertThat(maximum.add(0, 500_000)).isZero();
    }
}
