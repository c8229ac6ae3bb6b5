package org.lovagethread.gateway.emulator;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lovagethread.gateway.policy.ZoneTopology.Distance;

/** Compares what callers get, and what is sent between zones and regions, with controlled shares and with fixed costs. */
class CrossZoneTrafficTest {
    private static final double WARM_UP_MILLIS = 10_000;
    private static final double MEASURED_FROM_MILLIS = 20_000;
    private static final double MEASURED_TO_MILLIS = 58_000;
    private static final double END_MILLIS = 65_000;
    private static final double HELPER_UTILIZATION = 0.4;
    private static final long SEED = 5;

    /** Maximum loss of the share of the helping zones' requests that are served in time. */
    private static final double MAX_LOSS = 0.03;

    private static ZoneEmulation emulation(boolean controlled, long seed, Map<String, Double> utilizations) {
        return new ZoneEmulation(
                controlled,
                seed,
                (zone, millis) -> millis < WARM_UP_MILLIS
                        ? Math.min(HELPER_UTILIZATION, utilizations.get(zone))
                        : utilizations.get(zone));
    }

    private static ZoneEmulation play(boolean controlled, double utilization) {
        return emulation(controlled, SEED, helped(utilization)).run(END_MILLIS);
    }

    private static Map<String, Double> helped(double utilization) {
        return Map.of("a", utilization, "b", HELPER_UTILIZATION, "c", HELPER_UTILIZATION);
    }

    private static List<ZoneEmulation.Sample> measured(ZoneEmulation emulation, Predicate<String> zones) {
        return emulation.samples.stream()
                .filter(sample -> zones.test(sample.zone())
                        && sample.startedMillis() >= MEASURED_FROM_MILLIS
                        && sample.startedMillis() < MEASURED_TO_MILLIS)
                .toList();
    }

    private static double inTimeShare(List<ZoneEmulation.Sample> samples) {
        return samples.stream()
                        .filter(sample -> sample.actualMillis() <= ZoneEmulation.TARGET_MILLIS)
                        .count()
                / (double) samples.size();
    }

    private static double servedShare(List<ZoneEmulation.Sample> samples) {
        return samples.stream()
                        .filter(sample -> Double.isFinite(sample.actualMillis()))
                        .count()
                / (double) samples.size();
    }

    private static double meanMillis(List<ZoneEmulation.Sample> samples) {
        return samples.stream()
                .mapToDouble(ZoneEmulation.Sample::actualMillis)
                .filter(Double::isFinite)
                .average()
                .orElseThrow();
    }

    private static long left(List<ZoneEmulation.Sample> samples) {
        return samples.stream()
                .filter(sample -> !sample.upstreamZone().isEmpty()
                        && !sample.upstreamZone().equals(sample.zone()))
                .count();
    }

    private static long bytes(ZoneEmulation emulation, Distance distance) {
        return emulation.bytes.getOrDefault(distance, 0L);
    }

    /** Prints the figures that the design document states. */
    private static ZoneEmulation report(String name, ZoneEmulation emulation) {
        StringBuilder line = new StringBuilder("FIGURES " + name);
        for (String zone : ZoneEmulation.ZONES) {
            List<ZoneEmulation.Sample> samples = measured(emulation, zone::equals);
            double[] times = samples.stream()
                    .mapToDouble(ZoneEmulation.Sample::actualMillis)
                    .sorted()
                    .toArray();
            line.append(String.format(
                    Locale.ROOT,
                    " | %s: requests %d, left %d, served %.3f, in time %.3f, mean %.0f ms, p95 %.0f ms",
                    zone,
                    samples.size(),
                    left(samples),
                    servedShare(samples),
                    inTimeShare(samples),
                    meanMillis(samples),
                    times[(int) (0.95 * times.length)]));
        }
        System.out.println(line.append(" | bytes ").append(emulation.bytes));
        return emulation;
    }

    @Nested
    class ZoneWithEnoughCapacity {
        private final ZoneEmulation fixed = report("0.5 off", play(false, 0.5));
        private final ZoneEmulation controlled = report("0.5 on", play(true, 0.5));

        /** Guards against traffic between zones that helps nobody. */
        @Test
        void keepsNearlyAllRequests() {
            List<ZoneEmulation.Sample> samples = measured(controlled, zone -> true);
            assertThat(left(samples)).isLessThan(samples.size() / 100);
            assertThat(bytes(controlled, Distance.SAME_REGION)).isLessThan(bytes(fixed, Distance.SAME_REGION) / 10);
        }

        /** Guards against callers that wait because their requests may not leave. */
        @Test
        void servesNoCallerWorse() {
            for (String zone : ZoneEmulation.ZONES) {
                assertThat(meanMillis(measured(controlled, zone::equals)))
                        .isLessThan((1 + MAX_LOSS) * meanMillis(measured(fixed, zone::equals)));
                assertThat(inTimeShare(measured(controlled, zone::equals)))
                        .isGreaterThanOrEqualTo(inTimeShare(measured(fixed, zone::equals)) - MAX_LOSS);
            }
        }
    }

