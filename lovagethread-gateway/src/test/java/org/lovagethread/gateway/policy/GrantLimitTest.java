package org.lovagethread.gateway.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class GrantLimitTest {
    /** Guards against shares with which all gateways together grant more than the level. */
    @ParameterizedTest
    @CsvSource({"100000, 20000", "10000, 20000", "100000, 0"})
    void addsUpToTheLevelOverAllGateways(double level, double expectedTokens) {
        double[] rates = {0, 0, 5, 20, 75};
        double sum = 0;
        for (double rate : rates) {
            sum += new GrantLimit(rate, 100, rates.length).tokens(level, expectedTokens);
        }
        assertThat(sum).isCloseTo(level, within(1e-6));
    }

    /** Guards against grants from a level that is used up, and against a division by zero without any rate. */
    @ParameterizedTest
    @CsvSource({"-5000, 0", "0, 0", "100, 20"})
    void isEvenWithoutRates(double level, double expected) {
        assertThat(new GrantLimit(0, 0, 5).tokens(level, 1_000)).isCloseTo(expected, within(1e-9));
    }
}
