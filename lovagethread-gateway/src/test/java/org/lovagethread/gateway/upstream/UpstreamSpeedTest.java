package org.lovagethread.gateway.upstream;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class UpstreamSpeedTest {
    /** Standard deviation of the logarithm of response times. */
    private static final double NOISE = 0.5;

    private static final long SEED = 3;
    private static final long INTERVAL_MILLIS = 100;

    private final UpstreamSpeed speed = new UpstreamSpeed();
    private final Random random = new Random(SEED);
    private long nowMillis;

    /** Records responses of an upstream of the given speed. */
    private void play(UpstreamSpeed target, double trueSpeed, int responses) {
        for (int i = 0; i < responses; i++) {
            nowMillis += INTERVAL_MILLIS;
            double noise = Math.exp(NOISE * random.nextGaussian());
            target.record(target.factor(nowMillis) / trueSpeed * noise, nowMillis);
        }
    }

    private static SpeedSums sums(double samples, double logSpeed) {
        return SpeedSums.of(samples, samples * logSpeed, samples * 0.3).orElseThrow();
    }

    @Nested
    class Estimate {
        /** Fails if a fast upstream is never used as one. */
        @Test
        void followsLastingSpeed() {
            play(speed, 1.7, 300);
            assertThat(speed.factor(nowMillis)).isCloseTo(1.7, within(0.25));
        }

        /** Fails if an upstream that becomes slow for good is not recognized. The samples of one gateway are shrunk. */
        @Test
        void followsLastingChange() {
            play(speed, 1, 300);
            play(speed, 0.4, 300);
            assertThat(speed.factor(nowMillis)).isBetween(0.35, 0.55);
        }

        /** Fails if noise moves work between upstreams of equal speed. */
        @Test
        void isOneWithinNoise() {
            int exactlyOne = 0;
            for (int upstream = 0; upstream < 100; upstream++) {
                UpstreamSpeed equal = new UpstreamSpeed();
                play(equal, 1, 200);
                assertThat(equal.factor(nowMillis)).isBetween(0.8, 1.25);
                exactlyOne += equal.factor(nowMillis) == 1 ? 1 : 0;
            }
            assertThat(exactlyOne).isGreaterThan(80);
        }

        /** Fails if a few samples decide. */
        @Test
        void isOneAfterFewSamples() {
            play(speed, 1.7, 5);
            assertThat(speed.factor(nowMillis)).isEqualTo(1);
        }

        /** Fails if an upstream that stalls for some hundred milliseconds counts as a slow one. */
        @Test
        void isKeptInStall() {
            for (int stall = 0; stall < 20; stall++) {
                play(speed, 1, 60);
                play(speed, 0.4, 6);
            }
            assertThat(speed.factor(nowMillis)).isBetween(0.8, 1.25);
        }

        /** Fails if wrong samples can exclude an upstream for good. */
        @Test
        void isBounded() {
            play(speed, 0.001, 2_000);
            assertThat(speed.factor(nowMillis)).isCloseTo(1 / UpstreamSpeed.MAX_FACTOR, within(1e-9));
        }
    }

    @Nested
    class Peers {
        /** Fails if a gateway that has just started treats all upstreams as equal. */
        @Test
        void teachNewGateway() {
            speed.updatePeer("g1", sums(60, Math.log(1.7)), 0);
            speed.updatePeer("g2", sums(60, Math.log(1.7)), 0);
            assertThat(speed.factor(0)).isGreaterThan(1.4);
        }

        /** Fails if the last report of a silent peer counts forever. */
        @Test
        void expire() {
            speed.updatePeer("g1", sums(200, Math.log(1.7)), 0);
            assertThat(speed.factor(0)).isGreaterThan(1.4);
            assertThat(speed.factor(31_000)).isEqualTo(1);
        }

        /** Fails if a report of impossible sums is believed. */
        @Test
        void cannotReportImpossibleSums() {
            assertThat(SpeedSums.of(10, 1_000, 1)).isEmpty();
            assertThat(SpeedSums.of(Double.NaN, 0, 0)).isEmpty();
            assertThat(SpeedSums.of(1e9, 0, 0)).isEmpty();
        }
    }

    /** Fails if small changes of the estimate move many shared prompts to other engines. */
    @Test
    void weightChangesRarely() {
        play(speed, 1.5, 500);
        int changes = 0;
        double previous = speed.weight(nowMillis);
        for (int i = 0; i < 5_000; i++) {
            play(speed, 1.5, 1);
            double weight = speed.weight(nowMillis);
            changes += weight != previous ? 1 : 0;
            previous = weight;
        }
        assertThat(changes).isLessThanOrEqualTo(10);
    }
}
