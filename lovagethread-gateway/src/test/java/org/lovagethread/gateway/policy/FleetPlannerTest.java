package org.lovagethread.gateway.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.config.ServiceSpec;
import org.lovagethread.gateway.config.ServiceSpec.EngineSpec;
import org.lovagethread.gateway.config.ServiceSpec.FleetSpec;
import org.lovagethread.gateway.duty.DutyApi.FleetOrder;
import org.lovagethread.gateway.engine.EngineEstimate;
import org.lovagethread.gateway.policy.FleetPlanner.Load;
import org.lovagethread.gateway.policy.FleetPlanner.ZoneFleet;

class FleetPlannerTest {
    private static final EngineSpec LARGE_ENGINE = new EngineSpec(48, 900_000);
    private static final double TARGET_MILLIS = 300;
    private static final EngineEstimate ESTIMATE = EngineEstimate.builder()
            .overheadMillis(30)
            .tokensPerMilli(110)
            .unreadTokens(4_200)
            .unreadTokensSquared(2 * 4_200 * 4_200)
            .requestedTokens(7_000)
            .streamMillis(1_000)
            .samples(1_000)
            .build();

    private final FleetPlanner planner = new FleetPlanner();

    private static ServiceSpec service(double reclaimablePrice) {
        FleetSpec fleet =
                new FleetSpec(1, 6, 4_000, reclaimablePrice, Map.of("expensive", 1.25, "cheap", 0.8, "standard", 1.0));
        return new ServiceSpec("pool", 290, Optional.of(LARGE_ENGINE), Optional.of(fleet));
    }

    private static List<ZoneFleet> zones(int reclaimable, int onDemand) {
        return List.of(
                new ZoneFleet("expensive", reclaimable, onDemand),
                new ZoneFleet("cheap", reclaimable, onDemand),
                new ZoneFleet("standard", reclaimable, onDemand));
    }

    private static int count(List<FleetOrder> orders, boolean reclaimable) {
        return orders.stream()
                .filter(order -> order.reclaimable() == reclaimable)
                .mapToInt(FleetOrder::count)
                .sum();
    }

    @Nested
    class ReclaimableInstances {
        @Test
        void carryLoadAfterLossOfOneZone() {
            List<FleetOrder> orders = planner.plan(service(0.18), zones(3, 0), 6, 6);
            int largest = orders.stream()
                    .filter(FleetOrder::reclaimable)
                    .mapToInt(FleetOrder::count)
                    .max()
                    .orElseThrow();
            assertThat(count(orders, true) - largest).isGreaterThanOrEqualTo(6);
            assertThat(count(orders, false)).isZero();
        }

        @Test
        void areReplacedByOnDemandInstances() {
            List<ZoneFleet> remaining = List.of(
                    new ZoneFleet("expensive", 0, 0), new ZoneFleet("cheap", 0, 0), new ZoneFleet("standard", 3, 0));
            List<FleetOrder> orders = planner.plan(service(0.18), remaining, 6, 6);
            assertThat(3 + count(orders, false)).isGreaterThanOrEqualTo(6);
            assertThat(count(orders, false)).isEqualTo(4);
        }

        @Test
        void yieldCapacityToOnDemandInstancesWhenLost() {
            List<ZoneFleet> none = zones(0, 0);
            List<FleetOrder> orders = planner.plan(service(0.18), none, 12, 12);
            assertThat(count(orders, false)).isGreaterThanOrEqualTo(12);
            for (String zone : List.of("expensive", "cheap", "standard")) {
                int ordered = orders.stream()
                        .filter(order -> order.zone().equals(zone))
                        .mapToInt(FleetOrder::count)
                        .sum();
                assertThat(ordered).isLessThanOrEqualTo(6);
            }
        }

        /** Fails if three slow instances count as the capacity of three instances of mean speed. */
        @Test
        void countByTheirSpeed() {
            List<ZoneFleet> slow = List.of(
                    new ZoneFleet("expensive", 2, 0, 2 * 0.7),
                    new ZoneFleet("cheap", 2, 0, 2 * 0.7),
                    new ZoneFleet("standard", 2, 0, 2 * 0.7));
            assertThat(count(planner.plan(service(0.18), slow, 6, 6), false)).isEqualTo(2);
            assertThat(count(planner.plan(service(0.18), zones(2, 0), 6, 6), false))
                    .isZero();
        }

        @Test
        void areNotOrderedUnlessCheaper() {
            List<FleetOrder> orders = planner.plan(service(1.0), zones(0, 2), 6, 6);
            assertThat(count(orders, true)).isZero();
            assertThat(count(orders, false)).isGreaterThanOrEqualTo(6);
        }
    }

    @Nested
    class DemandByZone {
        private static final Map<String, Double> UNEVEN = Map.of("expensive", 0.7, "cheap", 0.2, "standard", 0.1);

        private List<FleetOrder> plan(double reclaimablePrice, int reclaimable, Map<String, Double> shares) {
            return planner.plan(service(reclaimablePrice), zones(reclaimable, 0), 6, 6, shares);
        }

