package org.lovagethread.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.config.RouteKind;

/** Checks what upstreams that have requested a pause receive from exchanges. */
class ExchangePauseTest {
    private final FakeExchangeContext context = new FakeExchangeContext(3);

    private void rejectWithPause(long millis) {
        context.pauseMillis = millis;
        context.lastAttempt().respond(503, FakeExchangeContext.NOT_RUN, "");
    }

    /** Guards against requests, trials and retries that reach an upstream during its pause. */
    @Test
    void receiveNothingUntilTheirPauseEnds() {
        context.start(RouteKind.IDEMPOTENT, false, 3);
        String paused = context.lastAttempt().upstream.id();
        rejectWithPause(2_000);
        context.lastAttempt().respond(200, FakeExchangeContext.PROOF, "ok");
        for (int i = 0; i < 100; i++) {
            context.currentMillis += 19;
            context.start(RouteKind.IDEMPOTENT, false, 3);
            assertThat(context.lastAttempt().upstream.id()).isNotEqualTo(paused);
            context.lastAttempt().respond(500, FakeExchangeContext.PROOF, "");
            assertThat(context.lastAttempt().upstream.id()).isNotEqualTo(paused);
            context.lastAttempt().respond(200, FakeExchangeContext.PROOF, "ok");
        }
    }

    /** Guards against a request that is held, or whose caller returns before any upstream wants requests. */
    @Test
    void leadToARefusalWithTheEarliestEndIfAllArePaused() {
        context.start(RouteKind.AT_MOST_ONCE, false, 1);
        rejectWithPause(8_000);
        rejectWithPause(3_000);
        rejectWithPause(5_000);
        assertThat(context.response).isEqualTo("503 overloaded");
        assertThat(context.retryAfterMillis).isBetween(3_000L, 4_000L);
        int sent = context.attempts.size();
        context.currentMillis += 1_000;
        context.start(RouteKind.AT_MOST_ONCE, false, 1);
        assertThat(context.attempts).hasSize(sent);
        assertThat(context.response).isEqualTo("503 no-upstream");
        assertThat(context.retryAfterMillis).isBetween(2_000L, 3_000L);
    }

    /** Guards against the claim that a request did not run which an upstream may have run before. */
    @Test
    void areNoReasonToReportARequestAsNotExecutedThatMayHaveRun() {
        context.start(RouteKind.IDEMPOTENT, false, 3);
        context.lastAttempt().listener.onFailure("connection closed");
        rejectWithPause(3_000);
        rejectWithPause(3_000);
        assertThat(context.response).isEqualTo("502 upstream-failed");
    }
}
