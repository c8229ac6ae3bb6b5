package org.lovagethread.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.config.RouteKind;
import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.upstream.BrittleNotice;
import org.lovagethread.gateway.upstream.BrittleReport;
import org.lovagethread.gateway.upstream.BrittleUpstreams;
import org.lovagethread.gateway.upstream.Upstream;

/** Checks which requests are sent to brittle upstreams, which wait and which are refused. */
class ExchangeBrittleTest {
    private static final int SLOTS = 6;

    private final FakeExchangeContext context = new FakeExchangeContext(1);

    private Upstream upstream() {
        return context.upstreams.all().iterator().next();
    }

    private BrittleUpstreams brittle() {
        return context.upstreams.brittle();
    }

    private void divide() {
        brittle()
                .divide(
                        context.upstreams.all(),
                        new BrittleUpstreams.Cluster("g-0", 1, 150, 0),
                        context.roomQueue()::waiting,
                        context.currentMillis);
    }

    /** Makes the upstream brittle, and lets the limit take effect. */
    private void makeBrittle() {
        upstream().recordReceived(context.currentMillis);
        brittle().recordResponse(upstream(), BrittleNotice.stated(0), context.currentMillis);
        for (int i = 0; i < 8; i++) {
            divide();
            context.currentMillis += 140;
        }
    }

    private Exchange start() {
        return context.start(RouteKind.AT_MOST_ONCE, false, 1);
    }

    private void startAndFill() {
        int before = context.attempts.size();
        for (int i = 0; i < SLOTS; i++) {
            start();
        }
        assertThat(context.attempts).hasSize(before + SLOTS);
    }

    private void runTasks() {
        List<Runnable> tasks = List.copyOf(context.tasks);
        context.tasks.clear();
        tasks.forEach(Runnable::run);
    }

    @Test
    void sendsAsBeforeIfTheUpstreamIsNotBrittle() {
        for (int i = 0; i < SLOTS + 3; i++) {
            start();
        }
        assertThat(context.attempts).hasSize(SLOTS + 3);
        assertThat(context.tasks).isEmpty();
    }

    @Nested
    class Full {
        @Test
        void requestIsHeldAndSentWhenOneHasEnded() {
            makeBrittle();
            startAndFill();
            start();
            assertThat(context.attempts).hasSize(SLOTS);
            assertThat(context.response).isEmpty();
            context.attempts.get(0).respond(200, FakeExchangeContext.PROOF, "ok");
            runTasks();
            assertThat(context.attempts).hasSize(SLOTS + 1);
            assertThat(context.roomQueue().waiting("desk")).isZero();
        }

        @Test
        void requestsAreSentInTheirOrder() {
            makeBrittle();
            startAndFill();
            start();
            context.attempts.get(0).respond(200, FakeExchangeContext.PROOF, "ok");
            start();
            assertThat(context.attempts).hasSize(SLOTS);
            runTasks();
            assertThat(context.attempts).hasSize(SLOTS + 1);
            assertThat(context.roomQueue().waiting("desk")).isEqualTo(1);
        }

        @Test
        void requestIsRefusedAsNotRunIfThereIsNoRoomInTime() {
            makeBrittle();
            startAndFill();
            start();
            for (int i = 0; i < 100 && context.response.isEmpty(); i++) {
                context.currentMillis += 20;
                context.roomQueue().callAll();
            }
            assertThat(context.response).isEqualTo("503 no-upstream");
            assertThat(context.retryAfterMillis).isPositive();
            assertThat(context.attempts).hasSize(SLOTS);
            assertThat(context.currentMillis).isLessThan(1_000 + 8 * 140 + 2_500);
        }

        @Test
        void requestIsRefusedAtOnceIfTheQueueIsFull() {
            makeBrittle();
            startAndFill();
            for (int i = 0; i < RoomQueue.MAX_WAITING; i++) {
                start();
                assertThat(context.response).isEmpty();
            }
            start();
            assertThat(context.response).isEqualTo("503 overloaded");
            assertThat(context.roomQueue().waiting("desk")).isEqualTo(RoomQueue.MAX_WAITING);
        }

