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

    /** Gateway with its own clocks. */
    private final class Instance implements DutyLease.Clocks {
        private final DutyLease lease;
        private final List<Boolean> outcomes = new ArrayList<>();
        private long monotonic = 1_000;
        private long wall = 1_000_000;

        private Instance(String name) {
            lease = new DutyLease(store, name, this, outcomes::add);
        }

        @Override
        public long monotonicMillis() {
            return monotonic;
        }

        @Override
        public long wallMillis() {
            return wall;
        }

        private void run(long millis, boolean candidate) {
            for (long i = 0; i < millis; i += 100) {
                monotonic += 100;
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
    class Acquisition {
        @Test
        void succeedsForOnlyOneInstance() {
            runBoth(20_000);
            assertThat(one.lease.isHeld()).isTrue();
            assertThat(two.lease.isHeld()).isFalse();
            assertThat(one.lease.fencingToken()).hasValue(1);
        }

        @Test
        void neverOverlapsOnTakeover() {
            runBoth(3_000);
            long heldUntil = 0;
            for (long i = 0; i < 10_000; i += 100) {
                one.monotonic += 100;
                one.wall += 100;
                heldUntil = one.lease.isHeld() ? i : heldUntil;
                two.run(100, true);
                assertThat(one.lease.isHeld() && two.lease.isHeld()).isFalse();
            }
            assertThat(two.lease.isHeld()).isTrue();
            assertThat(two.lease.fencingToken()).hasValue(2);
        }

        @Test
        void succeedsSoonAfterRelease() {
            runBoth(3_000);
            one.lease.release();
            two.run(1_200, true);
            assertThat(two.lease.isHeld()).isTrue();
        }
    }

    @Nested
    class Resignation {
        @Test
        void letsPeerTakeOverWithoutDelay() {
            runBoth(3_000);
            store.setUnavailable(true);
            one.run(DutyLease.LEASE_DURATION_MILLIS + 100, false);
            store.setUnavailable(false);
            two.run(1_200, true);
            assertThat(two.lease.isHeld()).isFalse();

            two.lease.recordPeerResignation(one.lease.resignedTerm().orElseThrow());
            two.run(1_200, true);
            assertThat(two.lease.isHeld()).isTrue();
            assertThat(two.lease.fencingToken()).hasValue(2);
        }

        @Test
        void endsTermPermanently() {
            one.run(3_000, true);
            store.setRepliesDelayed(true);
            one.run(DutyLease.LEASE_DURATION_MILLIS + 100, true);
            assertThat(one.lease.resignedTerm()).isPresent();
            store.setRepliesDelayed(false);
            one.run(1_000, true);
            assertThat(one.lease.isHeld()).isFalse();
        }

        @Test
        void isNotAnnouncedWhileClocksDiverge() {
            one.run(3_000, true);
            one.wall += 6_000;
            one.run(200, true);
            assertThat(one.lease.resignedTerm()).isEmpty();
        }
    }

    @Nested
    class Suspension {
        @Test
        void endsTermUntilStoreConfirmsIt() {
            one.run(3_000, true);
            one.wall += 6_000;
            assertThat(one.lease.fencingToken()).isEmpty();
            assertThat(one.lease.isHeld()).isFalse();
        }

        @Test
        void isDetectedWhenRenewalReplyIsDelayed() {
            one.run(3_000, true);
            store.setRepliesDelayed(true);
            one.run(1_200, true);
            one.wall += 7_000;
            store.setRepliesDelayed(false);
            assertThat(one.lease.fencingToken()).isEmpty();
        }
    }

    @Nested
    class LostReplies {
        @Test
        void doNotEndWrittenTerm() {
            one.run(3_000, true);
            store.setWriteRepliesDropped(true);
            one.run(1_500, true);
            store.setWriteRepliesDropped(false);
            one.run(2_000, true);
            assertThat(one.lease.isHeld()).isTrue();
            assertThat(one.lease.fencingToken()).hasValue(1);
        }

        @Test
        void areReportedToListener() {
            one.run(3_000, true);
            assertThat(one.outcomes).isNotEmpty().containsOnly(true);
            store.setUnavailable(true);
            one.run(2_000, true);
            assertThat(one.outcomes).endsWith(false);
        }

        @Test
        void doNotExtendDeadline() {
            one.run(3_000, true);
            store.setUnavailable(true);
            one.run(DutyLease.LEASE_DURATION_MILLIS + 1_000, true);
            assertThat(one.lease.isHeld()).isFalse();
        }
    }
}
