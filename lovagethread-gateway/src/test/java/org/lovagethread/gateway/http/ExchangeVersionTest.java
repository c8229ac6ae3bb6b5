package org.lovagethread.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.config.RouteKind;
import org.lovagethread.gateway.upstream.UpstreamEntry;

class ExchangeVersionTest {
    private static final String FIRST_EVENT = "id: 1\ndata: a\n\n";
    private static final String SECOND_EVENT = "id: 2\ndata: b\n\n";
    private static final long TIMEOUT_MILLIS = 2_500;

    private final FakeExchangeContext context = new FakeExchangeContext(0);

    @BeforeEach
    void knowAllVersions() {
        context.versions.longestTimeout(TIMEOUT_MILLIS);
        context.versions.markComplete();
    }

    private void put(String id, String version, boolean leaving) {
        context.upstreams.put(
                new UpstreamEntry(id, "desk", "10.0.0.1", 80, "a", 6, leaving, false, 1, version),
                context.currentMillis,
                context.currentMillis);
        context.observeVersions();
    }

    private void run(long millis) {
        for (long end = context.currentMillis + millis; context.currentMillis < end; ) {
            context.currentMillis += 100;
            context.observeVersions();
        }
    }

    private void start() {
        context.start(RouteKind.EVENT_STREAM, true, 3);
    }

    private void forwardEvent(String event) {
        context.lastAttempt().sendHeader(200, FakeExchangeContext.PROOF);
        context.lastAttempt().sendData(event);
    }

    private void tick(Exchange exchange, long millis) {
        context.currentMillis += millis;
        exchange.tick(context.currentMillis);
        context.streamOrigins().tick(context.currentMillis);
    }

    private String versionOfLastAttempt() {
        return context.lastAttempt().upstream.version();
    }

    @Nested
    class InterruptedStreams {
        // Guards against events of two versions within one response.
        @Test
        void goOnOnlyAtTheVersionThatBeganThem() {
            put("i-old", "1", false);
            start();
            forwardEvent(FIRST_EVENT);
            put("i-new-1", "2", false);
            put("i-new-2", "2", false);
            put("i-old-2", "1", false);
            context.lastAttempt().listener.onFailure("reset");
            assertThat(context.lastAttempt().upstream.id()).isEqualTo("i-old-2");
            forwardEvent(SECOND_EVENT);
            context.lastAttempt().listener.onEnd();
            assertThat(context.response).isEqualTo("200 stream complete");
        }

        @Test
        void areCutIfNoOtherUpstreamHasTheirVersion() {
            put("i-old", "1", false);
            start();
            forwardEvent(FIRST_EVENT);
            put("i-new", "2", false);
            context.lastAttempt().listener.onFailure("reset");
            assertThat(context.attempts).hasSize(1);
            assertThat(context.response).isEqualTo("200 stream aborted");
        }

        @Test
        void mayBeginAtAnyVersionBeforeTheirFirstEvent() {
            put("i-old", "1", false);
            start();
            put("i-new", "2", false);
            context.lastAttempt().listener.onFailure("reset");
            assertThat(versionOfLastAttempt()).isEqualTo("2");
            forwardEvent(FIRST_EVENT);
            put("i-old-2", "1", false);
            context.lastAttempt().listener.onFailure("reset");
            assertThat(context.attempts).hasSize(2);
            assertThat(context.response).isEqualTo("200 stream aborted");
        }

        @Test
        void areNotReplacedByAnotherVersionWhileTheirUpstreamIsSilent() {
            put("i-old", "1", false);
            Exchange exchange = context.start(RouteKind.EVENT_STREAM, true, 3);
            forwardEvent(FIRST_EVENT);
            put("i-new", "2", false);
            tick(exchange, 1_700);
            assertThat(context.attempts).hasSize(1);
            context.lastAttempt().sendData(SECOND_EVENT);
            context.lastAttempt().listener.onEnd();
            assertThat(context.response).isEqualTo("200 stream complete");
        }

        @Test
        void doNotGoOnWithASuspendedAttemptOfAnotherVersion() {
            put("i-old", "1", false);
            Exchange exchange = context.start(RouteKind.EVENT_STREAM, true, 3);
            put("i-new", "2", false);
            tick(exchange, 1_700);
            assertThat(versionOfLastAttempt()).isEqualTo("2");
            forwardEvent(FIRST_EVENT);
            assertThat(context.attempts.get(0).cancelled).isTrue();
            context.lastAttempt().listener.onFailure("reset");
            assertThat(context.attempts).hasSize(2);
            assertThat(context.response).isEqualTo("200 stream aborted");
        }
    }

