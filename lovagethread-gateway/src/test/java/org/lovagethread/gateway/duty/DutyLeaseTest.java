package org.lovagethread.gateway.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.store.EraStore;
import org.lovagethread.gateway.store.FakeStore;
import org.lovagethread.gateway.store.ObjectKind;

class DutyLeaseTest {
    /** Time after which the first candidate has acquired a lease that did not exist, and renewed it. */
    private static final long ACQUISITION_MILLIS = DutyLease.TAKEOVER_DELAY_MILLIS + 3_000;

    private final FakeStore store = new FakeStore();
    private final Instance one = new Instance("one");
    private final Instance two = new Instance("two");

    /** Gateway with its own clocks. */
    private final class Instance implements DutyLease.Clocks {
        private final EraStore eraStore;
        private final DutyLease lease;
        private final List<Boolean> outcomes = new ArrayList<>();
        private long monotonic = 1_000;
        private long wall = 1_000_000;

        private Instance(String name) {
            eraStore = new EraStore(store, new EventLog(name, new ByteArrayOutputStream()));
            lease = new DutyLease(eraStore, eraStore::era, name, this, outcomes::add);
        }

        private long token() {
            return lease.fencingToken().orElseThrow();
        }

        @Override
        public long clusterMillis() {
            return wall;
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
        }

        @Test
        void waitsUntilNoUnknownHolderCanAct() {
            one.run(DutyLease.TAKEOVER_DELAY_MILLIS, true);
            assertThat(one.lease.isHeld()).isFalse();
            one.run(1_200, true);
            assertThat(one.lease.isHeld()).isTrue();
        }

        @Test
        void keepsTokenOfTerm() {
            one.run(ACQUISITION_MILLIS, true);
            long token = one.token();
            one.run(20_000, true);
            assertThat(one.lease.fencingToken()).hasValue(token);
        }

        @Test
        void neverOverlapsOnTakeover() {
            runBoth(ACQUISITION_MILLIS);
            long firstToken = one.token();
            long heldUntil = 0;
            for (long i = 0; i < 10_000; i += 100) {
                one.monotonic += 100;
                one.wall += 100;
                heldUntil = one.lease.isHeld() ? i : heldUntil;
                two.run(100, true);
                assertThat(one.lease.isHeld() && two.lease.isHeld()).isFalse();
            }
            assertThat(two.lease.isHeld()).isTrue();
            assertThat(two.token()).isGreaterThan(firstToken);
        }

        @Test
        void succeedsSoonAfterRelease() {
            runBoth(ACQUISITION_MILLIS);
            one.lease.release();
            runBoth(DutyLease.CALL_MARGIN_MILLIS + 1_200);
            assertThat(two.lease.isHeld()).isTrue();
            assertThat(one.lease.isHeld()).isFalse();
        }
    }

    @Nested
    class FirstStart {
        private final FakeStore.Copy empty = store.copy();

        @Test
        void letsFirstCandidateAcquireLeaseAtOnce() {
            one.lease.markFirstStart();
            one.run(200, true);
            assertThat(one.lease.isHeld()).isTrue();
        }

        @Test
        void doesNotShortenDelayAfterRestore() {
            one.lease.markFirstStart();
            two.lease.markFirstStart();
            store.restore(empty);
            two.eraStore.read(ObjectKind.CONFIGURATION, "main", reply -> {});
            two.run(200, false);
            one.run(400, true);
            assertThat(one.lease.isHeld()).isTrue();
            store.restore(empty);
            two.run(DutyLease.TAKEOVER_DELAY_MILLIS - 500, true);
            assertThat(two.lease.isHeld()).isFalse();
        }

        @Test
        void doesNotShortenDelayLater() {
            one.lease.markFirstStart();
            one.run(DutyLease.TAKEOVER_DELAY_MILLIS, false);
            one.run(DutyLease.TAKEOVER_DELAY_MILLIS, true);
            assertThat(one.lease.isHeld()).isFalse();
            one.run(1_200, true);
            assertThat(one.lease.isHeld()).isTrue();
        }
    }

