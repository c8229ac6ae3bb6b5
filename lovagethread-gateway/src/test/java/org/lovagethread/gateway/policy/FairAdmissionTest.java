package org.lovagethread.gateway.policy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class FairAdmissionTest {
    private static final String SERVICE = "pool";
    private static final long WORK = 1_000;
    private static final WorkLedger.Key USUAL = WorkLedger.Key.of("usual", 0, 0);
    private static final WorkLedger.Key HOT = WorkLedger.Key.of("hot", 0, 0);
    private static final int HOT_FACTOR = 20;

    private final FairAdmission admission = new FairAdmission(() -> 0.5);
    private int hotAdmitted;
    private int usualAdmitted;

    private boolean submit(WorkLedger.Key key, double waitShare, long nowMillis) {
        admission.ledger(SERVICE).recordDemand(key, WORK, nowMillis);
        boolean admitted = admission.admits(SERVICE, key, nowMillis);
        if (admitted) {
            admission.recordFirstEvent(SERVICE, key, WORK, waitShare, nowMillis);
        }
        return admitted;
    }

    /** Submits one usual request and {@link #HOT_FACTOR} of the other customer every 10 ms. */
    private void play(double waitShare, long fromMillis, long toMillis) {
        hotAdmitted = 0;
        usualAdmitted = 0;
        for (long now = fromMillis; now < toMillis; now += 10) {
            usualAdmitted += submit(USUAL, waitShare, now) ? 1 : 0;
            for (int i = 0; i < HOT_FACTOR; i++) {
                hotAdmitted += submit(HOT, waitShare, now) ? 1 : 0;
            }
        }
    }

    /** Guards against refusals while slots are free, whatever a customer demands. */
    @Test
    void admitsAllWithoutContention() {
        play(0.1, 0, 5_000);
        assertThat(usualAdmitted).isEqualTo(500);
        assertThat(hotAdmitted).isEqualTo(500 * HOT_FACTOR);
        assertThat(admission.contendedServices(5_000)).isZero();
    }

    @Test
    void limitsOnlyTheCustomerAboveItsShareUnderContention() {
        play(0.6, 0, 5_000);
        assertThat(usualAdmitted).isEqualTo(500);
        assertThat(hotAdmitted).isLessThan(300 * HOT_FACTOR);
        assertThat(admission.contendedServices(5_000)).isEqualTo(1);
        assertThat(admission.refusals()).isEqualTo(500L * HOT_FACTOR - hotAdmitted);
    }

    /** Guards against waits so long that nothing is admitted, after which the average would not recover. */
    @Test
    void admitsMoreAgainAfterVeryLongWaits() {
        play(100, 0, 5_000);
        assertThat(hotAdmitted).isPositive();
        play(0, 5_000, 40_000);
        play(0, 40_000, 41_000);
        assertThat(hotAdmitted).isEqualTo(100 * HOT_FACTOR);
    }

    /** Guards against refusals without a limit if first events stay late for other reasons than the load. */
    @Test
    void capacityIsReducedToShareOfRecentOneAtMost() {
        play(0.1, 0, 5_000);
        play(0.6, 5_000, 10_000);
        assertThat(hotAdmitted + usualAdmitted).isGreaterThan((int) (0.3 * 500 * (HOT_FACTOR + 1)));
        assertThat(usualAdmitted).isEqualTo(500);
    }

    @Test
    void oneLateFirstEventIsNoContention() {
        admission.recordFirstEvent(SERVICE, HOT, WORK, 100, 10_000);
        assertThat(submit(HOT, 0, 10_001)).isTrue();
        assertThat(admission.contendedServices(10_001)).isZero();
    }

    /** Guards against a limit that outlasts the requests, when no first event reports a shorter wait. */
    @Test
    void contentionEndsWithoutRequests() {
        play(0.6, 0, 5_000);
        assertThat(submit(HOT, 0, 60_000)).isTrue();
        assertThat(admission.contendedServices(60_000)).isZero();
    }

    /** Guards against customers that stay limited on account of a gateway that was killed under load. */
    @Test
    void demandOfSilentPeerEnds() {
        WorkLedger ledger = admission.ledger(SERVICE);
        ledger.updatePeer("p#1", new WorkLedger.Totals(USUAL, 0, 0), 0);
        ledger.updatePeer("p#1", new WorkLedger.Totals(USUAL, 4_000_000, 1_000_000), 0);
        play(0.6, 0, 2_000);
        assertThat(usualAdmitted).isLessThan(200);
        play(0, 2_000, 20_000);
        play(0, 20_000, 21_000);
        assertThat(usualAdmitted).isEqualTo(100);
    }

    /** Guards against a changed rank that keeps the share of the former one. */
    @Test
    void changedRankAppliesToNextRequests() {
        play(0.6, 0, 5_000);
        WorkLedger.Key promoted = WorkLedger.Key.of("hot", 0, 0);
        WorkLedger.Key demoted = WorkLedger.Key.of("usual", 1, 0);
        int admittedDemoted = 0;
        for (long now = 5_000; now < 10_000; now += 10) {
            admittedDemoted += submit(demoted, 0.6, now) ? 1 : 0;
            for (int i = 0; i < HOT_FACTOR; i++) {
                submit(promoted, 0.6, now);
            }
        }
        assertThat(admittedDemoted).isLessThan(50);
    }

    /** Guards against a clock that does not advance or steps back. */
    @Test
    void backwardClockStepsChangeNothing() {
        play(0.6, 10_000, 15_000);
        play(0.6, 14_000, 16_000);
        assertThat(usualAdmitted).isEqualTo(200);
    }
}
