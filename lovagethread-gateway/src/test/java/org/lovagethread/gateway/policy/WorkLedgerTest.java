package org.lovagethread.gateway.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class WorkLedgerTest {
    private static final WorkLedger.Key KEY = WorkLedger.Key.of("a", 0, 1);

    private final WorkLedger ledger = new WorkLedger();

    private void report(String peer, long demanded, long served, long nowMillis) {
        ledger.updatePeer(peer, new WorkLedger.Totals(KEY, demanded, served), nowMillis);
    }

    private double demandRate(long nowMillis) {
        return ledger.rates(nowMillis).stream()
                .mapToDouble(WorkLedger.Rates::demanded)
                .sum();
    }

    @Nested
    class Peers {
        @Test
        void firstReportIsOnlyReference() {
            report("p#1", 1_000_000, 1_000_000, 0);
            assertThat(demandRate(0)).isZero();
        }

        /** Guards against work that counts twice because a datagram was duplicated or delayed. */
        @Test
        void duplicatedAndLateReportsChangeNothing() {
            report("p#1", 0, 0, 0);
            report("p#1", 2_000, 1_000, 100);
            double rate = demandRate(100);
            report("p#1", 2_000, 1_000, 100);
            report("p#1", 500, 500, 100);
            report("p#1", 2_000, 1_000, 100);
            assertThat(demandRate(100)).isEqualTo(rate).isPositive();
        }

        /** Guards against a restarted peer whose lower totals hide its work. */
        @Test
        void reportsOfNextProcessCountFromItsFirstReport() {
            report("p#1", 1_000_000, 0, 0);
            report("p#2", 100, 0, 0);
            report("p#2", 2_100, 0, 0);
            report("p#1", 1_000_000, 0, 0);
            assertThat(demandRate(0)).isEqualTo(1);
        }

        @Test
        void silentPeersAreForgotten() {
            report("p#1", 0, 0, 0);
            report("p#1", 2_000, 1_000, 100);
            ledger.expire(120_000);
            assertThat(ledger.rates(120_000)).isEmpty();
            report("p#1", 9_000, 9_000, 120_001);
            assertThat(demandRate(120_001)).isZero();
        }
    }

    @Nested
    class Reports {
        @Test
        void containTotalsSinceStart() {
            ledger.recordDemand(KEY, 300, 0);
            ledger.recordDemand(KEY, 200, 10);
            ledger.recordServed(KEY, 300, 20);
            assertThat(ledger.localTotals(20)).containsExactly(new WorkLedger.Totals(KEY, 500, 300));
        }

        /** Guards against work of other cells that is reported back to them. */
        @Test
        void ofCellsContainMembersButNotOtherCells() {
            ledger.recordDemand(KEY, 500, 0);
            report("member#1", 0, 0, 0);
            report("member#1", 100, 50, 0);
            report("cell:b", 0, 0, 0);
            report("cell:b", 7_000, 7_000, 0);
            assertThat(ledger.totalsExcept("cell:", 0)).containsExactly(new WorkLedger.Totals(KEY, 600, 50));
        }

        @Test
        void areBoundedToTheBusiestCustomers() {
            for (int i = 0; i < 1_000; i++) {
                ledger.recordDemand(WorkLedger.Key.of("c" + i, 0, 0), i + 1, 0);
            }
            assertThat(ledger.localTotals(0))
                    .hasSize(WorkLedger.MAX_REPORTED)
                    .allMatch(totals -> totals.demanded() > 1_000 - WorkLedger.MAX_REPORTED);
        }

        @Test
        void entriesAreBounded() {
            for (int i = 0; i < 2 * WorkLedger.MAX_ENTRIES; i++) {
                ledger.recordDemand(WorkLedger.Key.of("c" + i, 0, 0), 1_000, 0);
            }
            assertThat(ledger.rates(0)).hasSize(WorkLedger.MAX_ENTRIES);
        }
    }

    @Nested
    class Keys {
        @Test
        void rankOfCustomerGoesBeforeThatOfRoute() {
            assertThat(WorkLedger.Key.of("a", 0, 9).rank())
                    .isLessThan(WorkLedger.Key.of("a", 1, 0).rank());
        }

        @Test
        void prioritiesOutOfRangeCountAsTheNearest() {
            assertThat(WorkLedger.Key.of("a", -1, -1).rank()).isZero();
            assertThat(WorkLedger.Key.of("a", 1_000, 1_000).rank()).isEqualTo(99);
        }

        @Test
        void invalidValuesAreRejected() {
            assertThatThrownBy(() -> new WorkLedger.Key(1, 100)).hasMessageContaining("rank");
            assertThatThrownBy(() -> new WorkLedger.Totals(KEY, -1, 0)).hasMessageContaining("demanded");
            assertThatThrownBy(() -> new WorkLedger.Totals(KEY, 0, -1)).hasMessageContaining("served");
        }
    }
}
