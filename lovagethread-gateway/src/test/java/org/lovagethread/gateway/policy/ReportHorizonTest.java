package org.lovagethread.gateway.policy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ReportHorizonTest {
    private final ReportHorizon horizon = new ReportHorizon();

    private void report(String peer, boolean cell, long intervalMillis, long untilMillis) {
        for (long now = 0; now <= untilMillis; now += intervalMillis) {
            horizon.record(peer, cell, now);
        }
    }

    @Test
    void isTheIntervalOfReportsInAMesh() {
        report("a", false, 140, 1_400);
        assertThat(horizon.millis(1_400)).isBetween(140.0, 250.0);
    }

    /** Guards against a horizon that ignores the relays between cells. */
    @Test
    void coversThreeIntervalsBetweenCells() {
        report("a", false, 250, 2_000);
        report("cell:b", true, 250, 2_000);
        assertThat(horizon.millis(2_000)).isBetween(750.0, 850.0);
    }

    /** Guards against a horizon that ignores lost and overdue reports. */
    @Test
    void coversLostAndOverdueReports() {
        report("a", false, 140, 1_400);
        horizon.record("a", false, 1_820);
        assertThat(horizon.millis(1_820)).isGreaterThan(420);
        assertThat(horizon.millis(2_500)).isGreaterThan(680);
    }

    /** Guards against a gateway that stopped and limits the grants of the others for long. */
    @Test
    void disregardsSilentPeers() {
        report("a", false, 140, 2_800);
        report("b", false, 700, 700);
        assertThat(horizon.millis(2_800)).isLessThan(250);
    }
}
