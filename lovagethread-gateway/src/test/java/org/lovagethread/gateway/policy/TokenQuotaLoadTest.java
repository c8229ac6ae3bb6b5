package org.lovagethread.gateway.policy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lovagethread.gateway.config.Customer;

/** Checks the quota over all gateways in virtual time while the demand increases and reports are delayed. */
class TokenQuotaLoadTest {
    private static final long[] SEEDS = {31, 77};
    private static final long JUMP_MILLIS = 10_000;
    private static final long END_MILLIS = 24_000;
    private static final double RATE = 190_000;
    private static final double BURST = 220_000;
    private static final int TOKENS = 2_000;

    private static QuotaSimulation simulation(int gateways, double rate, double burst, int tokens, long seed) {
        return new QuotaSimulation(gateways, new Customer("ice", 1, rate, burst, 200), tokens, seed);
    }

    private static double demand(long nowMillis, double usualRate, double factor) {
        return usualRate * (nowMillis < JUMP_MILLIS ? 1 : factor);
    }

    @Nested
    class SimultaneousJump {
        /** Guards against grants of the same tokens at all gateways until their reports have arrived. */
        @ParameterizedTest
        @CsvSource({
            "6, 190000, 220000, 2000, 0.8, 9",
            "6, 190000, 220000, 2000, 0.8, 50",
            "6, 20000, 10000, 6000, 0.5, 9",
            "78, 190000, 220000, 2000, 0.3, 2",
            "78, 190000, 220000, 2000, 0.3, 9",
            "78, 190000, 220000, 2000, 0.8, 9",
            "78, 190000, 220000, 6000, 0.8, 9",
            "78, 50000, 50000, 2000, 0.8, 9",
            "78, 36000, 36000, 4000, 0.8, 50",
            "78, 600000, 600000, 12000, 0.55, 9",
            "78, 600000, 600000, 12000, 0.55, 50",
            "78, 1000000, 1000000, 2000, 0.8, 9",
            "78, 1000000, 1000000, 2000, 0.8, 50",
            "340, 1000000, 1000000, 2000, 0.8, 9",
            "340, 1000000, 1000000, 2000, 0.8, 50",
        })
        void keepsLimit(int gateways, double rate, double burst, int tokens, double usual, int factor) {
            for (long seed : SEEDS) {
                QuotaSimulation simulation = simulation(gateways, rate, burst, tokens, seed)
                        .run(0, END_MILLIS, now -> demand(now, usual * rate, factor));
                assertThat(simulation.usedTolerance()).isLessThan(1);
            }
        }

        /** Guards against an exceeded limit where one request for each gateway is more than the burst. */
        @ParameterizedTest
        @CsvSource({"78, 0.3, 50", "78, 0.8, 50", "340, 0.8, 9", "340, 0.8, 50"})
        void keepsLimitOfSmallQuota(int gateways, double usual, int factor) {
            for (long seed : SEEDS) {
                QuotaSimulation simulation = simulation(gateways, RATE, BURST, TOKENS, seed)
                        .run(0, END_MILLIS, now -> demand(now, usual * RATE, factor));
                assertThat(simulation.usedTolerance()).isLessThan(1);
            }
        }

        /** Guards against limits so strict that customers get less than their quota during overload. */
        @ParameterizedTest
        @CsvSource({"6, 9, 0", "78, 9, 0", "78, 50, 0", "6, 9, 1", "78, 9, 1", "78, 9, 0.5"})
        void isGrantedQuotaAfterwards(int gateways, int factor, double uneven) {
            for (long seed : SEEDS) {
                QuotaSimulation simulation = simulation(gateways, RATE, BURST, TOKENS, seed)
                        .withAllTrafficAt(gateways - 1, uneven)
                        .run(0, END_MILLIS, now -> demand(now, 0.5 * RATE, factor));
                double seconds = (END_MILLIS - JUMP_MILLIS) / 1_000.0;
                assertThat(simulation.grantedTokens(JUMP_MILLIS, END_MILLIS))
                        .isGreaterThan((long) (0.95 * seconds * RATE));
                assertThat(simulation.usedTolerance()).isLessThan(1);
            }
        }
    }

