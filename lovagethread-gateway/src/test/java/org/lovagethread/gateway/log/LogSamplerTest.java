package org.lovagethread.gateway.log;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class LogSamplerTest {

    @Test
    void writesAFewLinesASecondAndCountsTheOthers() {
        LogSampler sampler = new LogSampler(3);
        int written = 0;
        for (int i = 0; i < 100; i++) {
            written += sampler.take(1_000 + i) ? 1 : 0;
        }
        assertThat(written).isEqualTo(3);
        assertThat(sampler.takeOmitted()).isEqualTo(97);
        assertThat(sampler.takeOmitted()).isZero();
        assertThat(sampler.take(2_000)).isTrue();
    }
}