    @Nested
    class Release {
        @Test
        void startsNoFurtherCall() {
            one.run(ACQUISITION_MILLIS, true);
            one.lease.release();
            assertThat(one.lease.fencingToken()).isEmpty();
        }

        @Test
        void waitsUntilLastCallHasEnded() {
            runBoth(ACQUISITION_MILLIS);
            one.lease.release();
            for (long i = 0; i < DutyLease.CALL_MARGIN_MILLIS - 100; i += 100) {
                runBoth(100);
                assertThat(two.lease.isHeld()).isFalse();
            }
        }

        @Test
        void isFinal() {
            one.run(ACQUISITION_MILLIS, true);
            one.lease.release();
            one.run(20_000, true);
            assertThat(one.lease.isHeld()).isFalse();
        }
    }

    @Nested
    class Resignation {
        @Test
        void letsPeerTakeOverWithoutDelay() {
            runBoth(ACQUISITION_MILLIS);
            long firstToken = one.token();
            store.setUnavailable(true);
            one.run(DutyLease.LEASE_DURATION_MILLIS + 100, false);
            store.setUnavailable(false);
            two.run(1_200, true);
            assertThat(two.lease.isHeld()).isFalse();

            two.lease.recordPeerResignation(one.lease.resignedTerm().orElseThrow());
            two.run(1_200, true);
            assertThat(two.lease.isHeld()).isTrue();
            assertThat(two.token()).isGreaterThan(firstToken);
        }

        @Test
        void endsTermPermanently() {
            one.run(ACQUISITION_MILLIS, true);
            store.setRepliesDelayed(true);
            one.run(DutyLease.LEASE_DURATION_MILLIS + 100, true);
            assertThat(one.lease.resignedTerm()).isPresent();
            store.setRepliesDelayed(false);
            one.run(1_000, true);
            assertThat(one.lease.isHeld()).isFalse();
        }

        @Test
        void isNotAnnouncedWhileClocksDiverge() {
            one.run(ACQUISITION_MILLIS, true);
            one.wall += 6_000;
            one.run(200, true);
            assertThat(one.lease.resignedTerm()).isEmpty();
        }
    }

    @Nested
    class Suspension {
        @Test
        void endsTermUntilStoreConfirmsIt() {
            one.run(ACQUISITION_MILLIS, true);
            one.wall += 6_000;
            assertThat(one.lease.fencingToken()).isEmpty();
            assertThat(one.lease.isHeld()).isFalse();
        }

        @Test
        void isDetectedWhenRenewalReplyIsDelayed() {
            one.run(ACQUISITION_MILLIS, true);
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
            one.run(ACQUISITION_MILLIS, true);
            long token = one.token();
            store.setWriteRepliesDropped(true);
            one.run(1_500, true);
            store.setWriteRepliesDropped(false);
            one.run(2_000, true);
            assertThat(one.lease.isHeld()).isTrue();
            assertThat(one.lease.fencingToken()).hasValue(token);
        }

        @Test
        void areReportedToListener() {
            one.run(ACQUISITION_MILLIS, true);
            assertThat(one.outcomes).isNotEmpty().containsOnly(true);
            store.setUnavailable(true);
            one.run(2_000, true);
            assertThat(one.outcomes).endsWith(false);
        }

        @Test
        void doNotExtendDeadline() {
            one.run(ACQUISITION_MILLIS, true);
            store.setUnavailable(true);
            one.run(DutyLease.LEASE_DURATION_MILLIS + 1_000, true);
            assertThat(one.lease.isHeld()).isFalse();
        }
    }

    /** The store comes back from an older copy. */
    @Nested
    class RestoredStore {
        private final FakeStore.Copy empty = store.copy();
        private final Instance three = new Instance("three");

