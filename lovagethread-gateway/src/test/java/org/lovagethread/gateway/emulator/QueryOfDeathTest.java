package org.lovagethread.gateway.emulator;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.function.DoublePredicate;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays prompts that crash engines, and crashes for other reasons, and checks which prompts are quarantined. */
class QueryOfDeathTest {
    private static final double START_MILLIS = 6_000;
    private static final double END_MILLIS = 40_000;
    private static final int CRASHES_BEFORE_BOUND = 5;

    /** Maximum number of deadly requests that may reach engines after the bound. */
    private static final int MAX_LATE_ARRIVALS = 3;

    /** Minimum rate at which sound requests begin at the first attempt, relative to that without disruption. */
    private static final double MIN_RELATIVE_SUCCESS = 0.5;

    private static final double SECOND_MILLIS = 1_000;

    private static double successShare(CrashEmulation emulation, DoublePredicate isStartIncluded) {
        List<CrashEmulation.Sample> selected = emulation.soundRequests.stream()
                .filter(sample -> isStartIncluded.test(sample.startedMillis()))
                .toList();
        assertThat(selected).hasSizeGreaterThan(100);
        return (double) selected.stream()
                        .filter(CrashEmulation.Sample::begunAtFirstAttempt)
                        .count()
                / selected.size();
    }

    private static double boundMillis(List<Double> crashMillis) {
        return crashMillis.get(Math.min(CRASHES_BEFORE_BOUND, crashMillis.size()) - 1) + CrashEmulation.CONTACT_MILLIS;
    }

    private static CrashEmulation playOtherCrashes(long seed, double requestsPerSecond, int engines, double gapMillis) {
        return playOtherCrashes(
                new CrashEmulation.Scenario(requestsPerSecond, 60, 1, 0, Double.MAX_VALUE, 3_000),
                seed,
                engines,
                gapMillis);
    }

    private static CrashEmulation playOtherCrashes(
            CrashEmulation.Scenario scenario, long seed, int engines, double gapMillis) {
        CrashEmulation emulation = new CrashEmulation(scenario, seed);
        for (double atMillis = START_MILLIS; atMillis < END_MILLIS; atMillis += gapMillis) {
            emulation.clock().schedule(atMillis, () -> emulation.crashEngines(engines, 3_000));
        }
        emulation.run(END_MILLIS);
        return emulation;
    }

    @Nested
    class DeadlyParts {
        @ParameterizedTest
        @CsvSource({
            "1, 0.05, 1, 3000", "2, 0.05, 1, 3000", "3, 0.05, 1, 6000", "4, 0.02, 1, 3000", "5, 0.02, 1, 6000",
            "6, 0.15, 1, 3000", "7, 0.15, 1, 6000", "8, 0.05, 2, 3000", "9, 0.1, 2, 3000", "10, 0.01, 1, 2000"
        })
        void stopReachingEnginesAndSoundRequestsBeginAgain(
                long seed, double deadlyShare, int deadlyParts, double downMillis) {
            assertStopped(
                    new CrashEmulation.Scenario(60, 60, deadlyParts, deadlyShare, START_MILLIS, downMillis), seed);
        }

        // The share of all parts that were unanswered at a crash said little where there are few parts.
        @ParameterizedTest
        @CsvSource({
            "1, 25, 0.04, 9, 6", "2, 25, 0.04, 9, 6", "3, 25, 0.04, 9, 1", "4, 25, 0.04, 9, 20", "5, 25, 0.02, 6, 6",
            "6, 25, 0.04, 6, 2", "7, 30, 0.1, 12, 6", "8, 30, 0.03, 12, 3", "9, 25, 0.01, 4, 6", "10, 60, 0.05, 12, 6"
        })
        void stopReachingEnginesOfServicesWithFewPrompts(
                long seed, double requestsPerSecond, double deadlyShare, int engines, int documents) {
            assertStopped(
                    new CrashEmulation.Scenario(
                            requestsPerSecond, 60, 1, deadlyShare, START_MILLIS, 3_000, engines, documents),
                    seed);
        }

        // A first event counted as proof that the part is sound, so a part that crashes engines after it was never
        // refused.
        @ParameterizedTest
        @CsvSource({
            "1, 60, 0.05, 12, 200, 600, 1", "2, 60, 0.05, 12, 200, 600, 40", "3, 60, 0.05, 12, 200, 600, 300",
            "4, 60, 0.05, 12, 200, 600, 590", "5, 25, 0.04, 9, 200, 600, 40", "6, 25, 0.04, 9, 200, 2000, 40",
            "7, 25, 0.04, 9, 200, 2000, 1900", "8, 60, 0.05, 12, 200, 3000, 40", "9, 60, 0.05, 12, 200, 3000, 1500",
            "10, 60, 0.02, 12, 200, 3000, 2900", "11, 25, 0.04, 9, 20, 600, 40", "12, 25, 0.04, 9, 6, 600, 300",
            "13, 30, 0.1, 12, 20, 2000, 40", "14, 60, 0.15, 12, 200, 2000, 300"
        })
        void stopReachingEnginesThatCrashAfterAnyEvent(
                long seed,
                double requestsPerSecond,
                double deadlyShare,
                int engines,
                int documents,
                double streamMillis,
                double crashDelayMillis) {
            assertStopped(
                    new CrashEmulation.Scenario(
                            requestsPerSecond,
                            60,
                            1,
                            deadlyShare,
                            START_MILLIS,
                            3_000,
                            engines,
                            documents,
                            streamMillis,
                            crashDelayMillis),
                    seed);
        }

