package org.lovagethread.gateway.log;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class LogRateLimiterTest {

    @Test
    void limitsLinesPerSecondAndCountsOmittedLines() {
        LogRateLimiter limiter = new LogRateLimiter(3);
        int written = 0;
        for (int i = 0; i < 100; i++) {
            written += limiter.tryAcquire(1_000 + i) ? 1 : 0;
        }
        assertThat(written).isEqualTo(3);
        assertThat(limiter.resetOmitted()).isEqualTo(97);
        assertThat(limiter.resetOmitted()).isZero();
        assertThat(limiter.tryAcquire(2_000)).isTrue();
    }
}
