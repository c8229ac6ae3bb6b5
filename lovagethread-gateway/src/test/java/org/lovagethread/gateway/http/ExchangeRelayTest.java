package org.lovagethread.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.config.RouteKind;

class ExchangeRelayTest {
    private static final int MAX_ATTEMPTS = 3;

    private final FakeExchangeContext context = new FakeExchangeContext(MAX_ATTEMPTS);
    private final List<Long> relayedDeadlines = new ArrayList<>();

    ExchangeRelayTest() {
        context.fallback = (noConnections, deadlineMillis) -> {
            if (noConnections) {
                relayedDeadlines.add(deadlineMillis);
            }
            return noConnections;
        };
    }

    private void failToConnect(int attempts) {
        for (int i = 0; i < attempts; i++) {
            context.lastAttempt().listener.onNotSent();
        }
    }

    @Nested
    class RequestsThatNoUpstreamCouldReceive {
        @Test
        void arePassedOnWithTheirDeadline() {
            context.start(RouteKind.AT_MOST_ONCE, false, 1);
            failToConnect(MAX_ATTEMPTS);
            assertThat(relayedDeadlines).containsExactly(context.currentMillis + 2_500);
            assertThat(context.response).isEmpty();
            assertThat(context.record.outcome()).isEqualTo("relayed");
        }

        @Test
        void areRefusedIfTheyCannotBePassedOn() {
            context.fallback = RelayFallback.NONE;
            context.start(RouteKind.AT_MOST_ONCE, false, 1);
            failToConnect(MAX_ATTEMPTS);
            assertThat(context.response).isEqualTo("503 no-upstream");
        }

        @Test
        void areNotTouchedAgain() {
            Exchange exchange = context.start(RouteKind.AT_MOST_ONCE, false, 1);
            failToConnect(MAX_ATTEMPTS);
            exchange.onCallerDisconnected();
            exchange.onShutdown(context.currentMillis);
            context.currentMillis += 2_500;
            exchange.tick(context.currentMillis);
            assertThat(context.response).isEmpty();
            assertThat(relayedDeadlines).hasSize(1);
        }
    }

    @Nested
    class RequestsThatAnUpstreamReceived {
        @Test
        void areNotPassedOnIfTheyMayHaveRun() {
            context.start(RouteKind.IDEMPOTENT, false, MAX_ATTEMPTS);
            context.lastAttempt().listener.onFailure("reset");
            failToConnect(MAX_ATTEMPTS - 1);
            assertThat(relayedDeadlines).isEmpty();
            assertThat(context.response).isEqualTo("502 upstream-failed");
        }

        @Test
        void areNotPassedOnAfterARejection() {
            context.start(RouteKind.AT_MOST_ONCE, false, 1);
            context.lastAttempt().respond(503, FakeExchangeContext.NOT_RUN, "");
            failToConnect(MAX_ATTEMPTS - 1);
            assertThat(relayedDeadlines).isEmpty();
            assertThat(context.response).startsWith("503");
        }

        @Test
        void areNotPassedOnAfterAStreamHasBegun() {
            context.start(RouteKind.EVENT_STREAM, true, MAX_ATTEMPTS);
            context.lastAttempt().sendHeader(200, FakeExchangeContext.PROOF);
            context.lastAttempt().sendData("id: 1\ndata: a\n\n");
            context.lastAttempt().listener.onFailure("reset");
            failToConnect(MAX_ATTEMPTS - 1);
            assertThat(relayedDeadlines).isEmpty();
            assertThat(context.response).isEqualTo("200 stream aborted");
        }
    }
}
