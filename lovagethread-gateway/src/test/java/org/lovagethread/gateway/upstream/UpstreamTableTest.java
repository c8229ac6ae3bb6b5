package org.lovagethread.gateway.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.store.StoreVersion;

class UpstreamTableTest {
    private static final long EXCHANGE_INTERVAL_MILLIS = 140;
    private static final long NEVER = -1_000_000;

    private final UpstreamTable table = new UpstreamTable();

    private static UpstreamEntry entry(String id, boolean leaving, long started) {
        return new UpstreamEntry(id, "pool", "10.0.0.1", 80, "a", 4, leaving, false, started);
    }

    @Nested
    class Leaving {
        @Test
        void marksAreNotKeptAliveByTwoPeers() {
            UpstreamTable peer = new UpstreamTable();
            table.put(entry("i-1", true, 1), 1, 0);
            long endMillis = 3 * UpstreamTable.LEAVING_MARK_MILLIS;
            for (long now = 0; now < endMillis; now += EXCHANGE_INTERVAL_MILLIS) {
                exchange(table, peer, now);
                exchange(peer, table, now);
                table.expire(true, NEVER, now);
                peer.expire(true, NEVER, now);
            }
            assertThat(table.leavingMarks(endMillis)).isEmpty();
            assertThat(peer.leavingMarks(endMillis)).isEmpty();
        }

        private void exchange(UpstreamTable from, UpstreamTable to, long nowMillis) {
            from.leavingMarks(nowMillis).forEach((mark, remaining) -> to.markLeaving(mark, remaining, nowMillis));
        }

        @Test
        void makesUpstreamUnavailable() {
            table.put(entry("i-1", false, 1), 1, 0);
            table.put(entry("i-1", true, 1), 1, 10);
            assertThat(table.available("pool")).isEmpty();
        }

        @Test
        void isNotRevertedByLaterEntryOfSameProcess() {
            table.put(entry("i-1", true, 1), 1, 0);
            table.put(entry("i-1", false, 1), 1, 10);
            assertThat(table.available("pool")).isEmpty();
        }

        @Test
        void ofAResponseOutlastsItsMarkAndLaterEntries() {
            table.put(entry("i-1", false, 1), 1, 0);
            LeavingMark mark = LeavingMark.announced(entry("i-1", false, 1));
            assertThat(table.markLeaving(mark, UpstreamTable.LEAVING_MARK_MILLIS, 10))
                    .isTrue();
            long laterMillis = 3 * UpstreamTable.LEAVING_MARK_MILLIS;
            table.expire(true, NEVER, laterMillis);
            table.put(entry("i-1", false, 1), 9, laterMillis);
            assertThat(table.available("pool")).isEmpty();
        }

        @Test
        void ofAResponseDoesNotAffectAnotherUpstreamAtTheSameAddress() {
            table.put(entry("i-1", false, 1), 1, 0);
            table.markLeaving(LeavingMark.announced(entry("i-1", false, 1)), UpstreamTable.LEAVING_MARK_MILLIS, 10);
            table.put(entry("i-2", false, 1), 2, 20);
            assertThat(table.available("pool"))
                    .extracting(upstream -> upstream.entry().id())
                    .containsExactly("i-2");
        }

        @Test
        void endsWhenProcessIsRestarted() {
            table.put(entry("i-1", true, 1), 1, 0);
            table.put(entry("i-1", false, 2), 1, 10);
            assertThat(table.available("pool")).hasSize(1);
        }

        @Test
        void isAppliedFromPeerMarks() {
            UpstreamTable peer = new UpstreamTable();
            peer.put(entry("i-1", true, 1), 1, 0);
            table.put(entry("i-1", false, 1), 1, 0);
            peer.leavingMarks(5).forEach((mark, remaining) -> table.markLeaving(mark, remaining, 5));
            assertThat(table.available("pool")).isEmpty();
        }

        @Test
        void isAppliedFromPeerMarkReceivedBeforeEntry() {
            table.markLeaving(LeavingMark.announced(entry("i-1", true, 1)), UpstreamTable.LEAVING_MARK_MILLIS, 5);
            table.put(entry("i-1", false, 1), 1, 10);
            assertThat(table.available("pool")).isEmpty();
        }
    }

    @Nested
    class Removal {
        @Test
        void isImmediateWhileStoreIsAvailable() {
            table.put(entry("i-1", false, 1), 1, 0);
            assertThat(table.remove("i-1", 2, NEVER, 10)).isTrue();
            assertThat(table.available("pool")).isEmpty();
        }

        @Test
        void isDeferredDuringGracePeriodAfterOutage() {
            table.put(entry("i-1", false, 1), 1, 0);
            assertThat(table.remove("i-1", 2, 5_000, 5_100)).isFalse();
            assertThat(table.available("pool")).hasSize(1);
            table.put(entry("i-1", false, 1), 1, 6_000);
            assertThat(table.expire(true, 5_000, 8_000)).isEmpty();
            assertThat(table.available("pool")).hasSize(1);
        }