    @Nested
    class ZoneWithTooMuchDemand {
        /** Guards against a zone whose callers are served worse because its upstreams help another zone. */
        @ParameterizedTest
        @CsvSource({"1.2, 1", "1.2, 2", "1.2, 5", "1.5, 1", "1.5, 2", "1.5, 5", "3, 1", "3, 2", "3, 5"})
        void isHelpedWithoutHarmToHelpers(double utilization, long seed) {
            String name = utilization + " seed " + seed;
            ZoneEmulation alone =
                    emulation(true, seed, helped(HELPER_UTILIZATION)).run(END_MILLIS);
            ZoneEmulation fixed = report(
                    name + " off", emulation(false, seed, helped(utilization)).run(END_MILLIS));
            ZoneEmulation controlled = report(
                    name + " on", emulation(true, seed, helped(utilization)).run(END_MILLIS));
            for (String helper : List.of("b", "c")) {
                double inTime = inTimeShare(measured(controlled, helper::equals));
                assertThat(inTime).isGreaterThanOrEqualTo(inTimeShare(measured(alone, helper::equals)) - MAX_LOSS);
                assertThat(inTime).isGreaterThanOrEqualTo(inTimeShare(measured(fixed, helper::equals)) - MAX_LOSS);
                assertThat(meanMillis(measured(controlled, helper::equals)))
                        .isLessThan((1 + MAX_LOSS) * meanMillis(measured(fixed, helper::equals)));
            }
            assertThat(left(measured(controlled, "a"::equals))).isGreaterThan(500);
            assertThat(bytes(controlled, Distance.OTHER_REGION)).isLessThan(bytes(fixed, Distance.OTHER_REGION) / 2);
        }

        /** Guards against two zones that send their requests to each other. */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3})
        void receivesNoRequestsOfItsHelpers(long seed) {
            ZoneEmulation controlled = emulation(true, seed, helped(1.5)).run(END_MILLIS);
            List<ZoneEmulation.Sample> helpers = measured(controlled, zone -> !zone.equals("a"));
            assertThat(left(helpers)).isLessThan(helpers.size() / 100);
        }

        /** Guards against shares that oscillate, or that remain when the demand has fallen. */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3})
        void sharesSettleAndEnd(long seed) {
            ZoneEmulation controlled = new ZoneEmulation(
                            true,
                            seed,
                            (zone, millis) ->
                                    zone.equals("a") && millis > 10_000 && millis < 60_000 ? 1.5 : HELPER_UTILIZATION)
                    .run(80_000);
            // The mean over the gateways of the zone at each time is the share of the zone's requests.
            double[] shares = controlled.shares.stream()
                    .filter(sample -> sample.zone().equals("a")
                            && sample.destination().equals("b")
                            && sample.atMillis() > 25_000
                            && sample.atMillis() < 59_000)
                    .collect(Collectors.groupingBy(
                            ZoneEmulation.ShareSample::atMillis,
                            Collectors.averagingDouble(ZoneEmulation.ShareSample::share)))
                    .values()
                    .stream()
                    .mapToDouble(share -> share)
                    .toArray();
            double mean = Arrays.stream(shares).average().orElseThrow();
            double deviation = Math.sqrt(Arrays.stream(shares)
                    .map(share -> (share - mean) * (share - mean))
                    .average()
                    .orElseThrow());
            System.out.printf(
                    Locale.ROOT, "FIGURES share seed %d: mean %.3f, deviation over time %.3f%n", seed, mean, deviation);
            assertThat(mean).isGreaterThan(0.05);
            assertThat(deviation).isLessThan(mean / 2);
            assertThat(controlled.shares)
                    .filteredOn(sample -> sample.atMillis() > 75_000)
                    .allMatch(sample -> sample.share() == 0);
        }
    }

    @Nested
    class FullZones {
        private static final Map<String, Double> FULL = Map.of("a", 1.5, "b", 1.5, "c", 1.5);

        /** Guards against requests that leave although no zone can help. */
        @Test
        void keepTheirRequests() {
            ZoneEmulation fixed =
                    report("all 1.5 off", emulation(false, SEED, FULL).run(END_MILLIS));
            ZoneEmulation controlled =
                    report("all 1.5 on", emulation(true, SEED, FULL).run(END_MILLIS));
            List<ZoneEmulation.Sample> samples = measured(controlled, zone -> true);
            assertThat(left(samples)).isLessThan(samples.size() / 1_000);
            assertThat(inTimeShare(samples)).isGreaterThan(inTimeShare(measured(fixed, zone -> true)));
        }
    }

    @Nested
    class LostZone {
        private ZoneEmulation lose(boolean controlled) {
            ZoneEmulation emulation = emulation(controlled, SEED, helped(HELPER_UTILIZATION));
            emulation.clock().schedule(15_000, () -> emulation.loseEngines("a"));
            return emulation.run(END_MILLIS);
        }

        /** Guards against callers of a zone without upstreams that are not served by the other zones. */
        @Test
        void isServedByOthers() {
            ZoneEmulation fixed = report("lost off", lose(false));
            ZoneEmulation controlled = report("lost on", lose(true));
            for (String zone : ZoneEmulation.ZONES) {
                assertThat(servedShare(measured(controlled, zone::equals))).isGreaterThan(0.97);
                assertThat(inTimeShare(measured(controlled, zone::equals)))
                        .isGreaterThanOrEqualTo(inTimeShare(measured(fixed, zone::equals)) - MAX_LOSS);
            }
        }
    }

    @Nested
    class SilentZones {
        /** Guards against requests that leave for zones that look idle only because no report arrives. */
        @Test
        void receiveBoundedShare() {
            ZoneEmulation emulation = emulation(true, SEED, helped(3));
            emulation.clock().schedule(5_000, emulation::silenceZones);
            emulation.run(40_000);
            assertThat(emulation.shares)
                    .filteredOn(sample -> sample.atMillis() > 8_000)
                    .allMatch(sample -> sample.share() <= 0.1);
        }
    }
}
