package org.lovagethread.gateway.policy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class GrantHistoryTest {
    private final GrantHistory history = new GrantHistory();

    /** Guards against grants that are limited for longer or for less than the delay of reports. */
    @Test
    void weighsGrantsLessTheMorePeersKnowThem() {
        history.add(1_000, 5_000);
        assertThat(history.weightedSum(800, 5_100)).isEqualTo(1_000);
        assertThat(history.weightedSum(800, 5_400)).isBetween(400.0, 600.0);
        assertThat(history.weightedSum(800, 5_700)).isZero();
        assertThat(history.sum(800, 5_700)).isEqualTo(1_000);
        assertThat(history.sum(800, 5_900)).isZero();
    }

    /** Guards against old grants that appear again when their slot is used for the next period. */
    @Test
    void forgetsGrantsAfterThePeriod() {
        history.add(1_000, 5_000);
        history.add(10, 5_000 + 3 * GrantHistory.PERIOD_MILLIS);
        assertThat(history.sum(GrantHistory.PERIOD_MILLIS, 5_000 + 3 * GrantHistory.PERIOD_MILLIS))
                .isEqualTo(10);
    }

    /** Guards against requests that were refunded and still count as granted. */
    @Test
    void removesRefundedTokens() {
        history.add(1_000, 5_000);
        history.add(500, 5_100);
        history.remove(700);
        assertThat(history.sum(800, 5_100)).isEqualTo(800);
        history.remove(5_000);
        assertThat(history.sum(800, 5_100)).isZero();
    }
}