    @Nested
    class UnreliableReports {
        /** Guards against an estimate of the delay of reports that ignores lost, late and reordered ones. */
        @ParameterizedTest
        @CsvSource({"6, 0.2, 100, 9", "6, 0.3, 400, 9", "6, 0.3, 400, 50", "78, 0.2, 100, 9", "78, 0.3, 400, 50"})
        void keepLimit(int gateways, double lossProbability, int maxDelayMillis, int factor) {
            for (long seed : SEEDS) {
                QuotaSimulation simulation = simulation(gateways, RATE, BURST, TOKENS, seed)
                        .withNetwork(lossProbability, maxDelayMillis)
                        .run(0, END_MILLIS, now -> demand(now, 0.8 * RATE, factor));
                assertThat(simulation.usedTolerance()).isLessThan(1);
            }
        }
    }

    @Nested
    class Restarts {
        /** Guards against the full bucket of each gateway that starts. */
        @ParameterizedTest
        @CsvSource({"1, 1, 3", "6, 1, 3", "6, 6, 3", "78, 20, 3", "78, 78, 9"})
        void keepLimit(int gateways, int restarts, double factor) {
            for (long seed : SEEDS) {
                QuotaSimulation simulation = simulation(gateways, RATE, BURST, TOKENS, seed);
                for (int i = 0; i < restarts; i++) {
                    simulation.withRestart(JUMP_MILLIS + 5L * i, i);
                }
                simulation.run(0, END_MILLIS, now -> factor * RATE);
                assertThat(simulation.usedTolerance()).isLessThan(1);
            }
        }
    }

    @Nested
    class DemandBelowQuota {
        /** Guards against refusals within the quota that the limits of single gateways cause. */
        @ParameterizedTest
        @CsvSource({
            "6, 190000, 220000, 0.8, 0",
            "6, 190000, 220000, 0.8, 0.5",
            "6, 190000, 220000, 0.8, 1",
            "6, 20000, 10000, 0.5, 0",
            "78, 190000, 220000, 0.8, 1",
            "340, 1000000, 1000000, 0.8, 1",
        })
        void isNotRefused(int gateways, double rate, double burst, double usual, double uneven) {
            for (long seed : SEEDS) {
                QuotaSimulation simulation = simulation(gateways, rate, burst, TOKENS, seed)
                        .withAllTrafficAt(gateways - 1, uneven)
                        .countingRefusalsAfter(4_000)
                        .run(0, END_MILLIS, now -> usual * rate);
                assertThat(simulation.refusedShare()).isZero();
            }
        }

        /**
         * Guards against more refusals than the limit requires where few requests at each gateway exceed the burst. A
         * gateway cannot distinguish them from an increase at all gateways before it receives their reports.
         */
        @ParameterizedTest
        @CsvSource({
            "78, 190000, 220000, 0.3, 0, 0.02",
            "78, 190000, 220000, 0.8, 0, 0.045",
            "78, 190000, 220000, 0.8, 0.5, 0.03",
            "78, 1000000, 1000000, 0.8, 0, 0.002",
            "340, 1000000, 1000000, 0.8, 0, 0.1",
        })
        void isRarelyRefusedWhereOneRequestIsLargeForOneGateway(
                int gateways, double rate, double burst, double usual, double uneven, double maxShare) {
            for (long seed : SEEDS) {
                QuotaSimulation simulation = simulation(gateways, rate, burst, TOKENS, seed)
                        .withAllTrafficAt(gateways - 1, uneven)
                        .countingRefusalsAfter(4_000)
                        .run(0, END_MILLIS, now -> usual * rate);
                assertThat(simulation.refusedShare()).isLessThanOrEqualTo(maxShare);
            }
        }
    }
}
