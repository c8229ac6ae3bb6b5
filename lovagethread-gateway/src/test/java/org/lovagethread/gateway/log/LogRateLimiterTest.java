package org.lovagethread.gateway.log;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class LogRateLimiterTest {

    @Test
    void writesAFewLinesASecondAndCountsTheOthers() {
        LogRateLimiter sampler = new LogRateLimiter(3);
        int written = 0;
        for (int i = 0; i < 100; i++) {
            written += sampler.tryAcquire(1_000 + i) ? 1 : 0;
        }
        assertThat(written).isEqualTo(3);
        assertThat(sampler.getAndResetOmitted()).isEqualTo(97);
        assertThat(sampler.getAndResetOmitted()).isZero();
        assertThat(sampler.tryAcquire(2_000)).isTrue();
    }
}
