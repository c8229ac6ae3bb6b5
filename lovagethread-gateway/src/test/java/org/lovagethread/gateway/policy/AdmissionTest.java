package org.lovagethread.gateway.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.config.Route;
import org.lovagethread.gateway.config.RouteKind;
import org.lovagethread.gateway.upstream.Upstream;
import org.lovagethread.gateway.upstream.UpstreamEntry;

class AdmissionTest {
    private static final long TARGET_MILLIS = 600;
    private static final long TIMEOUT_MILLIS = 15_000;
    private static final Upstream UPSTREAM =
            new Upstream(new UpstreamEntry("i-1", "pool", "10.0.0.1", 80, "a", 48, false, false, 1));

    private final Admission admission = new Admission();

    private static Admission.Candidate candidate(RouteKind kind, OptionalLong targetMillis) {
        Route route = Route.builder("r")
                .match("h", "/")
                .kind(kind, true, 2)
                .times(TIMEOUT_MILLIS, TARGET_MILLIS, 250)
                .services(List.of(new Route.WeightedService("pool", 1)))
                .build();
        return new Admission.Candidate(route, targetMillis, TIMEOUT_MILLIS);
    }

    private static Admission.Candidate stream() {
        return candidate(RouteKind.EVENT_STREAM, OptionalLong.of(TARGET_MILLIS));
    }

    private static Placement.Choice choice(double predictedMillis, double processingMillis) {
        return new Placement.Choice(UPSTREAM, 1_000, 1_000, predictedMillis, processingMillis, false);
    }

    @Nested
    class PlainRequests {
        /** Guards against fast requests that are refused because other routes of the service are slow. */
        @Test
        void areAdmittedToFreeSlotsHoweverSlowTheServiceIs() {
            Placement.Choice free = new Placement.Choice(UPSTREAM, 0, 0, 2 * TIMEOUT_MILLIS, TIMEOUT_MILLIS, false);
            Placement.Choice full = new Placement.Choice(UPSTREAM, 0, 0, 2 * TIMEOUT_MILLIS, TIMEOUT_MILLIS, true);
            Admission.Candidate request = candidate(RouteKind.IDEMPOTENT, OptionalLong.empty());
            assertThat(admission.admits(request, free)).isTrue();
            assertThat(admission.admits(request, full)).isFalse();
        }
    }

    @Nested
    class Streams {
        @Test
        void areAdmittedIfTheyMeetTheirTarget() {
            assertThat(admission.admits(stream(), choice(TARGET_MILLIS - 1, 100)))
                    .isTrue();
        }

        @Test
        void areRefusedIfTheQueueMakesThemLate() {
            assertThat(admission.admits(stream(), choice(TARGET_MILLIS + 1, 100)))
                    .isFalse();
        }

        @Test
        void areAdmittedWithLongPromptsToShortQueues() {
            double processingMillis = 2 * TARGET_MILLIS;
            assertThat(admission.admits(stream(), choice(processingMillis + 0.4 * TARGET_MILLIS, processingMillis)))
                    .isTrue();
            assertThat(admission.admits(stream(), choice(processingMillis + 0.6 * TARGET_MILLIS, processingMillis)))
                    .isFalse();
        }

        @Test
        void areAdmittedUntilTheirCallersGiveUpIfNoTargetIsStated() {
            Admission.Candidate untargeted = candidate(RouteKind.EVENT_STREAM, OptionalLong.empty());
            assertThat(admission.admits(untargeted, choice(3 * TARGET_MILLIS, 100)))
                    .isTrue();
            assertThat(admission.admits(untargeted, choice(TIMEOUT_MILLIS - 1, 100)))
                    .isFalse();
        }
    }

    @Nested
    class OtherRequests {
        @Test
        void areAdmittedUntilTheirDeadline() {
            Admission.Candidate booking = candidate(RouteKind.AT_MOST_ONCE, OptionalLong.empty());
            assertThat(admission.admits(booking, choice(TIMEOUT_MILLIS - 1, 0))).isTrue();
            assertThat(admission.admits(booking, choice(TIMEOUT_MILLIS, 0))).isFalse();
        }
    }

    @Nested
    class RetryDelays {
        private static final double PROCESSING_MILLIS = 100;

        @Test
        void lastUntilTheBacklogHasBeenProcessed() {
            assertThat(admission.retryAfterMillis(stream(), choice(1_000, 100), PROCESSING_MILLIS, 50_000))
                    .isEqualTo(1_000);
        }

        @Test
        void growWithTheCallersThatWillReturn() {
            long previous = 0;
            for (int i = 0; i < 10; i++) {
                long delay = admission.retryAfterMillis(stream(), choice(1_000, 100), PROCESSING_MILLIS, 50_000);
                assertThat(delay).isGreaterThanOrEqualTo(previous + (i == 0 ? 0 : (long) PROCESSING_MILLIS));
                previous = delay;
            }
        }

        @Test
        void areLimitedToAThirdOfTheRemainingTime() {
            for (int i = 0; i < 100; i++) {
                assertThat(admission.retryAfterMillis(stream(), choice(1_000, 100), PROCESSING_MILLIS, 50_000))
                        .isLessThanOrEqualTo(TIMEOUT_MILLIS / 3);
            }
        }
    }
}
