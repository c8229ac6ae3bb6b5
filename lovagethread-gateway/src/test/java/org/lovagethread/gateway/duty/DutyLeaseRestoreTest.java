package org.lovagethread.gateway.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.lovagethread.gateway.duty.DutyPlatform.Violation;
import org.lovagethread.gateway.store.FakeStore;

class DutyLeaseRestoreTest {
    /** Number of schedules of each class of tests. */
    private static final long SCHEDULES = Long.getLong("lease.schedules", 1_000);

    private static final int PRINTED_SEEDS = 5;

    /** Properties of all schedules. */
    @TestInstance(TestInstance.Lifecycle.PER_CLASS)
    abstract static class Schedules {
        private final boolean hasRestores;
        private final List<LeaseModel.Result> results;

        Schedules(String title, boolean hasRestores) {
            this.hasRestores = hasRestores;
            results = LongStream.rangeClosed(1, SCHEDULES)
                    .mapToObj(seed -> new LeaseModel(seed, hasRestores).run())
                    .toList();
            System.out.println(title + ": " + summary());
        }

        @Test
        void neverLetTwoProcessesActWithOneToken() {
            assertNo(Violation.SHARED_TOKEN);
        }

        @Test
        void neverLetProcessActAfterHigherToken() {
            assertNo(Violation.LOWER_TOKEN);
        }

        @Test
        void neverReleaseLeaseWhileCallIsUnderWay() {
            assertNo(Violation.RELEASED_EARLY);
        }

        @Test
        void neverReturnDutiesToInstanceSoonAfterItLostThem() {
            assertNo(Violation.ALTERNATING_HOLDERS);
        }

        @Test
        void neverTakeEraToHaveBegunTooEarly() {
            assertNo(Violation.ERA_START_TOO_EARLY);
        }

        @Test
        void haveOneHolderAgainAfterLastFault() {
            assertNo(Violation.NOT_RECOVERED);
        }

        @Test
        void haveHandOversAndCalls() {
            assertThat(handOvers()).isGreaterThan(SCHEDULES);
            assertThat(calls()).isGreaterThan(SCHEDULES);
        }

        private void assertNo(Violation kind) {
            assertThat(violators(kind).stream().limit(PRINTED_SEEDS).map(result -> describe(result, kind)))
                    .as("first of %d schedules", violators(kind).size())
                    .isEmpty();
        }

        private List<LeaseModel.Result> violators(Violation kind) {
            return results.stream()
                    .filter(result -> result.violations().containsKey(kind))
                    .toList();
        }

        private String describe(LeaseModel.Result result, Violation kind) {
            LeaseModel.Result shrunk = LeaseModel.shrink(result.seed(), hasRestores, kind);
            return "seed " + result.seed() + ", shrunk to " + shrunk.trace() + ": "
                    + shrunk.violations().get(kind);
        }

        private long handOvers() {
            return results.stream()
                    .mapToLong(result -> Math.max(0, result.terms() - 1))
                    .sum();
        }

        private long calls() {
            return results.stream().mapToLong(LeaseModel.Result::calls).sum();
        }

        private String summary() {
            long restored =
                    results.stream().filter(result -> result.restores() > 0).count();
            return results.size() + " schedules, " + restored + " with restores, " + handOvers() + " hand-overs, "
                    + calls() + " duty calls, violations " + violationSummary();
        }

        private Map<Violation, String> violationSummary() {
            Map<Violation, String> summary = new EnumMap<>(Violation.class);
            for (Violation kind : Violation.values()) {
                List<Long> seeds =
                        violators(kind).stream().map(LeaseModel.Result::seed).toList();
                if (!seeds.isEmpty()) {
                    List<Long> firstSeeds = seeds.subList(0, Math.min(PRINTED_SEEDS, seeds.size()));
                    summary.put(kind, seeds.size() + " schedules, first seeds " + firstSeeds);
                }
            }
            return summary;
        }
    }

    @Nested
    class WithRestoresOfStoreFromOlderCopies extends Schedules {
        WithRestoresOfStoreFromOlderCopies() {
            super("with restores", true);
        }

        @Test
        void haveRestores() {
            assertThat(super.results).anyMatch(result -> result.restores() > 0);
        }
    }

    @Nested
    class WithoutRestores extends Schedules {
        WithoutRestores() {
            super("without restores", false);
        }
    }

    @Nested
    class ClockStepWhileRenewalIsUnderWay implements DutyLease.Clocks {
        private static final long TICK_MILLIS = 100;
        private static final long STEP_MILLIS = 2_000;

        private final FakeStore store = new FakeStore();
        private final DutyLease lease =
                new DutyLease(store, () -> 0, "one", this, processed -> isStoreReachable = processed);
        private boolean isStoreReachable;
        private long monotonicMillis;
        private long stepMillis;

        @Override
        public long monotonicMillis() {
            return monotonicMillis;
        }

        @Override
        public long wallMillis() {
            return monotonicMillis + stepMillis;
        }

        @Override
        public long clusterMillis() {
            return monotonicMillis;
        }

        @Test
        void neverGivesTermAnotherToken() {
            run(10 * DutyLease.RENEWAL_INTERVAL_MILLIS);
            long token = lease.fencingToken().orElseThrow();
            store.setWriteRepliesDropped(true);
            while (isStoreReachable) {
                run(TICK_MILLIS);
            }
            store.setWriteRepliesDropped(false);
            store.setRepliesDelayed(true);
            run(DutyLease.RENEWAL_INTERVAL_MILLIS / 2);
            stepMillis = STEP_MILLIS;
            run(TICK_MILLIS);
            store.setRepliesDelayed(false);
            run(TICK_MILLIS);
            assertThat(lease.fencingToken().orElse(token)).isEqualTo(token);
        }

        private void run(long millis) {
            for (long passed = 0; passed < millis; passed += TICK_MILLIS) {
                monotonicMillis += TICK_MILLIS;
                lease.tick(true);
            }
        }
    }
}
