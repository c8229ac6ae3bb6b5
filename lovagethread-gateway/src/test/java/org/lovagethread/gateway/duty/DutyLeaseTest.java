package org.lovagethread.gateway.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.store.FakeStore;

class DutyLeaseTest {
    private final FakeStore store = new FakeStore();
    private final Instance one = new Instance("one");
    private final Instance two = new Instance("two");

    /** A gateway with clocks of its own. */
    private final class Instance implements DutyLease.Clocks {
        private final DutyLease lease;
        private final List<Boolean> outcomes = new ArrayList<>();
        private long steady = 1_000;
        private long wall = 1_000_000;

        private Instance(String name) {
            lease = new DutyLease(store, name, this, outcomes::add);
        }

        @Override
        public long steadyMillis() {
            return steady;
        }

        @Override
        public long wallMillis() {
            return wall;
        }

        private void run(long millis, boolean candidate) {
            for (long i = 0; i < millis; i += 100) {
                steady += 100;
                wall += 100;
                lease.tick(candidate);
            }
        }
    }

    private void runBoth(long millis) {
        for (long i = 0; i < millis; i += 100) {
            one.run(100, true);
            two.run(100, true);
        }
    }

    @Nested
    class Holding {
        @Test
        void isForOneAtATime() {
            runBoth(20_000);
            assertThat(one.lease.holds()).isTrue();
            assertThat(two.lease.holds()).isFalse();
            assertThat(one.lease.fence()).hasValue(1);
        }

        @Test
        void endsBeforeAnotherTakesOver() {
            runBoth(3_000);
            long heldUntil = 0;
            for (long i = 0; i < 10_000; i += 100) {
                one.steady += 100;
                one.wall += 100;
                heldUntil = one.lease.holds() ? i : heldUntil;
                two.run(100, true);
                assertThat(one.lease.holds() && two.lease.holds()).isFalse();
            }
            assertThat(two.lease.holds()).isTrue();
            assertThat(two.lease.fence()).hasValue(2);
        }

        @Test
        void passesOnAtOnceWhenGivenUp() {
            runBoth(3_000);
            one.lease.release();
            two.run(1_200, true);
            assertThat(two.lease.holds()).isTrue();
        }
    }

    @Nested
    class Resigning {
        @Test
        void letsAPeerTakeTheLeaseWithoutWaiting() {
            runBoth(3_000);
            store.unavailable(true);
            one.run(DutyLease.LEASE_MILLIS + 100, false);
            store.unavailable(false);
            two.run(1_200, true);
            assertThat(two.lease.holds()).isFalse();

            two.lease.peerResigned(one.lease.resignedTerm().orElseThrow());
            two.run(1_200, true);
            assertThat(two.lease.holds()).isTrue();
            assertThat(two.lease.fence()).hasValue(2);
        }

        @Test
        void endsTheTermForGood() {
            one.run(3_000, true);
            store.delaysReplies(true);
            one.run(DutyLease.LEASE_MILLIS + 100, true);
            assertThat(one.lease.resignedTerm()).isPresent();
            store.delaysReplies(false);
            one.run(1_000, true);
            assertThat(one.lease.holds()).isFalse();
        }

        @Test
        void isNotSaidWhileTheClocksDisagree() {
            one.run(3_000, true);
            one.wall += 6_000;
            one.run(200, true);
            assertThat(one.lease.resignedTerm()).isEmpty();
        }
    }

    @Nested
    class Pausing {
        @Test
        void endsTheTermUntilTheStoreConfirmsIt() {
            one.run(3_000, true);
            one.wall += 6_000;
            assertThat(one.lease.fence()).isEmpty();
            assertThat(one.lease.holds()).isFalse();
        }

        @Test
        void isNoticedWhenTheAnswerToARenewalArrivesLate() {
            one.run(3_000, true);
            store.delaysReplies(true);
            one.run(1_200, true);
            one.wall += 7_000;
            store.delaysReplies(false);
            assertThat(one.lease.fence()).isEmpty();
        }
    }

    @Nested
    class LostAnswers {
        @Test
        void doNotEndATermThatIsWritten() {
            one.run(3_000, true);
            store.dropsWriteReplies(true);
            one.run(1_500, true);
            store.dropsWriteReplies(false);
            one.run(2_000, true);
            assertThat(one.lease.holds()).isTrue();
            assertThat(one.lease.fence()).hasValue(1);
        }

        @Test
        void areToldToThoseWhoAskWhetherTheStoreIsReached() {
            one.run(3_000, true);
            assertThat(one.outcomes).isNotEmpty().containsOnly(true);
            store.unavailable(true);
            one.run(2_000, true);
            assertThat(one.outcomes).endsWith(false);
        }

        @Test
        void doNotLetTheTermOutliveItsDeadline() {
            one.run(3_000, true);
            store.unavailable(true);
            one.run(DutyLease.LEASE_MILLIS + 1_000, true);
            assertThat(one.lease.holds()).isFalse();
        }
    }
}