        private void assertStopped(CrashEmulation.Scenario scenario, long seed) {
            CrashEmulation emulation = new CrashEmulation(scenario, seed);
            emulation.run(END_MILLIS);
            double boundMillis = 0;
            assertThat(emulation.deadlyCrashMillis).isNotEmpty();
            for (String part : emulation.deadlyCrashMillis.keySet()) {
                double partBoundMillis = boundMillis(emulation.deadlyCrashMillis.get(part));
                boundMillis = Math.max(boundMillis, partBoundMillis);
                assertThat(emulation.deadlyArrivalMillis.get(part).stream().filter(millis -> millis > partBoundMillis))
                        .as("requests with %s that reach engines late", part)
                        .hasSizeLessThanOrEqualTo(MAX_LATE_ARRIVALS);
            }
            double soundStartMillis = boundMillis + CrashEmulation.CONTACT_MILLIS;
            double usualShare = successShare(emulation, millis -> millis < START_MILLIS - SECOND_MILLIS);
            double share =
                    successShare(emulation, millis -> millis > soundStartMillis && millis < END_MILLIS - SECOND_MILLIS);
            assertThat(share).as("sound requests that begin").isGreaterThanOrEqualTo(MIN_RELATIVE_SUCCESS * usualShare);
            assertThat(emulation.blamedParts)
                    .allSatisfy(part -> assertThat(part).startsWith("deadly"));
        }
    }

    @Nested
    class CrashesForOtherReasons {
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4})
        void ofManyEnginesAtOnceAreBlamedOnNoPart(long seed) {
            assertThat(playOtherCrashes(seed, 60, 6, 4_000).blamedParts).isEmpty();
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4})
        void ofSingleEnginesInSeriesAreBlamedOnNoPart(long seed) {
            assertThat(playOtherCrashes(seed, 60, 1, 700).blamedParts).isEmpty();
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4})
        void ofAllEnginesAgainAndAgainAreBlamedOnNoPart(long seed) {
            assertThat(playOtherCrashes(seed, 60, 12, 3_500).blamedParts).isEmpty();
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4})
        void underOverloadAreBlamedOnNoPart(long seed) {
            assertThat(playOtherCrashes(seed, 220, 2, 1_500).blamedParts).isEmpty();
        }

        @ParameterizedTest
        @CsvSource({
            "1, 17, 9, 6, 1, 700", "2, 17, 9, 6, 3, 1500", "3, 10, 4, 6, 1, 700", "4, 10, 4, 2, 2, 1500",
            "5, 30, 12, 6, 12, 3500", "6, 30, 12, 20, 1, 500", "7, 5, 9, 6, 1, 700", "8, 5, 4, 6, 1, 1000",
            "9, 100, 6, 6, 1, 700", "10, 3, 2, 6, 1, 2000"
        })
        void ofServicesWithFewPromptsAreBlamedOnNoPart(
                long seed,
                double requestsPerSecond,
                int engines,
                int documents,
                int crashingEngines,
                double gapMillis) {
            CrashEmulation.Scenario scenario = new CrashEmulation.Scenario(
                    requestsPerSecond, 60, 1, 0, Double.MAX_VALUE, 3_000, engines, documents);
            assertThat(playOtherCrashes(scenario, seed, crashingEngines, gapMillis).blamedParts)
                    .isEmpty();
        }

        @ParameterizedTest
        @CsvSource({
            "1, 60, 12, 200, 1, 700",
            "2, 60, 12, 200, 2, 1500",
            "3, 60, 12, 200, 12, 3500",
            "4, 25, 9, 20, 1, 700",
            "5, 25, 9, 200, 1, 1000",
            "6, 100, 6, 6, 1, 700"
        })
        void ofServicesWithLongResponsesAreBlamedOnNoPart(
                long seed,
                double requestsPerSecond,
                int engines,
                int documents,
                int crashingEngines,
                double gapMillis) {
            CrashEmulation.Scenario scenario = new CrashEmulation.Scenario(
                    requestsPerSecond, 60, 1, 0, Double.MAX_VALUE, 3_000, engines, documents, 3_000, 0);
            assertThat(playOtherCrashes(scenario, seed, crashingEngines, gapMillis).blamedParts)
                    .isEmpty();
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4})
        void ofConnectionsAloneAreBlamedOnNoPart(long seed) {
            CrashEmulation emulation =
                    new CrashEmulation(new CrashEmulation.Scenario(60, 60, 1, 0, Double.MAX_VALUE, 3_000), seed);
            for (double atMillis = START_MILLIS; atMillis < END_MILLIS; atMillis += 600) {
                emulation.clock().schedule(atMillis, emulation::breakAllConnections);
            }
            emulation.run(END_MILLIS);
            assertThat(emulation.blamedParts).isEmpty();
        }
    }
}
