package org.lovagethread.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
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

        @ParameterizedTest
        @ValueSource(ints = {429, 503})
        void areNotReportedAsNotExecutedIfTheUpstreamDoesNotStateIt(int status) {
            context.start(RouteKind.AT_MOST_ONCE, false, 1);
            context.lastAttempt().respond(status, FakeExchangeContext.PROOF, "busy");
            assertThat(context.attempts).hasSize(1);
            assertThat(context.response).isEqualTo("502 upstream-failed");
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
            assertThat(context.attempts).hasSize(2);
            context.currentMillis += 300;
            exchange.tick(context.currentMillis);
            assertThat(context.attempts.get(0).cancelled).isTrue();
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

        private boolean isStillQuarantined() {
            context.promptQuarantine.evaluate(context.upstreams, context.currentMillis);
            return context.promptQuarantine.isQuarantined(context.prefix);
        }

        // A first event counted as proof, so a part that crashes upstreams after their first event was never refused.
        @Test
        void areReleasedWhenAStreamIsComplete() {
            context.start(RouteKind.EVENT_STREAM, true, 2);
            quarantine();
            assertThat(isStillQuarantined()).isTrue();
            context.lastAttempt().sendHeader(200, FakeExchangeContext.PROOF);
            context.lastAttempt().sendData("id: 1\ndata: a\n\n");
            assertThat(isStillQuarantined()).isTrue();
            context.lastAttempt().sendData("id: 2\ndata: b\n\n");
            assertThat(isStillQuarantined()).isTrue();
            context.lastAttempt().listener.onEnd();
            assertThat(isStillQuarantined()).isFalse();
        }

        @Test
        void areReleasedWhenAPlainResponseIsComplete() {
            context.start(RouteKind.IDEMPOTENT, false, 2);
            quarantine();
            context.lastAttempt().sendHeader(200, FakeExchangeContext.PROOF);
            context.lastAttempt().sendData("a");
            assertThat(isStillQuarantined()).isTrue();
            context.lastAttempt().listener.onEnd();
            assertThat(isStillQuarantined()).isFalse();
        }

        @Test
        void areNotReleasedByAResponseThatIsInterrupted() {
            context.start(RouteKind.EVENT_STREAM, true, 2);
            quarantine();
            context.lastAttempt().sendHeader(200, FakeExchangeContext.PROOF);
            context.lastAttempt().sendData("id: 1\ndata: a\n\n");
            context.lastAttempt().listener.onFailure("reset");
            assertThat(isStillQuarantined()).isTrue();
        }

        @Test
        void areNotReleasedByAStreamThatEndsInsideAnEvent() {
            context.start(RouteKind.EVENT_STREAM, true, 2);
            quarantine();
            context.lastAttempt().respond(200, FakeExchangeContext.PROOF, "id: 1\ndata: a\n\nid: 2");
            assertThat(isStillQuarantined()).isTrue();
            assertThat(context.promptQuarantine.crashLog().crashes()).hasSize(1);
        }

        @Test
        void areNotRetriedOnceTheirPartsWereUnansweredAtRepeatedCrashes() {
            for (int i = 0; i < UPSTREAMS; i++) {
                context.promptQuarantine.recordBreak(
                        context.upstreams.find("i-" + i).orElseThrow().entry(),
                        context.prefix,
                        false,
                        context.currentMillis,
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
    class SilentUpstreams {
        private Exchange startStream(FakeExchangeContext upstreams) {
            Exchange exchange = upstreams.start(RouteKind.EVENT_STREAM, true, 2);
            upstreams.lastAttempt().sendHeader(200, FakeExchangeContext.PROOF);
            upstreams.lastAttempt().sendData("id: 1\ndata: a\n\n");
            return exchange;
        }

        private void advance(FakeExchangeContext upstreams, Exchange exchange, long millis) {
            upstreams.currentMillis += millis;
            exchange.tick(upstreams.currentMillis);
        }

        private void endStream(FakeExchangeContext upstreams) {
            assertThat(upstreams.lastAttempt().cancelled).isFalse();
            upstreams.lastAttempt().sendData("id: 2\ndata: b\n\n");
            upstreams.lastAttempt().listener.onEnd();
        }

        @Test
        void doNotCutAStreamThatHasNoRetryBudget() {
            context.retryBudget = new RetryBudget(0, 0, 10_000);
            Exchange exchange = startStream(context);
            advance(context, exchange, 1_700);
            endStream(context);
            assertThat(context.response).isEqualTo("200 stream complete");
        }

        @Test
        void doNotCutAStreamThatNoOtherUpstreamCanContinue() {
            FakeExchangeContext single = new FakeExchangeContext(1);
            Exchange exchange = startStream(single);
            advance(single, exchange, 1_700);
            endStream(single);
            assertThat(single.response).isEqualTo("200 stream complete");
        }

        @Test
        void doNotCutAStreamWhoseOtherUpstreamsFail() {
            Exchange exchange = startStream(context);
            context.upstreams.all().stream()
                    .filter(upstream -> !upstream.entry()
                            .id()
                            .equals(context.lastAttempt().upstream.id()))
                    .forEach(upstream -> upstream.failureDetector().recordUnreachable(context.currentMillis, 10_000));
            advance(context, exchange, 1_700);
            endStream(context);
            assertThat(context.attempts).hasSize(1);
            assertThat(context.response).isEqualTo("200 stream complete");
        }

        @Test
        void doNotEndARequestThatHasNoRetryBudget() {
            context.retryBudget = new RetryBudget(0, 0, 10_000);
            Exchange exchange = context.start(RouteKind.IDEMPOTENT, false, 2);
            advance(context, exchange, 1_000);
            assertThat(context.lastAttempt().cancelled).isFalse();
            context.lastAttempt().respond(200, FakeExchangeContext.PROOF, "read");
            assertThat(context.response).isEqualTo("200 read");
        }

        @Test
        void mayPauseAStreamForASecondWithoutARetry() {
            Exchange exchange = startStream(context);
            advance(context, exchange, 1_200);
            endStream(context);
            assertThat(context.attempts).hasSize(1);
            assertThat(context.response).isEqualTo("200 stream complete");
        }

        @Test
        void areNotConfusedWithADelayOfTheGateway() {
            Exchange exchange = startStream(context);
            context.unobservedMillis = 1_600;
            advance(context, exchange, 1_700);
            endStream(context);
            assertThat(context.attempts).hasSize(1);
            assertThat(context.response).isEqualTo("200 stream complete");
        }

        @Test
        void areReplacedBeforeTheCallerAbandonsTheStream() {
            Exchange exchange = startStream(context);
            advance(context, exchange, 1_600);
            assertThat(context.attempts).hasSize(2);
            advance(context, exchange, 350);
            assertThat(context.attempts.get(0).cancelled).isTrue();
        }

        @Test
        void doNotCutAStreamWhoseReplacementFailsAtOnce() {
            Exchange exchange = startStream(context);
            advance(context, exchange, 1_600);
            context.lastAttempt().respond(500, FakeExchangeContext.PROOF, "error");
            FakeExchangeContext.FakeAttempt first = context.attempts.get(0);
            assertThat(first.cancelled).isFalse();
            first.sendData("id: 2\ndata: b\n\n");
            first.listener.onEnd();
            assertThat(context.streamedEvents).hasToString("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
            assertThat(context.response).isEqualTo("200 stream complete");
        }

        @Test
        void areCancelledWhenTheirReplacementBegins() {
            Exchange exchange = startStream(context);
            advance(context, exchange, 1_600);
            context.lastAttempt().sendHeader(200, FakeExchangeContext.PROOF);
            context.lastAttempt().sendData("id: 2\ndata: b\n\n");
            assertThat(context.attempts.get(0).cancelled).isTrue();
            context.attempts.get(0).sendData("id: 2\ndata: late\n\n");
            context.lastAttempt().listener.onEnd();
            assertThat(context.streamedEvents).hasToString("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        }

        @Test
        void areAvoidedEvenIfTheRequestCannotBeRetried() {
            context.retryBudget = new RetryBudget(0, 0, 10_000);
            Exchange exchange = startStream(context);
            String silentId = context.lastAttempt().upstream.id();
            advance(context, exchange, 1_600);
            assertThat(context.upstreams
                            .find(silentId)
                            .orElseThrow()
                            .failureDetector()
                            .shouldAvoid(context.currentMillis))
                    .isTrue();
        }
    }

    @Nested
    class SuspendedAttempts {
        private FakeExchangeContext.FakeAttempt suspendFirst(int maxUpstreams) {
            Exchange exchange = context.start(RouteKind.EVENT_STREAM, true, maxUpstreams);
            context.lastAttempt().sendHeader(200, FakeExchangeContext.PROOF);
            context.lastAttempt().sendData("id: 1\ndata: a\n\nid: 2\nda");
            context.currentMillis += 1_600;
            exchange.tick(context.currentMillis);
            assertThat(context.attempts).hasSize(2);
            return context.attempts.get(0);
        }

        @Test
        void goOnInsideTheEventAtWhichTheyWereSuspended() {
            FakeExchangeContext.FakeAttempt first = suspendFirst(2);
            context.lastAttempt().sendHeader(200, FakeExchangeContext.PROOF);
            context.lastAttempt().sendData("id: 2\ndata: ot");
            context.lastAttempt().listener.onFailure("reset");
            first.sendData("ta: b\n\n");
            first.listener.onEnd();
            assertThat(context.streamedEvents).hasToString("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
            assertThat(context.response).isEqualTo("200 stream complete");
        }

        // The exchange waited for an attempt whose end it had ignored.
        @Test
        void areNotResumedAfterTheyHaveFailed() {
            FakeExchangeContext.FakeAttempt first = suspendFirst(2);
            first.listener.onFailure("reset");
            context.lastAttempt().respond(500, FakeExchangeContext.PROOF, "error");
            assertThat(context.response).isEqualTo("200 stream aborted");
        }
    }

    @Nested
    class InternalErrors {
        @Test
        void endTheRequestWithAnError() {
            context.responseFailure = Optional.of(new IllegalArgumentException("invalid header"));
            context.start(RouteKind.AT_MOST_ONCE, false, 1);
            context.lastAttempt().respond(200, FakeExchangeContext.PROOF, "booked");
            assertThat(context.response).isEqualTo("502 upstream-failed");
            assertThat(context.record.outcome()).isEqualTo("internal-error");
        }

        @Test
        void doNotStartAStreamWithoutItsHeader() {
            context.responseFailure = Optional.of(new IllegalArgumentException("invalid header"));
            context.start(RouteKind.EVENT_STREAM, true, 2);
            context.lastAttempt().sendHeader(200, FakeExchangeContext.PROOF);
            context.lastAttempt().sendData("id: 1\ndata: a\n\n");
            assertThat(context.response).isEqualTo("502 upstream-failed");
            assertThat(context.streamedEvents).hasToString("");
            assertThat(context.lastAttempt().cancelled).isTrue();
        }

        @Test
        void abortAStreamThatHasStarted() {
            context.start(RouteKind.EVENT_STREAM, true, 2);
            context.lastAttempt().sendHeader(200, FakeExchangeContext.PROOF);
            context.lastAttempt().sendData("id: 1\ndata: a\n\n");
            context.responseFailure = Optional.of(new IllegalStateException("failure"));
            context.lastAttempt().sendData("id: 2\ndata: b\n\n");
            assertThat(context.response).isEqualTo("200 stream aborted");
            assertThat(context.lastAttempt().cancelled).isTrue();
        }

        @Test
        void inTheFirstAttemptEndTheRequestWithAnError() {
            context.sendFailure = Optional.of(new IllegalArgumentException("port out of range"));
            context.start(RouteKind.IDEMPOTENT, false, 2);
            assertThat(context.response).isEqualTo("502 upstream-failed");
            assertThat(context.upstreams.all())
                    .allMatch(upstream -> upstream.load().local().inFlight() == 0);
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