        @Test
        void takesEffectAfterGracePeriodIfEntryIsStillMissing() {
            table.put(entry("i-1", false, 1), 1, 0);
            table.replaceAll(List.of(), 2, 5_000, 5_100);
            assertThat(table.expire(true, 5_000, 7_000)).containsExactly("i-1");
            assertThat(table.available("pool")).isEmpty();
        }

        @Test
        void isRevokedByAnEntryThatIsListedAgain() {
            table.put(entry("i-1", false, 1), 1, 0);
            table.remove("i-1", 2, NEVER, 10);
            table.put(entry("i-1", false, 1), 3, 10);
            assertThat(table.available("pool")).hasSize(1);
        }

        @Test
        void reportedByAPeerDoesNotExcludeAnEntryThatIsListedAgain() {
            UpstreamTable peer = new UpstreamTable();
            peer.put(entry("i-1", false, 1), 1, 0);
            peer.remove("i-1", 2, NEVER, 10);
            table.put(entry("i-1", false, 1), 3, 10);
            peer.leavingMarks(20).forEach((mark, remaining) -> table.markLeaving(mark, remaining, 20));
            assertThat(table.available("pool")).hasSize(1);
        }

        @Test
        void reportedByAPeerExcludesAnOlderEntryUntilItIsListedAgain() {
            UpstreamTable peer = new UpstreamTable();
            peer.put(entry("i-1", false, 1), 1, 0);
            peer.remove("i-1", 2, NEVER, 10);
            table.put(entry("i-1", false, 1), 1, 10);
            peer.leavingMarks(20).forEach((mark, remaining) -> table.markLeaving(mark, remaining, 20));
            assertThat(table.available("pool")).isEmpty();
            table.put(entry("i-1", false, 1), 3, 30);
            assertThat(table.available("pool")).hasSize(1);
        }

        @Test
        void isDeferredWhileTheStoreIsLostAgain() {
            table.put(entry("i-1", false, 1), 1, 0);
            table.remove("i-1", 2, 5_000, 5_100);
            assertThat(table.expire(false, 5_000, 8_000)).isEmpty();
            assertThat(table.expire(true, 9_000, 9_100)).isEmpty();
            assertThat(table.expire(true, 9_000, 11_000)).containsExactly("i-1");
        }
    }

    /** The store comes back from an older copy, which has entries that were removed. */
    @Nested
    class RestoredStore {
        @Test
        void doesNotBringBackUpstreamThatHasLeft() {
            table.put(entry("i-1", false, 1), StoreVersion.of(1, 50), 0);
            table.remove("i-1", StoreVersion.of(1, 60), NEVER, 10);
            table.put(entry("i-1", false, 1), StoreVersion.of(2, 55), 20);
            assertThat(table.available("pool")).isEmpty();
            table.put(entry("i-1", false, 2), StoreVersion.of(2, 56), 30);
            assertThat(table.available("pool")).hasSize(1);
        }

        @Test
        void excludesUpstreamThatIsStillListedNoLongerThanItsMark() {
            table.put(entry("i-1", false, 1), StoreVersion.of(1, 50), 0);
            table.remove("i-1", StoreVersion.of(1, 60), NEVER, 10);
            table.put(entry("i-1", false, 1), StoreVersion.of(2, 55), 20);
            table.expire(true, NEVER, 10 + UpstreamTable.LEAVING_MARK_MILLIS);
            assertThat(table.available("pool")).hasSize(1);
        }

        @Test
        void doesNotExcludeUpstreamThatIsWrittenAgainAfterItsGracePeriod() {
            table.put(entry("i-1", false, 1), StoreVersion.of(1, 50), 0);
            table.remove("i-1", StoreVersion.of(1, 60), 5_000, 5_100);
            table.replaceAll(List.of(), StoreVersion.of(2, 40), 5_500, 5_600);
            assertThat(table.expire(true, 5_500, 7_600)).containsExactly("i-1");
            table.put(entry("i-1", false, 1), StoreVersion.of(2, 45), 7_700);
            assertThat(table.available("pool")).hasSize(1);
        }

        @Test
        void doesNotExcludeUpstreamThatWasListedAgainBefore() {
            table.put(entry("i-1", false, 1), StoreVersion.of(1, 50), 0);
            table.remove("i-1", StoreVersion.of(1, 60), NEVER, 10);
            table.put(entry("i-1", false, 1), StoreVersion.of(1, 70), 20);
            table.put(entry("i-1", false, 1), StoreVersion.of(2, 55), 30);
            assertThat(table.available("pool")).hasSize(1);
        }
    }

    /** Fails if a restarted process is treated as slow because the one before it was. */
    @Test
    void forgetsSpeedOfRestartedProcess() {
        table.put(entry("i-1", false, 1), 1, 0);
        SpeedSums slow = SpeedSums.of(1_000, -1_000, 300).orElseThrow();
        table.find("i-1").orElseThrow().speed().updatePeer("g", slow, 0);
        assertThat(table.find("i-1").orElseThrow().speed().factor(0)).isLessThan(0.5);
        table.put(entry("i-1", false, 2), 2, 10);
        assertThat(table.find("i-1").orElseThrow().speed().factor(10)).isEqualTo(1);
    }
}
