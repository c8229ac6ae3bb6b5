package org.lovagethread.gateway.peer;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.lovagethread.wire.generated.CellState;
import org.lovagethread.wire.generated.WindowCount;

class CellTableTest {
    private final CellTable table = new CellTable("a");

    private static CellState summary(String zone, String speaker, long sequence) {
        return CellState.newBuilder()
                .setZone(zone)
                .setSpeaker(speaker)
                .setSequence(sequence)
                .setMembers(5)
                .build();
    }

    @Test
    void storesOnlyNewerSummariesOfOtherZones() {
        assertThat(table.update(summary("b", "b1#1", 3), 0)).isTrue();
        assertThat(table.update(summary("b", "b1#1", 2), 10)).isFalse();
        assertThat(table.update(summary("b", "b2#1", 1), 10)).isTrue();
        assertThat(table.update(summary("a", "a1#1", 1), 10)).isFalse();
        assertThat(table.liveSummaries(20)).hasSize(1);
    }

    @Test
    void keepsUsageCountsUntilNewOnesArrive() {
        WindowCount count = WindowCount.newBuilder()
                .setWindow(7)
                .setCustomer("c")
                .setRequests(3)
                .build();
        table.update(summary("b", "b1#1", 1).toBuilder().addWindows(count).build(), 0);
        table.update(summary("b", "b1#1", 2), 250);
        assertThat(table.liveSummaries(300).get(0).getWindowsList()).isEmpty();
        assertThat(table.liveSummariesWithUsage(300).get(0).getWindowsList()).containsExactly(count);
        assertThat(table.liveSummariesWithUsage(300).get(0).getSequence()).isEqualTo(2);
    }

    @Test
    void countsGatewaysOfUnreachableCells() {
        table.update(summary("b", "b1#1", 1), 0);
        assertThat(table.unreachableCount(CellTable.CELL_TIMEOUT_MILLIS - 1)).isZero();
        assertThat(table.unreachableCount(CellTable.CELL_TIMEOUT_MILLIS)).isEqualTo(5);
        assertThat(table.find("b", CellTable.CELL_TIMEOUT_MILLIS)).isEmpty();
    }
}
