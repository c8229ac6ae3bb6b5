package org.lovagethread.gateway.emulator;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleUnaryOperator;
import java.util.function.IntFunction;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lovagethread.gateway.config.Route;
import org.lovagethread.gateway.config.RouteKind;

/**
 * Plays the same relative load against engines of equal and of mixed speeds and compares the shares of the requests that
 * are served in time. Fails if fast engines are not used as such, or if slow ones delay what they receive.
 */
class MixedSpeedTest {
    private static final List<Double> EQUAL = List.of(1.0, 1.0, 1.0);
    private static final List<Double> MIXED = List.of(0.7, 0.7, 1.7);
    private static final List<Long> SEEDS = List.of(11L, 12L, 13L, 14L);
    private static final int ENGINES = 21;
    private static final double TOKENS_PER_MILLI = 60;
    private static final int SLOTS = 48;
    private static final long TARGET_MILLIS = 400;

    /** Share of the time of equal engines that prompts can use, since steps and repeated processing take the rest. */
    private static final double USABLE_SHARE = 0.72;

    private static final int STALLING_ENGINES_DIVISOR = 7;
    private static final double STALL_SLOWDOWN = 2.5;
    private static final double STALL_MILLIS = 400;
    private static final double STALL_PERIOD_MILLIS = 2_000;
    private static final double STALL_OFFSET_MILLIS = 137;

    /** Time in which the speeds are learned, in milliseconds. */
    private static final double LEARNING_MILLIS = 10_000;

    private static final double DURATION_MILLIS = 40_000;
    private static final double MAX_DIFFERENCE = 0.03;

    private static final Route ROUTE = Route.builder("r")
            .match("h", "/")
            .kind(RouteKind.EVENT_STREAM, true, 2)
            .times(15_000, TARGET_MILLIS, 400)
            .services(List.of(new Route.WeightedService(LoadEmulation.SERVICE, 1)))
            .build();

    private static DoubleUnaryOperator stalls(int engine) {
        if (engine % STALLING_ENGINES_DIVISOR != 0) {
            return millis -> 1;
        }
        return millis ->
                (millis + engine * STALL_OFFSET_MILLIS) % STALL_PERIOD_MILLIS < STALL_MILLIS ? STALL_SLOWDOWN : 1;
    }

    /** Returns the mean share over all seeds, since that of a single one varies by more than a percentage point. */
    private static double inTimeShare(List<Double> speeds, double load, boolean stalling) {
        return SEEDS.stream()
                .mapToDouble(seed -> inTimeShare(speeds, load, stalling, seed))
                .average()
                .orElseThrow();
    }

    private static double inTimeShare(List<Double> speeds, double load, boolean stalling, long seed) {
        List<EngineProfile> profiles = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            profiles.add(EngineProfile.ofSpeed(TOKENS_PER_MILLI * speeds.get(i % speeds.size()), SLOTS));
        }
        IntFunction<DoubleUnaryOperator> slowdowns = stalling ? MixedSpeedTest::stalls : engine -> millis -> 1;
        List<LoadEmulation.Sample> samples = new LoadEmulation(
                        profiles, List.of(ROUTE), millis -> load * USABLE_SHARE, slowdowns, seed)
                .run(DURATION_MILLIS).stream()
                        .filter(sample -> sample.startedMillis() > LEARNING_MILLIS)
                        .toList();
        long inTime = samples.stream()
                .filter(sample -> sample.actualMillis() <= TARGET_MILLIS)
                .count();
        return (double) inTime / samples.size();
    }

    private static void assertEqualShares(double load, boolean stalling) {
        double equal = inTimeShare(EQUAL, load, stalling);
        double mixed = inTimeShare(MIXED, load, stalling);
        assertThat(mixed).as("share in time at load %s", load).isGreaterThanOrEqualTo(equal - MAX_DIFFERENCE);
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.5, 0.8, 0.95, 1.2})
    void sharesInTimeAreEqual(double load) {
        assertEqualShares(load, false);
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.5, 0.8, 0.95, 1.2})
    void sharesInTimeAreEqualWithStalls(double load) {
        assertEqualShares(load, true);
    }
}