        private int count(List<FleetOrder> orders, String zone) {
            return orders.stream()
                    .filter(order -> order.zone().equals(zone))
                    .mapToInt(FleetOrder::count)
                    .sum();
        }

        /** Guards against instances that are far from the callers, and against a higher price because of the demand. */
        @Test
        void attractsInstancesWithoutMoreOfThem() {
            List<FleetOrder> orders = plan(0.18, 3, UNEVEN);
            assertThat(count(orders, "expensive")).isGreaterThan(count(orders, "cheap"));
            assertThat(FleetPlannerTest.count(orders, true))
                    .isEqualTo(FleetPlannerTest.count(plan(0.18, 3, Map.of()), true));
        }

        /** Guards against a fleet that cannot serve the load after the loss of the zone with most instances. */
        @Test
        void keepsEnoughInstancesInOtherZones() {
            List<FleetOrder> orders = plan(0.18, 3, Map.of("expensive", 1.0));
            assertThat(count(orders, "cheap") + count(orders, "standard")).isGreaterThanOrEqualTo(6);
        }

        /** Guards against on-demand instances that are distributed evenly although they are the whole fleet. */
        @Test
        void attractsOnDemandInstances() {
            List<FleetOrder> orders = plan(1.0, 0, UNEVEN);
            assertThat(count(orders, "expensive")).isEqualTo(4);
            assertThat(FleetPlannerTest.count(orders, false)).isEqualTo(6);
        }
    }

    @Nested
    class RequiredInstances {
        private static final EngineSpec SMALL_ENGINE = new EngineSpec(12, 450_000);
        private static final double PROMPT_ENGINES_PER_TOKEN = 0.6 / 110_000;

        private int required(EngineSpec engine, Load load) {
            return planner.requiredInstances(engine, ESTIMATE, TARGET_MILLIS, FleetPlanner.RECLAIMABLE_HEADROOM, load);
        }

        /** Returns the generating requests of a fleet: more while prompts are processed, at most one per slot. */
        private double generating(double undelayed, double tokensPerSecond, int instances) {
            double promptUtilization = Math.min(0.9, tokensPerSecond * PROMPT_ENGINES_PER_TOKEN / instances);
            return Math.min(undelayed / (1 - promptUtilization), (double) SMALL_ENGINE.slots() * instances);
        }

        @Test
        void growWithSlotsAndPrompts() {
            assertThat(required(LARGE_ENGINE, new Load(0, 0, 0, 1))).isEqualTo(1);
            assertThat(required(LARGE_ENGINE, new Load(100, 0, 0, 4)))
                    .isGreaterThan(required(LARGE_ENGINE, new Load(20, 0, 0, 4)));
            assertThat(required(LARGE_ENGINE, new Load(0, 400_000, 0, 4)))
                    .isGreaterThan(required(LARGE_ENGINE, new Load(0, 100_000, 0, 4)));
        }

        @Test
        void convergeFromUndersizedFleetWithoutOvershoot() {
            int instances = 4;
            int maxInstances = 0;
            for (int step = 0; step < 10; step++) {
                double generating = generating(59, 391_000, instances);
                instances = required(SMALL_ENGINE, new Load(generating, 391_000, 0, instances));
                maxInstances = Math.max(maxInstances, instances);
            }
            double utilization = generating(59, 391_000, instances) / (SMALL_ENGINE.slots() * instances);
            assertThat(utilization).isBetween(0.4, 0.8);
            assertThat(maxInstances).isLessThanOrEqualTo(instances + 1);
        }

        @Test
        void areIndependentOfOversizedFleet() {
            int small = required(SMALL_ENGINE, new Load(generating(27, 178_000, 5), 178_000, 0, 5));
            int large = required(SMALL_ENGINE, new Load(generating(27, 178_000, 22), 178_000, 0, 22));
            assertThat(large).isBetween(small - 1, small + 1);
        }

        @Test
        void areLimitedForEnginesWithManySlots() {
            EngineSpec manySlots = new EngineSpec(128, 780_000);
            assertThat(required(manySlots, new Load(80, 230_000, 0, 6))).isBetween(4, 6);
        }

        @Test
        void growWithQueuedPrompts() {
            EngineSpec manySlots = new EngineSpec(128, 780_000);
            int normal = required(manySlots, new Load(80, 230_000, 20_000, 4));
            int queued = required(manySlots, new Load(231, 230_000, 300_000, 4));
            assertThat(queued).isBetween(normal + 3, 3 * normal);
        }

        @Test
        void areDerivedFromQuotasBeforeTraffic() {
            assertThat(planner.expectedInstances(SMALL_ENGINE, ESTIMATE, TARGET_MILLIS, 0))
                    .isEqualTo(1);
            int expected = planner.expectedInstances(SMALL_ENGINE, ESTIMATE, TARGET_MILLIS, 2 * 391_000);
            int needed = required(SMALL_ENGINE, new Load(generating(59, 391_000, 10), 391_000, 0, 10));
            assertThat(expected).isBetween(needed - 2, needed + 2);
        }
    }
}
