package org.lovagethread.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.config.RouteKind;
import org.lovagethread.gateway.policy.RetryBudget;

class ExchangeTest {
    private final FakeContext context = new FakeContext(3);

    @Nested
    class RequestsThatRunAtMostOnce {
        @Test
        void areNotSentAgainAfterABrokenAnswer() {
            context.start(RouteKind.AT_MOST_ONCE, false, 2);
            context.last().listener.broken("reset");
            assertThat(context.sends).hasSize(1);
            assertThat(context.answer).isEqualTo("502 upstream-failed");
        }

        @Test
        void areSentAgainWhenTheUpstreamStatesThatTheyDidNotRun() {
            context.start(RouteKind.AT_MOST_ONCE, false, 1);
            context.last().answer(503, FakeContext.NOT_RUN, "");
            assertThat(context.sends).hasSize(2);
            context.last().answer(200, FakeContext.PROOF, "booked");
            assertThat(context.answer).isEqualTo("200 booked");
        }

        @Test
        void areSentAgainWhenNoConnectionCouldBeOpened() {
            context.start(RouteKind.AT_MOST_ONCE, false, 1);
            context.last().listener.notSent();
            assertThat(context.sends).hasSize(2);
        }

        @Test
        void areRefusedAsNotRunOnlyIfThatIsCertain() {
            context.start(RouteKind.AT_MOST_ONCE, false, 1);
            for (int i = 0; i < 3; i++) {
                context.last().answer(503, FakeContext.NOT_RUN, "");
            }
            assertThat(context.sends).hasSize(3);
            assertThat(context.answer).isEqualTo("503 overloaded");
        }

        @Test
        void endAtTheTimeoutWithoutAPromise() {
            Exchange exchange = context.start(RouteKind.AT_MOST_ONCE, false, 1);
            context.now += 2_500;
            exchange.tick(context.now);
            assertThat(context.last().cancelled).isTrue();
            assertThat(context.answer).isEqualTo("504 deadline-after-send");
        }

        @Test
        void passOnTheUpstreamsOwnFailure() {
            context.start(RouteKind.AT_MOST_ONCE, false, 1);
            context.last().answer(500, FakeContext.PROOF, "error");
            assertThat(context.answer).isEqualTo("500 error");
        }
    }

    @Nested
    class RequestsThatMayRunAgain {
        @Test
        void areSentToAnotherUpstreamAfterAFailure() {
            context.start(RouteKind.IDEMPOTENT, false, 2);
            context.last().answer(500, FakeContext.PROOF, "error");
            context.last().answer(200, FakeContext.PROOF, "read");
            assertThat(context.sends.get(0).upstream.id())
                    .isNotEqualTo(context.sends.get(1).upstream.id());
            assertThat(context.answer).isEqualTo("200 read");
        }

        @Test
        void areNotSentBeyondTheBudget() {
            context.retries = new RetryBudget(0, 0, 10_000);
            context.start(RouteKind.IDEMPOTENT, false, 2);
            context.last().listener.broken("reset");
            assertThat(context.sends).hasSize(1);
        }

        @Test
        void leaveASilentUpstream() {
            Exchange exchange = context.start(RouteKind.IDEMPOTENT, false, 2);
            context.now += 1_000;
            exchange.tick(context.now);
            assertThat(context.sends.get(0).cancelled).isTrue();
            assertThat(context.sends).hasSize(2);
        }

        @Test
        void passOverAnAnswerWithoutProof() {
            context.start(RouteKind.IDEMPOTENT, false, 2);
            context.last().answer(200, "other", "forged");
            context.last().answer(200, FakeContext.PROOF, "own");
            assertThat(context.answer).isEqualTo("200 own");
        }
    }

    @Nested
    class Streams {
        @Test
        void goOnAfterTheLastEventAtAnotherUpstream() {
            context.start(RouteKind.EVENT_STREAM, true, 2);
            context.last().head(200, FakeContext.PROOF);
            context.last().data("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
            context.last().listener.broken("reset");
            assertThat(context.last().lastEventId).isEqualTo(2);
            context.last().head(200, FakeContext.PROOF);
            context.last().data("id: 3\ndata: c\n\n");
            context.last().listener.end();
            assertThat(context.streamed).hasToString("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
            assertThat(context.answer).isEqualTo("200 stream complete");
        }

        @Test
        void areCutWhenTheyCannotBeResumed() {
            context.start(RouteKind.EVENT_STREAM, false, 2);
            context.last().head(200, FakeContext.PROOF);
            context.last().data("id: 1\ndata: a\n\n");
            context.last().listener.broken("reset");
            assertThat(context.sends).hasSize(1);
            assertThat(context.answer).isEqualTo("200 stream cut");
        }

        @Test
        void doNotLookCompleteWhenTheyEndWithinAnEvent() {
            context.start(RouteKind.EVENT_STREAM, false, 1);
            context.last().head(200, FakeContext.PROOF);
            context.last().data("id: 1\ndata: a\n\nid: 2");
            context.last().listener.end();
            assertThat(context.answer).isEqualTo("200 stream cut");
        }

        @Test
        void areCutWhenAnEventIsMissing() {
            context.start(RouteKind.EVENT_STREAM, false, 1);
            context.last().head(200, FakeContext.PROOF);
            context.last().data("id: 1\ndata: a\n\nid: 3\ndata: c\n\n");
            assertThat(context.streamed).hasToString("id: 1\ndata: a\n\n");
            assertThat(context.answer).isEqualTo("200 stream cut");
        }
    }

    @Nested
    class Leaving {
        @Test
        void endsTheRunAtTheUpstream() {
            Exchange exchange = context.start(RouteKind.AT_MOST_ONCE, false, 1);
            exchange.callerLeft();
            assertThat(context.last().cancelled).isTrue();
            assertThat(context.upstreams.all())
                    .allMatch(upstream -> upstream.load().local().inFlight() == 0);
        }
    }

    @Nested
    class Refusing {
        @Test
        void happensAtOnceWithoutUpstreams() {
            FakeContext empty = new FakeContext(0);
            empty.start(RouteKind.AT_MOST_ONCE, false, 1);
            assertThat(empty.answer).isEqualTo("503 no-upstream");
            assertThat(empty.record.outcome()).isEqualTo("no-upstream");
        }
    }
}
