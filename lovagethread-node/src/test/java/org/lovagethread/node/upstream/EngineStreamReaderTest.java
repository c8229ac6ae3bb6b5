package org.lovagethread.node.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.core.call.AttemptOutcome;
import org.lovagethread.core.call.CallKind;
import org.lovagethread.core.call.CallRequest;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.event.Event;
import org.lovagethread.node.caller.CallContent;
import org.lovagethread.node.caller.OpenCall;

/** Tests {@link EngineStreamReader}. */
class EngineStreamReaderTest {
    private static final EventLoop LOOP = new DefaultEventLoop();

    private final List<Event> events = new ArrayList<>();
    private final OpenCall call = new OpenCall(
            CallRequest.builder(1, CallKind.GENERATE)
                    .requestId("r1")
                    .maxTokens(3)
                    .build(),
            new CallContent("POST", "", "{}", "application/json"),
            LOOP,
            callId -> {});

    private EngineStreamReader reader(long attemptId) {
        Command.StartAttempt start = new Command.StartAttempt(
                attemptId, 1, CallKind.GENERATE, "engine-1", "127.0.0.1:1", 0, 0, Optional.empty(), 0);
        Attempt attempt = new Attempt(call, start, events::add, ended -> {});
        attempt.begin();
        return new EngineStreamReader(attempt);
    }

    private static void feed(EngineStreamReader reader, String text) {
        reader.onNext(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }

    private static String chunk(String request, int number) {
        return "{\"request\":\"" + request + "\",\"chunk\":" + number + ",\"text\":\"t" + number + "\"}\n";
    }

    private static String end(String request, int chunks) {
        return "{\"request\":\"" + request + "\",\"end\":true,\"chunks\":" + chunks + "}\n";
    }

    private List<AttemptOutcome> outcomes() {
        return events.stream()
                .filter(Event.AttemptEnded.class::isInstance)
                .map(event -> ((Event.AttemptEnded) event).outcome())
                .toList();
    }

    @Nested
    class CompleteResponses {
        @Test
        void completesAtEndMarker() {
            EngineStreamReader reader = reader(1);
            feed(reader, chunk("r1", 1) + chunk("r1", 2) + end("r1", 2));
            assertThat(outcomes()).containsExactly(AttemptOutcome.COMPLETE);
            assertThat(call.lastChunk()).isEqualTo(2);
        }

        @Test
        void joinsLinesThatArriveInFragments() {
            EngineStreamReader reader = reader(1);
            String text = chunk("r1", 1) + end("r1", 1);
            for (int i = 0; i < text.length(); i++) {
                feed(reader, text.substring(i, i + 1));
            }
            assertThat(outcomes()).containsExactly(AttemptOutcome.COMPLETE);
        }

        @Test
        void continuesAfterAnEarlierAttempt() {
            feed(reader(1), chunk("r1", 1));
            feed(reader(2), chunk("r1", 2) + end("r1", 2));
            assertThat(outcomes()).containsExactly(AttemptOutcome.COMPLETE);
        }
    }

    @Nested
    class InvalidResponses {
        @Test
        void rejectsChunkOfAnotherRequest() {
            feed(reader(1), chunk("r2", 1));
            assertThat(outcomes()).containsExactly(AttemptOutcome.MISMATCHED);
            assertThat(call.lastChunk()).isZero();
        }

        @Test
        void rejectsMissingChunk() {
            feed(reader(1), chunk("r1", 1) + chunk("r1", 3));
            assertThat(outcomes()).containsExactly(AttemptOutcome.MISMATCHED);
            assertThat(call.lastChunk()).isEqualTo(1);
        }

        @Test
        void rejectsEndMarkerWithDifferentCount() {
            feed(reader(1), chunk("r1", 1) + end("r1", 2));
            assertThat(outcomes()).containsExactly(AttemptOutcome.MISMATCHED);
        }

        @Test
        void reportsBrokenStreamWithoutEndMarker() {
            EngineStreamReader reader = reader(1);
            feed(reader, chunk("r1", 1));
            reader.onComplete();
            assertThat(outcomes()).containsExactly(AttemptOutcome.BROKEN);
        }

        @Test
        void ignoresChunksOfReplacedAttempt() {
            EngineStreamReader replaced = reader(1);
            feed(replaced, chunk("r1", 1));
            reader(2);
            feed(replaced, chunk("r1", 2) + chunk("r1", 3));
            assertThat(call.lastChunk()).isEqualTo(1);
        }

        @Test
        void rejectsLineThatExceedsMaximumSize() {
            feed(reader(1), "x".repeat(LineSplitter.MAX_LINE_BYTES + 1));
            assertThat(outcomes()).containsExactly(AttemptOutcome.MISMATCHED);
        }
    }

    @Property(tries = 500, seed = "12")
    void neverThrowsOrCompletesOnArbitraryBytes(@ForAll byte[] bytes) {
        EngineStreamReader reader = reader(1);
        reader.onNext(Unpooled.copiedBuffer(bytes));
        feed(reader, "\n");
        assertThat(outcomes()).doesNotContain(AttemptOutcome.COMPLETE);
        assertThat(call.lastChunk()).isZero();
    }
}
