package org.lovagethread.gateway.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lovagethread.gateway.upstream.UpstreamPauses.Decision;
import org.lovagethread.gateway.upstream.UpstreamPauses.DecisionKind;

class UpstreamPausesTest {
    private static final long SEED = 5;

    private final UpstreamPauses pauses = new UpstreamPauses(new Random(SEED)::nextDouble);
    private final Upstream first = upstream("i-1", 1);
    private final Upstream second = upstream("i-2", 1);

    private static Upstream upstream(String id, long startedAtMillis) {
        return new Upstream(new UpstreamEntry(id, "desk", "10.0.0.1", 80, "a", 6, false, false, startedAtMillis));
    }

    private void pause(Upstream upstream, double seconds, long sentMillis, long nowMillis) {
        pauses.record(upstream.entry(), PauseRequest.ofSeconds(seconds), sentMillis, nowMillis);
    }

    @Nested
    class End {
        /** Guards against a pause that a restarted process inherits, or that moves with the address. */
        @Test
        void appliesToOneProcess() {
            pause(first, 2, 0, 100);
            assertThat(pauses.isPaused(first.entry(), 2_099)).isTrue();
            assertThat(pauses.isPaused(first.entry(), 2_100)).isFalse();
            assertThat(pauses.isPaused(upstream("i-1", 2).entry(), 200)).isFalse();
            assertThat(pauses.isPaused(second.entry(), 200)).isFalse();
        }

        /** Guards against a late response to an earlier request that shortens the pause. */
        @Test
        void isShortenedOnlyByTheResponseToTheLatestRequest() {
            pause(first, 10, 50, 100);
            pause(first, 1, 20, 200);
            assertThat(pauses.isPaused(first.entry(), 10_099)).isTrue();
            pause(first, 12, 20, 300);
            assertThat(pauses.isPaused(first.entry(), 12_299)).isTrue();
            pause(first, 1, 60, 400);
            assertThat(pauses.isPaused(first.entry(), 1_400)).isFalse();
            assertThat(pauses.takeUnreported())
                    .extracting(Decision::kind)
                    .containsExactly(
                            DecisionKind.PAUSED, DecisionKind.UNCHANGED, DecisionKind.PAUSED, DecisionKind.PAUSED);
        }

        /** Guards against values with which an upstream makes itself unavailable, or ends a pause by mistake. */
        @ParameterizedTest
        @CsvSource({"3600,EXCESSIVE,30000", "Infinity,EXCESSIVE,30000", "-5,NEGATIVE,0", "NaN,UNREADABLE,1000"})
        void isBounded(double seconds, PauseRequest.Form form, long pauseMillis) {
            PauseRequest request = PauseRequest.ofSeconds(seconds);
            assertThat(request.form()).isEqualTo(form);
            assertThat(request.pauseMillis()).isEqualTo(pauseMillis);
        }

        /** Guards against an unreadable value that ends a pause early. */
        @Test
        void isNotShortenedByIrregularValues() {
            pause(first, 10, 50, 100);
            pause(first, -1, 60, 200);
            pauses.record(first.entry(), PauseRequest.unreadable(), 70, 300);
            assertThat(pauses.isPaused(first.entry(), 10_099)).isTrue();
        }
    }

    @Nested
    class Return {
        private int admitted(UpstreamPauses gateway, long nowMillis) {
            int count = 0;
            for (int i = 0; i < 100; i++) {
                count += gateway.candidates(List.of(first, second), Set.of(), nowMillis)
                                .contains(first)
                        ? 1
                        : 0;
            }
            return count;
        }

        /** Guards against all requests of all gateways at the end of the pause. */
        @Test
        void isSpreadOverRequests() {
            pause(first, 4, 0, 0);
            assertThat(admitted(pauses, 3_999)).isZero();
            assertThat(admitted(pauses, 4_100)).isBetween(1, 25);
            assertThat(admitted(pauses, 4_500)).isBetween(35, 65);
            assertThat(admitted(pauses, 5_000)).isEqualTo(100);
            pauses.expire(5_000);
            assertThat(pauses.takeUnreported())
                    .extracting(Decision::kind)
                    .containsExactly(DecisionKind.PAUSED, DecisionKind.ENDED);
        }

        /** Guards against refusals after the end of a pause. */
        @Test
        void isNotDelayedWithoutAnotherUpstream() {
            pause(first, 4, 0, 0);
            assertThat(pauses.candidates(List.of(first, second), Set.of("i-2"), 4_001))
                    .contains(first);
            assertThat(pauses.candidates(List.of(first), Set.of(), 4_001)).containsExactly(first);
        }

        /** Guards against callers that all return at the same time. */
        @Test
        void ofRefusedCallersIsSpread() {
            pause(first, 4, 0, 0);
            assertThat(pauses.retryAfterMillis(List.of(first, second), 1_000)).isEmpty();
            pause(second, 8, 0, 0);
            List<Long> times = new ArrayList<>();
            for (int i = 0; i < 100; i++) {
                times.add(pauses.retryAfterMillis(List.of(first, second), 1_000).orElseThrow());
            }
            assertThat(times).allMatch(time -> time >= 3_000 && time < 4_000);
            assertThat(Set.copyOf(times)).hasSizeGreaterThan(80);
        }
    }
}
