package org.lovagethread.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.config.RouteKind;
import org.lovagethread.gateway.policy.PromptEvidence;
import org.lovagethread.gateway.policy.PromptPrefix;
import org.lovagethread.gateway.policy.RetryBudget;

class ExchangeTest {
    private final FakeExchangeContext context = new FakeExchangeContext(3);

    @Nested
    class AtMostOnceRequests {
        @Test
        void areNotRetriedAfterABrokenResponse() {
            context.start(RouteKind.AT_MOST_ONCE, false, 2);
            context.lastAttempt().listener.onFailure("reset");
            assertThat(context.attempts).hasSize(1);
            assertThat(context.response).isEqualTo("502 upstream-failed");
        }

        @Test
        void areRetriedIfTheUpstreamStatesThatItDidNotExecuteThem() {
            context.start(RouteKind.AT_MOST_ONCE, false, 1);
            context.lastAttempt().respond(503, FakeExchangeContext.NOT_RUN, "");
            assertThat(context.attempts).hasSize(2);
            context.lastAttempt().respond(200, FakeExchangeContext.PROOF, "booked");
            assertThat(context.response).isEqualTo("200 booked");
        }

        @Test
        void areRetriedIfTheConnectionFails() {
            context.start(RouteKind.AT_MOST_ONCE, false, 1);
            context.lastAttempt().listener.onNotSent();
            assertThat(context.attempts).hasSize(2);
        }

        @Test
        void areRefusedAsNotExecutedIfAllUpstreamsRejectThem() {
            context.start(RouteKind.AT_MOST_ONCE, false, 1);
            for (int i = 0; i < 3; i++) {
                context.lastAttempt().respond(503, FakeExchangeContext.NOT_RUN, "");
            }
            assertThat(context.attempts).hasSize(3);
            assertThat(context.response).isEqualTo("503 overloaded");
        }

        @Test
        void endWithUnknownOutcomeAtTheDeadline() {
            Exchange exchange = context.start(RouteKind.AT_MOST_ONCE, false, 1);
            context.currentMillis += 2_500;
            exchange.tick(context.currentMillis);
            assertThat(context.lastAttempt().cancelled).isTrue();
            assertThat(context.response).isEqualTo("504 deadline-after-send");
        }

        @Test
        void receiveTheErrorOfTheUpstream() {
            context.start(RouteKind.AT_MOST_ONCE, false, 1);
            context.lastAttempt().respond(500, FakeExchangeContext.PROOF, "error");
            assertThat(context.response).isEqualTo("500 error");
        }
    }

    @Nested
    class RetryableRequests {
        @Test
        void areRetriedAtAnotherUpstreamAfterAnError() {
            context.start(RouteKind.IDEMPOTENT, false, 2);
            context.lastAttempt().respond(500, FakeExchangeContext.PROOF, "error");
            context.lastAttempt().respond(200, FakeExchangeContext.PROOF, "read");
            assertThat(context.attempts.get(0).upstream.id())
                    .isNotEqualTo(context.attempts.get(1).upstream.id());
            assertThat(context.response).isEqualTo("200 read");
        }

        @Test
        void areNotRetriedBeyondTheRetryBudget() {
            context.retryBudget = new RetryBudget(0, 0, 10_000);
            context.start(RouteKind.IDEMPOTENT, false, 2);
            context.lastAttempt().listener.onFailure("reset");
            assertThat(context.attempts).hasSize(1);
        }

        @Test
        void areRetriedIfTheUpstreamIsInactive() {
            Exchange exchange = context.start(RouteKind.IDEMPOTENT, false, 2);
            context.currentMillis += 1_000;
            exchange.tick(context.currentMillis);
            assertThat(context.attempts.get(0).cancelled).isTrue();
            assertThat(context.attempts).hasSize(2);
        }

        @Test
        void areRetriedAfterAResponseWithoutProofOfOrigin() {
            context.start(RouteKind.IDEMPOTENT, false, 2);
            context.lastAttempt().respond(200, "other", "forged");
            context.lastAttempt().respond(200, FakeExchangeContext.PROOF, "own");
            assertThat(context.response).isEqualTo("200 own");
        }
    }

    @Nested
    class QuarantinedPrompts {
        private static final int UPSTREAMS = 3;

        QuarantinedPrompts() {
            context.prefix = PromptPrefix.parse("shared:10,own:1");
        }

        private void quarantine() {
            context.promptQuarantine.updatePeer(
                    "peer",
                    new PromptEvidence(
                            Map.of(),
                            Map.of(),
                            Map.of(),
                            Map.of("shared", new PromptEvidence.Quarantine(900, 20_000)),
                            Set.of()),
                    context.currentMillis);
            context.promptQuarantine.evaluate(context.upstreams, context.currentMillis);
        }

        @Test
        void areRefusedAsNotExecuted() {
            quarantine();
            context.start(RouteKind.EVENT_STREAM, true, 2);
            assertThat(context.attempts).isEmpty();
            assertThat(context.response).isEqualTo("503 prompt-quarantined");
        }