        private void handOver(Instance from, Instance to) {
            from.lease.release();
            from.run(DutyLease.CALL_MARGIN_MILLIS, false);
            to.run(1_200, true);
            assertThat(to.lease.isHeld()).isTrue();
        }

        @Test
        void doesNotGiveTokenOfFormerHolderToItsSuccessor() {
            one.run(ACQUISITION_MILLIS, true);
            FakeStore.Copy beforeHandOver = store.copy();
            handOver(one, two);
            long formerToken = two.token();
            store.restore(beforeHandOver);
            three.run(ACQUISITION_MILLIS, true);
            assertThat(three.token()).isGreaterThan(formerToken);
        }

        @Test
        void doesNotBeginTokensAnewWithoutObject() {
            one.run(ACQUISITION_MILLIS, true);
            long formerToken = one.token();
            store.restore(empty);
            two.run(ACQUISITION_MILLIS, true);
            assertThat(two.token()).isGreaterThan(formerToken);
        }

        @Test
        void givesHigherTokenAfterEachOfTwoRestores() {
            one.run(ACQUISITION_MILLIS, true);
            FakeStore.Copy beforeHandOver = store.copy();
            handOver(one, two);
            store.restore(beforeHandOver);
            two.run(ACQUISITION_MILLIS, true);
            long formerToken = two.token();
            store.restore(beforeHandOver);
            store.restore(empty);
            three.run(ACQUISITION_MILLIS, true);
            assertThat(three.token()).isGreaterThan(formerToken);
        }

        @Test
        void doesNotLetReleaseOfEarlierEraEndLaterTerm() {
            one.run(ACQUISITION_MILLIS, true);
            one.lease.release();
            one.run(DutyLease.CALL_MARGIN_MILLIS, false);
            FakeStore.Copy released = store.copy();
            two.run(1_200, true);
            store.restore(released);
            for (int i = 0; i < 60; i++) {
                two.run(100, false);
                three.run(100, true);
                assertThat(two.lease.fencingToken().isPresent()
                                && three.lease.fencingToken().isPresent())
                        .isFalse();
            }
            three.run(1_200, true);
            assertThat(three.lease.isHeld()).isTrue();
        }

        @Test
        void doesNotTrustResignationFromTermOfEarlierEra() {
            one.run(ACQUISITION_MILLIS, true);
            FakeStore.Copy firstTerm = store.copy();
            store.setUnavailable(true);
            one.run(DutyLease.LEASE_DURATION_MILLIS + 100, false);
            store.setUnavailable(false);
            String resigned = one.lease.resignedTerm().orElseThrow();
            two.lease.recordPeerResignation(resigned);
            three.lease.recordPeerResignation(resigned);
            two.run(1_200, true);
            assertThat(two.lease.isHeld()).isTrue();
            store.restore(firstTerm);
            three.run(DutyLease.TAKEOVER_DELAY_MILLIS, true);
            assertThat(three.lease.isHeld()).isFalse();
        }

        @Test
        void endsTermAsSoonAsAnyReplyNamesLaterEra() {
            one.run(ACQUISITION_MILLIS, true);
            store.restore(store.copy());
            one.eraStore.read(ObjectKind.CONFIGURATION, "main", reply -> {});
            assertThat(one.lease.fencingToken()).isEmpty();
            assertThat(one.lease.isHeld()).isFalse();
        }

        @Test
        void tellsWhenEraHadBegun() {
            one.run(ACQUISITION_MILLIS, true);
            long firstStart = one.lease.eraSinceMillis();
            store.restore(store.copy());
            long restored = one.wall;
            one.run(ACQUISITION_MILLIS, true);
            assertThat(firstStart).isBetween(1_000_000L, 1_000_000L + DutyLease.RENEWAL_INTERVAL_MILLIS);
            assertThat(one.lease.eraSinceMillis()).isBetween(restored, restored + 2_000);
            long secondStart = one.lease.eraSinceMillis();
            handOver(one, two);
            assertThat(two.lease.eraSinceMillis()).isEqualTo(secondStart);
        }
    }
}