        @Test
        void requestIsRefusedAtOnceIfItWouldMissItsDeadline() {
            for (int i = 0; i < 20; i++) {
                start();
                context.currentMillis += 2_000;
                context.lastAttempt().respond(200, FakeExchangeContext.PROOF, "ok");
                context.response = "";
            }
            makeBrittle();
            startAndFill();
            for (int i = 0; i < 20 && context.response.isEmpty(); i++) {
                start();
            }
            assertThat(context.response).isEqualTo("503 overloaded");
            assertThat(context.attempts).hasSize(20 + SLOTS);
        }

        @Test
        void requestLeavesTheQueueWithItsCaller() {
            makeBrittle();
            startAndFill();
            Exchange waiting = start();
            waiting.onCallerDisconnected();
            assertThat(context.roomQueue().waiting("desk")).isZero();
            context.attempts.get(0).respond(200, FakeExchangeContext.PROOF, "ok");
            runTasks();
            assertThat(context.attempts).hasSize(SLOTS);
        }

        /** Guards against a request that arrives before the upstream has noticed that another one was cancelled. */
        @Test
        void requestIsNotSentAsSoonAsAnotherIsCancelled() {
            makeBrittle();
            Exchange cancelled = start();
            for (int i = 1; i < SLOTS; i++) {
                start();
            }
            start();
            cancelled.onCallerDisconnected();
            runTasks();
            assertThat(context.attempts).hasSize(SLOTS);
            context.currentMillis += 300;
            context.roomQueue().callAll();
            assertThat(context.attempts).hasSize(SLOTS + 1);
        }

        @Test
        void requestIsSentWhenThePeersNeedLess() {
            makeBrittle();
            BrittleReport peer = new BrittleReport(upstream().entry().process(), 0, 0, 0, 4, 0, 4, SLOTS, 1);
            brittle().applyPeer("g-1", List.of(peer), context.upstreams, context.currentMillis);
            divide();
            for (int i = 0; i < SLOTS; i++) {
                start();
            }
            assertThat(context.attempts).hasSize(1);
            brittle().applyPeer("g-1", List.of(), context.upstreams, context.currentMillis);
            divide();
            context.currentMillis += 150;
            context.roomQueue().callAll();
            assertThat(context.attempts).hasSize(SLOTS);
        }
    }

    @Nested
    class Notices {
        private final UpstreamNotices notices = new UpstreamNotices(
                context, context.upstreams, context::nowMillis, new EventLog("g", new ByteArrayOutputStream()));

        private void read(int status, String... headers) {
            HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
            for (String header : headers) {
                response.headers().set(header, "2");
            }
            notices.read(upstream().entry(), response);
        }

        @Test
        void ofErrorsCount() {
            read(500, FakeExchangeContext.BRITTLE);
            assertThat(brittle().reports(context.currentMillis))
                    .extracting(BrittleReport::maxRejections)
                    .containsExactly(2);
        }

        @Test
        void countEachRejectionAtOnce() {
            read(503, FakeExchangeContext.BRITTLE, FakeExchangeContext.NOT_RUN);
            read(503, FakeExchangeContext.BRITTLE);
            read(429, FakeExchangeContext.BRITTLE, FakeExchangeContext.NOT_RUN);
            assertThat(brittle().rejections()).isEqualTo(1);
        }

        @Test
        void areNotMissedInResponsesThatAreNotFinalOrOfAnother() {
            read(200, FakeExchangeContext.BRITTLE);
            context.currentMillis += 1_000;
            read(100);
            read(421);
            assertThat(brittle().isEmpty()).isFalse();
            read(404);
            assertThat(brittle().isEmpty()).isTrue();
        }
    }
}