        @Test
        void areCancelledBeforeTheirFirstEventAndNotRetried() {
            Exchange exchange = context.start(RouteKind.EVENT_STREAM, true, 2);
            quarantine();
            exchange.tick(context.currentMillis);
            assertThat(context.attempts).singleElement().matches(attempt -> attempt.cancelled);
            assertThat(context.response).isEqualTo("502 upstream-failed");
        }

        @Test
        void areNotCancelledAfterTheirFirstEvent() {
            Exchange exchange = context.start(RouteKind.EVENT_STREAM, true, 2);
            context.lastAttempt().sendHeader(200, FakeExchangeContext.PROOF);
            context.lastAttempt().sendData("id: 1\ndata: a\n\n");
            quarantine();
            exchange.tick(context.currentMillis);
            assertThat(context.lastAttempt().cancelled).isFalse();
        }

        @Test
        void areReleasedWhenAResponseBegins() {
            context.start(RouteKind.EVENT_STREAM, true, 2);
            quarantine();
            assertThat(context.promptQuarantine.isQuarantined(context.prefix)).isTrue();
            context.lastAttempt().sendHeader(200, FakeExchangeContext.PROOF);
            context.lastAttempt().sendData("id: 1\ndata: a\n\n");
            context.promptQuarantine.evaluate(context.upstreams, context.currentMillis);
            assertThat(context.promptQuarantine.isQuarantined(context.prefix)).isFalse();
        }

        @Test
        void areNotRetriedOnceTheirPartsWereUnansweredAtRepeatedCrashes() {
            for (int i = 0; i < UPSTREAMS; i++) {
                context.promptQuarantine.recordBreak(
                        context.upstreams.find("i-" + i).orElseThrow().entry(),
                        context.prefix,
                        false,
                        context.currentMillis);
                context.currentMillis += 400;
            }
            context.promptQuarantine.evaluate(context.upstreams, context.currentMillis);
            context.start(RouteKind.EVENT_STREAM, true, 2);
            context.lastAttempt().listener.onFailure("reset");
            assertThat(context.attempts).hasSize(1);
            assertThat(context.response).isEqualTo("502 upstream-failed");
        }
    }

    @Nested
    class EventStreams {
        @Test
        void areResumedAfterTheLastEventAtAnotherUpstream() {
            context.start(RouteKind.EVENT_STREAM, true, 2);
            context.lastAttempt().sendHeader(200, FakeExchangeContext.PROOF);
            context.lastAttempt().sendData("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
            context.lastAttempt().listener.onFailure("reset");
            assertThat(context.lastAttempt().lastEventId).isEqualTo(2);
            context.lastAttempt().sendHeader(200, FakeExchangeContext.PROOF);
            context.lastAttempt().sendData("id: 3\ndata: c\n\n");
            context.lastAttempt().listener.onEnd();
            assertThat(context.streamedEvents).hasToString("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
            assertThat(context.response).isEqualTo("200 stream complete");
        }

        @Test
        void areAbortedIfTheyCannotBeResumed() {
            context.start(RouteKind.EVENT_STREAM, false, 2);
            context.lastAttempt().sendHeader(200, FakeExchangeContext.PROOF);
            context.lastAttempt().sendData("id: 1\ndata: a\n\n");
            context.lastAttempt().listener.onFailure("reset");
            assertThat(context.attempts).hasSize(1);
            assertThat(context.response).isEqualTo("200 stream aborted");
        }

        @Test
        void areAbortedIfTheyEndInTheMiddleOfAnEvent() {
            context.start(RouteKind.EVENT_STREAM, false, 1);
            context.lastAttempt().sendHeader(200, FakeExchangeContext.PROOF);
            context.lastAttempt().sendData("id: 1\ndata: a\n\nid: 2");
            context.lastAttempt().listener.onEnd();
            assertThat(context.response).isEqualTo("200 stream aborted");
        }

        @Test
        void areAbortedIfAnEventIsMissing() {
            context.start(RouteKind.EVENT_STREAM, false, 1);
            context.lastAttempt().sendHeader(200, FakeExchangeContext.PROOF);
            context.lastAttempt().sendData("id: 1\ndata: a\n\nid: 3\ndata: c\n\n");
            assertThat(context.streamedEvents).hasToString("id: 1\ndata: a\n\n");
            assertThat(context.response).isEqualTo("200 stream aborted");
        }
    }

    @Nested
    class DisconnectedCaller {
        @Test
        void cancelsTheRequestAtTheUpstream() {
            Exchange exchange = context.start(RouteKind.AT_MOST_ONCE, false, 1);
            exchange.onCallerDisconnected();
            assertThat(context.lastAttempt().cancelled).isTrue();
            assertThat(context.upstreams.all())
                    .allMatch(upstream -> upstream.load().local().inFlight() == 0);
        }
    }

    @Nested
    class NoUpstream {
        @Test
        void refusesTheRequest() {
            FakeExchangeContext empty = new FakeExchangeContext(0);
            empty.start(RouteKind.AT_MOST_ONCE, false, 1);
            assertThat(empty.response).isEqualTo("503 no-upstream");
            assertThat(empty.record.outcome()).isEqualTo("no-upstream");
        }
    }
}
