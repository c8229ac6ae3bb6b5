package org.lovagethread.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.config.RouteKind;
import org.lovagethread.gateway.upstream.Upstream;

class AttemptRecorderTest {
    private final FakeExchangeContext context = new FakeExchangeContext(1);

    private double speedSamples() {
        return context.upstreams().all().stream()
                .map(Upstream::speed)
                .mapToDouble(speed -> speed.local().samples())
                .sum();
    }

    /** Fails if an upstream that quickly responds with failures appears to be fast and attracts requests. */
    @Test
    void failuresAreNoSpeedSamples() {
        context.start(RouteKind.IDEMPOTENT, false, 1);
        context.lastAttempt().respond(500, FakeExchangeContext.PROOF, "error");
        context.start(RouteKind.IDEMPOTENT, false, 1);
        context.lastAttempt().respond(404, FakeExchangeContext.PROOF, "missing");
        context.start(RouteKind.IDEMPOTENT, false, 1);
        context.lastAttempt().listener.onFailure("reset");
        assertThat(speedSamples()).isZero();
    }

    @Test
    void successfulResponsesAreSpeedSamples() {
        context.start(RouteKind.IDEMPOTENT, false, 1);
        context.currentMillis += 20;
        context.lastAttempt().respond(200, FakeExchangeContext.PROOF, "read");
        assertThat(speedSamples()).isEqualTo(1);
    }
}
