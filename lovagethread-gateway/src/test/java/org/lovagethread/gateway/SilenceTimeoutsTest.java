package org.lovagethread.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SilenceTimeoutsTest {
    // A watch that had gone silent was noticed later than the gateway had to act on the changes that it missed.
    @ParameterizedTest
    @ValueSource(longs = {4, 1_000, 2_500, 4_000, 5_000, 20_000})
    void leaveTimeForACallOnANewConnectionWithinTheContactTime(long contactMillis) {
        SilenceTimeouts timeouts = new SilenceTimeouts(contactMillis);
        long noticedMillis = timeouts.maxQuietMillis() + timeouts.callMillis();
        assertThat(timeouts.callMillis()).isPositive();
        assertThat(timeouts.maxQuietMillis()).isPositive();
        assertThat(noticedMillis + timeouts.callMillis()).isLessThanOrEqualTo(contactMillis);
    }

    @Test
    void rejectContactTimeThatIsTooShort() {
        assertThatThrownBy(() -> new SilenceTimeouts(3))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("3");
    }
}
