package org.lovagethread.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lovagethread.gateway.config.RouteKind;

/** What a caller gets of a stream, in one response or after taking it up. */
class ExchangeStreamTest {
    private final FakeExchangeContext context = new FakeExchangeContext(3);

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

        // The end of the chunks followed a response that has none, where the caller expects the next response.
        @Test
        void areNotStartedForAHeadRequest() {
            context.method = HttpMethod.HEAD;
            context.start(RouteKind.EVENT_STREAM, true, 2);
            context.lastAttempt().sendHeader(200, FakeExchangeContext.PROOF);
            context.lastAttempt().listener.onEnd();
            assertThat(context.response).isEqualTo("200 ");
        }

        // What followed the events that came again was of another run, in a response that looked complete.
        @ParameterizedTest
        @ValueSource(strings = {"id: 2\ndata: x\n\n", "id: 1\ndata: x\n\nid: 2\ndata: y\n\n"})
        void areAbortedIfEventsComeAgain(String again) {
            context.start(RouteKind.EVENT_STREAM, false, 1);
            context.lastAttempt().sendHeader(200, FakeExchangeContext.PROOF);
            context.lastAttempt().sendData("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
            context.lastAttempt().sendData(again + "id: 3\ndata: z\n\n");
            context.lastAttempt().listener.onEnd();
            assertThat(context.streamedEvents).hasToString("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
            assertThat(context.response).isEqualTo("200 stream aborted");
        }

        @Test
        void mayContainEventsWithoutIdentifiers() {
            String begun = "id: 1\ndata: a\n\ndata: b\n\nid: x\ndata: c\n\nid: 2\ndata: d\n\n";
            String rest = "id: 3\ndata: e\n\n";
            context.start(RouteKind.EVENT_STREAM, true, 2);
            context.lastAttempt().sendHeader(200, FakeExchangeContext.PROOF);
            context.lastAttempt().sendData(begun);
            context.lastAttempt().listener.onFailure("reset");
            assertThat(context.lastAttempt().lastEventId).isEqualTo(2);
            context.lastAttempt().sendHeader(200, FakeExchangeContext.PROOF);
            context.lastAttempt().sendData(rest);
            context.lastAttempt().listener.onEnd();
            assertThat(context.streamedEvents).hasToString(begun + rest);
            assertThat(context.response).isEqualTo("200 stream complete");
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
    class StreamsThatACallerTakesUp {
        private static final long TAKEN_UP_AFTER = 12;

        StreamsThatACallerTakesUp() {
            context.lastEventId = OptionalLong.of(TAKEN_UP_AFTER);
            context.resumedRequestId = Optional.of("first");
            context.versions.recordBeginning("desk", "first", "", context.currentMillis);
        }

        private void startAndSend(boolean resumable, String events) {
            context.start(RouteKind.EVENT_STREAM, resumable, 1);
            context.lastAttempt().sendHeader(200, FakeExchangeContext.PROOF);
            context.lastAttempt().sendData(events);
        }

        @Test
        void goOnAfterTheLastEventOfTheCaller() {
            startAndSend(true, "id: 13\ndata: a\n\n");
            context.lastAttempt().listener.onEnd();
            assertThat(context.lastAttempt().lastEventId).isEqualTo(TAKEN_UP_AFTER);
            assertThat(context.streamedEvents).hasToString("id: 13\ndata: a\n\n");
            assertThat(context.response).isEqualTo("200 stream complete");
        }

        @Test
        void areCompleteWithoutAnEventIfTheCallerHasTheLastOne() {
            startAndSend(true, "");
            context.lastAttempt().listener.onEnd();
            assertThat(context.response).isEqualTo("200 stream complete");
        }

        // The caller got event 14 after event 12, or events of two runs, in a response that looked complete.
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "id: 14\ndata: b\n\n",
                    "id: 1\ndata: x\n\nid: 2\ndata: y\n\n",
                    "id: 12\ndata: x\n\nid: 13\ndata: a\n\n",
                    "data: a\n\n"
                })
        void doNotGoOnWithARunThatDoesNotContinueAfterTheLastEventOfTheCaller(String events) {
            startAndSend(true, events);
            assertThat(context.streamedEvents).hasToString("");
            assertThat(context.response).isEqualTo("502 upstream-failed");
        }

        @Test
        void goOnAtAnotherUpstreamIfTheFirstDoesNotContinueThem() {
            context.start(RouteKind.EVENT_STREAM, true, 2);
            context.lastAttempt().sendHeader(200, FakeExchangeContext.PROOF);
            context.lastAttempt().sendData("id: 1\ndata: x\n\n");
            context.lastAttempt().sendHeader(200, FakeExchangeContext.PROOF);
            context.lastAttempt().sendData("id: 13\ndata: a\n\n");
            context.lastAttempt().listener.onEnd();
            assertThat(context.lastAttempt().lastEventId).isEqualTo(TAKEN_UP_AFTER);
            assertThat(context.streamedEvents).hasToString("id: 13\ndata: a\n\n");
            assertThat(context.response).isEqualTo("200 stream complete");
        }

        // The caller of a stream that begins anew got it without its first events.
        @Test
        void beginAnewWhereTheRouteDoesNotResumeStreams() {
            startAndSend(false, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
            context.lastAttempt().listener.onEnd();
            assertThat(context.streamedEvents).hasToString("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
            assertThat(context.response).isEqualTo("200 stream complete");
        }
    }

    @Nested
    class ResumedStreams {
        private static final String BEGUN = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

        private FakeExchangeContext.FakeAttempt resume() {
            context.start(RouteKind.EVENT_STREAM, true, 2);
            context.lastAttempt().sendHeader(200, FakeExchangeContext.PROOF);
            context.lastAttempt().sendData(BEGUN);
            context.lastAttempt().listener.onFailure("reset");
            assertThat(context.attempts).hasSize(2);
            return context.lastAttempt();
        }

        private void assertAbortedAfter(String events) {
            assertThat(context.streamedEvents).hasToString(events);
            assertThat(context.response).isEqualTo("200 stream aborted");
        }

        @ParameterizedTest
        @ValueSource(ints = {302, 400, 404, 409, 429, 500, 503})
        void areAbortedAfterAnErrorOfTheNextUpstream(int status) {
            resume().respond(status, FakeExchangeContext.PROOF, "error\n\n");
            assertAbortedAfter(BEGUN);
        }

        @ParameterizedTest
        @ValueSource(ints = {200, 302, 404, 409, 503})
        void areAbortedAfterAResponseWithoutProofOfOrigin(int status) {
            resume().respond(status, "other", "error\n\n");
            assertAbortedAfter(BEGUN);
        }

        @Test
        void areAbortedAfterRefusalsOfAllOtherUpstreams() {
            resume().respond(503, FakeExchangeContext.NOT_RUN, "busy\n\n");
            context.lastAttempt().respond(503, FakeExchangeContext.NOT_RUN, "busy\n\n");
            assertAbortedAfter(BEGUN);
        }

        @Test
        void areResumedAtAThirdUpstreamIfTheSecondRefuses() {
            context.start(RouteKind.EVENT_STREAM, true, 3);
            context.lastAttempt().sendHeader(200, FakeExchangeContext.PROOF);
            context.lastAttempt().sendData(BEGUN);
            context.lastAttempt().listener.onFailure("reset");
            context.lastAttempt().respond(409, FakeExchangeContext.PROOF, "error");
            context.lastAttempt().sendHeader(200, FakeExchangeContext.PROOF);
            context.lastAttempt().sendData("id: 3\ndata: c\n\n");
            context.lastAttempt().listener.onEnd();
            assertThat(context.streamedEvents).hasToString(BEGUN + "id: 3\ndata: c\n\n");
            assertThat(context.response).isEqualTo("200 stream complete");
        }

        @Test
        void areAbortedAfterASuccessOfAnotherMediaType() {
            FakeExchangeContext.FakeAttempt next = resume();
            next.sendHeader(200, FakeExchangeContext.PROOF, "application/json");
            next.sendData("{}\n\n");
            next.listener.onEnd();
            assertAbortedAfter(BEGUN);
        }

        @ParameterizedTest
        @ValueSource(ints = {200, 204})
        void areAbortedIfTheNextUpstreamSendsNoEvent(int status) {
            FakeExchangeContext.FakeAttempt next = resume();
            next.sendHeader(status, FakeExchangeContext.PROOF);
            next.listener.onEnd();
            assertAbortedAfter(BEGUN);
        }

        @ParameterizedTest
        @ValueSource(
                strings = {"id: 1\ndata: x\n\nid: 2\ndata: y\n\nid: 3\ndata: z\n\n", "id: 4\ndata: d\n\n", "data: c\n\n"
                })
        void areAbortedIfTheNextUpstreamDoesNotContinueAfterTheLastEvent(String events) {
            FakeExchangeContext.FakeAttempt next = resume();
            next.sendHeader(200, FakeExchangeContext.PROOF);
            next.sendData(events);
            next.listener.onEnd();
            assertAbortedAfter(BEGUN);
        }

        @Test
        void areNotResumedAfterAnEventWithoutIdentifier() {
            context.start(RouteKind.EVENT_STREAM, true, 2);
            context.lastAttempt().sendHeader(200, FakeExchangeContext.PROOF);
            context.lastAttempt().sendData("data: a\n\n");
            context.lastAttempt().listener.onFailure("reset");
            assertThat(context.attempts).hasSize(1);
            assertAbortedAfter("data: a\n\n");
        }

        @Test
        void doNotContainEventsOfAFailedAttempt() {
            context.start(RouteKind.EVENT_STREAM, true, 2);
            context.lastAttempt().sendHeader(200, FakeExchangeContext.PROOF);
            context.lastAttempt().sendData("id: 1\ndata: a\n\nid: 3\ndata: c\n\nid: 2\ndata: old\n\n");
            assertThat(context.attempts).hasSize(2);
            assertThat(context.streamedEvents).hasToString("id: 1\ndata: a\n\n");
            context.attempts.get(0).sendData("id: 2\ndata: late\n\n");
            context.attempts.get(0).listener.onEnd();
            context.lastAttempt().sendHeader(200, FakeExchangeContext.PROOF);
            context.lastAttempt().sendData("id: 2\ndata: b\n\n");
            context.lastAttempt().listener.onEnd();
            assertThat(context.streamedEvents).hasToString("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
            assertThat(context.response).isEqualTo("200 stream complete");
        }
    }
}
