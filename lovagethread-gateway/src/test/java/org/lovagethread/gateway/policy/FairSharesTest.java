package org.lovagethread.gateway.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.junit.jupiter.api.Test;

class FairSharesTest {
    private static final WorkLedger.Key SMALL = new WorkLedger.Key(1, 0);
    private static final WorkLedger.Key MIDDLE = new WorkLedger.Key(2, 0);
    private static final WorkLedger.Key LARGE = new WorkLedger.Key(3, 0);
    private static final WorkLedger.Key LESS_URGENT = new WorkLedger.Key(1, 1);

    private static FairShares shares(double small, double middle, double large, double lessUrgent) {
        return new FairShares(List.of(
                new WorkLedger.Rates(SMALL, small, 0),
                new WorkLedger.Rates(LARGE, large, 0),
                new WorkLedger.Rates(LESS_URGENT, lessUrgent, 0),
                new WorkLedger.Rates(MIDDLE, middle, 0)));
    }

    @Test
    void customersBelowTheLevelGetAll() {
        FairShares shares = shares(1, 3, 20, 0);
        assertThat(shares.withinShare(SMALL, 10)).isEqualTo(1);
        assertThat(shares.withinShare(MIDDLE, 10)).isEqualTo(1);
        assertThat(shares.withinShare(LARGE, 10)).isCloseTo(6 / 20.0, within(1e-9));
    }

    @Test
    void customersAboveTheLevelShareEqually() {
        FairShares shares = shares(1, 8, 20, 0);
        assertThat(shares.withinShare(MIDDLE, 10)).isCloseTo(4.5 / 8, within(1e-9));
        assertThat(shares.withinShare(LARGE, 10)).isCloseTo(4.5 / 20, within(1e-9));
    }

    @Test
    void sufficientCapacityLimitsNobody() {
        FairShares shares = shares(1, 8, 20, 1);
        assertThat(shares.meetsDemand(30)).isTrue();
        assertThat(shares.meetsDemand(29)).isFalse();
        assertThat(shares.withinShare(LARGE, 30)).isEqualTo(1);
    }

    /** Guards against less urgent requests that get capacity which more urgent ones demand. */
    @Test
    void ranksGoBeforeFairness() {
        FairShares shares = shares(1, 8, 20, 1);
        assertThat(shares.withinShare(LESS_URGENT, 25)).isZero();
        assertThat(shares.withinShare(LARGE, 25)).isCloseTo(16 / 20.0, within(1e-9));
        assertThat(shares(1, 2, 3, 8).withinShare(LESS_URGENT, 10)).isCloseTo(0.5, within(1e-9));
    }

    @Test
    void unknownCustomersAreNotLimited() {
        assertThat(shares(1, 8, 20, 1).withinShare(new WorkLedger.Key(9, 0), 10))
                .isEqualTo(1);
    }
}
