package org.lovagethread.gateway.policy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.policy.ZoneShare.Conditions;

class ZoneShareTest {
    private static final Conditions HELPFUL = new Conditions(1, 0.3, 0, false, false);
    private static final double GAIN_MILLIS = 100;

    private final ZoneShare share = new ZoneShare();
    private long nowMillis;

    private double step(Conditions conditions, double gainMillis, int steps) {
        for (int i = 0; i < steps; i++) {
            share.recordGain(gainMillis, 0);
            share.step(conditions, nowMillis);
            nowMillis += ZoneShare.STEP_INTERVAL_MILLIS;
        }
        return share.share();
    }

    @Nested
    class Rise {
        /** Guards against all gateways of a zone leaving at the same moment. */
        @Test
        void isGradual() {
            assertThat(step(HELPFUL, GAIN_MILLIS, 1)).isBetween(0.0, ZoneShare.MAX_INCREASE);
            assertThat(step(HELPFUL, GAIN_MILLIS, 200)).isEqualTo(1);
        }

        /** Guards against leaving although the own upstreams suffice. */
        @Test
        void needsOwnShortage() {
            assertThat(step(new Conditions(0.5, 0.3, 0, false, false), GAIN_MILLIS, 20))
                    .isZero();
        }

        /** Guards against leaving that costs more time than it saves. */
        @Test
        void needsGain() {
            assertThat(step(HELPFUL, -1, 20)).isZero();
        }

        /** Guards against sending to a zone or over a link that is full. */
        @Test
        void needsCapacity() {
            assertThat(step(new Conditions(1, 1, 0, false, false), GAIN_MILLIS, 20))
                    .isZero();
            assertThat(step(new Conditions(1, 0.3, 0.9, false, false), GAIN_MILLIS, 20))
                    .isZero();
        }

        /** Guards against two zones that send to each other. */
        @Test
        void needsTargetThatDoesNotLeave() {
            assertThat(step(new Conditions(1, 0.3, 0, true, false), GAIN_MILLIS, 20))
                    .isZero();
        }

        /** Guards against a share that starts and ends again and again close to a threshold. */
        @Test
        void startsLaterThanItContinues() {
            double smallGainMillis = 15;
            assertThat(step(HELPFUL, smallGainMillis, 10)).isZero();
            double started = step(HELPFUL, GAIN_MILLIS, 5);
            assertThat(step(HELPFUL, smallGainMillis, 10)).isGreaterThan(started);
            assertThat(step(HELPFUL, 0, 1)).isEqualTo(share.share()).isGreaterThan(started);
        }
    }

    @Nested
    class Fall {
        /** Guards against requests that still leave when leaving no longer pays off. */
        @Test
        void endsWithoutGain() {
            step(HELPFUL, GAIN_MILLIS, 50);
            assertThat(step(HELPFUL, -GAIN_MILLIS, 40)).isZero();
        }

        /** Guards against a share that continues at its old size after a time without requests. */
        @Test
        void endsWithoutRequests() {
            step(HELPFUL, GAIN_MILLIS, 50);
            nowMillis += 10_000;
            assertThat(share.isUnused(nowMillis)).isTrue();
            share.step(new Conditions(0, 0.3, 0, false, false), nowMillis);
            assertThat(share.share()).isZero();
        }

        /** Guards against a zone that looks idle only because its reports are missing. */
        @Test
        void boundsShareWhileTargetIsSilent() {
            Conditions silent = new Conditions(1, 0, 0, false, true);
            assertThat(step(silent, GAIN_MILLIS, 50)).isLessThanOrEqualTo(ZoneShare.MAX_SILENT_SHARE);
            step(HELPFUL, GAIN_MILLIS, 50);
            assertThat(step(silent, GAIN_MILLIS, 15)).isLessThanOrEqualTo(ZoneShare.MAX_SILENT_SHARE);
        }
    }
}