    @Nested
    class StreamsTakenUpWhileThereIsOneVersion {
        // Guards against a retry at a version that appears after the stream was taken up.
        @Test
        void areNotRetriedAtAnotherOne() {
            put("i-old", "1", false);
            run(3 * TIMEOUT_MILLIS);
            context.lastEventId = OptionalLong.of(1);
            context.resumedRequestId = Optional.of("other");
            start();
            put("i-new", "2", false);
            context.lastAttempt().listener.onFailure("reset");
            assertThat(context.attempts).hasSize(1);
        }
    }

    @Nested
    class StreamsTakenUpByTheirCaller {
        @BeforeEach
        void beginAtTheOldVersion() {
            put("i-old", "1", false);
            start();
            forwardEvent(FIRST_EVENT);
            context.lastAttempt().listener.onFailure("reset");
            context.attempts.clear();
            put("i-new-1", "2", false);
            put("i-new-2", "2", false);
            takeUp("id");
        }

        private void takeUp(String firstRequestId) {
            context.lastEventId = OptionalLong.of(1);
            context.resumedRequestId = Optional.of(firstRequestId).filter(id -> !id.isEmpty());
        }

        // Guards against a stream joined from two versions over the requests of a caller.
        @Test
        void goOnAtTheVersionThatBeganThem() {
            start();
            assertThat(context.lastAttempt().upstream.id()).isEqualTo("i-old");
            assertThat(context.lastAttempt().lastEventId).isEqualTo(1);
            forwardEvent(SECOND_EVENT);
            context.lastAttempt().listener.onEnd();
            assertThat(context.response).isEqualTo("200 stream complete");
        }

        @Test
        void goOnWhenTheyAreTakenUpForTheSecondTime() {
            start();
            forwardEvent(SECOND_EVENT);
            context.lastAttempt().listener.onFailure("reset");
            context.attempts.clear();
            start();
            assertThat(context.lastAttempt().upstream.id()).isEqualTo("i-old");
        }

        @Test
        void areRefusedWithoutBeingSentIfTheirVersionHasJustLeft() {
            put("i-old", "1", true);
            start();
            assertThat(context.attempts).isEmpty();
            assertThat(context.response).isEqualTo("503 version-unavailable");
            context.upstreams.remove("i-old", 9_000, -1_000_000, context.currentMillis);
            run(TIMEOUT_MILLIS);
            start();
            assertThat(context.attempts).isEmpty();
            assertThat(context.response).isEqualTo("503 version-unavailable");
        }

        @Test
        void areRefusedAtOnceIfTheyNameNoStream() {
            takeUp("");
            start();
            assertThat(context.attempts).isEmpty();
            assertThat(context.response).isEqualTo("503 version-unavailable");
        }

        @Test
        void areRefusedAtOnceIfTheirVersionIsUnknownAndTheStoreCannotBeReached() {
            takeUp("other");
            context.storeOutage = true;
            start();
            assertThat(context.attempts).isEmpty();
            assertThat(context.response).isEqualTo("503 version-unavailable");
        }

        @Test
        void areRefusedAfterHalfASecondIfNoGatewayHasStoredThem() {
            takeUp("other");
            Exchange exchange = context.start(RouteKind.EVENT_STREAM, true, 3);
            for (int i = 0; i < 25; i++) {
                tick(exchange, 20);
            }
            assertThat(context.attempts).isEmpty();
            assertThat(context.response).isEqualTo("503 version-unavailable");
        }

        @Test
        void areNotSentIfTheirCallerLeavesDuringTheSearch() {
            takeUp("other");
            Exchange exchange = context.start(RouteKind.EVENT_STREAM, true, 3);
            exchange.onCallerDisconnected();
            for (int i = 0; i < 25; i++) {
                tick(exchange, 20);
            }
            assertThat(context.attempts).isEmpty();
            assertThat(context.record.outcome()).isEqualTo("caller-left");
        }

        @Test
        void areRefusedAsNotRunIfTheGatewayStopsDuringTheSearch() {
            takeUp("other");
            Exchange exchange = context.start(RouteKind.EVENT_STREAM, true, 3);
            exchange.onShutdown(context.currentMillis);
            assertThat(context.response).isEqualTo("503 stopping");
        }

        @Test
        void goOnAtAnyUpstreamIfTheServiceHasASingleVersion() {
            takeUp("other");
            context.upstreams.remove("i-old", 9_000, -1_000_000, context.currentMillis);
            run(3 * TIMEOUT_MILLIS);
            start();
            assertThat(versionOfLastAttempt()).isEqualTo("2");
        }
    }
}
