package org.lovagethread.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EventSplitterTest {
    private static final Duration MAX_DURATION = Duration.ofSeconds(5);

    private final EventSplitter splitter = new EventSplitter();
    private final List<String> events = new ArrayList<>();

    private void feed(String text) {
        splitter.feed(
                Unpooled.copiedBuffer(text, StandardCharsets.UTF_8),
                (id, event) -> events.add(id + "=" + event.toString(StandardCharsets.UTF_8)));
    }

    @Test
    void joinsAnEventReceivedInParts() {
        String event = "id: 7\ndata: abc\n\n";
        for (int i = 0; i < event.length(); i++) {
            feed(event.substring(i, i + 1));
        }
        assertThat(events).containsExactly("7=" + event);
        assertThat(splitter.hasPartialEvent()).isFalse();
    }

    @ParameterizedTest
    @ValueSource(strings = {"\n", "\r\n"})
    void splitsAlikeWhereverTheBytesAreDivided(String lineEnd) {
        String first = ": id: 8\ndata: id: 9\nid: 1\n\n".replace("\n", lineEnd);
        String second = "id: 2\ndata: b\ndata: c\n\n".replace("\n", lineEnd);
        for (int i = 0; i <= (first + second).length(); i++) {
            events.clear();
            feed((first + second).substring(0, i));
            feed((first + second).substring(i));
            assertThat(events).containsExactly("1=" + first, "2=" + second);
            assertThat(splitter.hasPartialEvent()).isFalse();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"\n", "\r\n"})
    void takesEachBeginningOfAnEventForAPartOfIt(String lineEnd) {
        String event = "id: 2\ndata: b\n\n".replace("\n", lineEnd);
        for (int i = 1; i < event.length(); i++) {
            EventSplitter interrupted = new EventSplitter();
            interrupted.feed(
                    Unpooled.copiedBuffer(event.substring(0, i), StandardCharsets.UTF_8),
                    (id, part) -> events.add("unexpected"));
            assertThat(interrupted.hasPartialEvent()).isTrue();
        }
        assertThat(events).isEmpty();
    }

    @Test
    void splitsEventsReceivedTogether() {
        feed("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\nda");
        assertThat(events).containsExactly("1=id: 1\ndata: a\n\n", "2=id: 2\r\ndata: b\r\n\r\n");
        assertThat(splitter.hasPartialEvent()).isTrue();
    }

    @Test
    void acceptsEventsWithoutAnIdentifier() {
        feed("data: a\n\n");
        assertThat(events).containsExactly("-1=data: a\n\n");
    }

    // Each chunk had the whole pending event searched again, which stopped the gateway for many seconds.
    @Test
    void examinesEachByteOfAnEventInManyChunksOnlyOnce() {
        ByteBuf line = Unpooled.copiedBuffer("data: abcde\n", StandardCharsets.UTF_8);
        int lines = EventSplitter.MAX_EVENT_BYTES / line.readableBytes();
        assertTimeoutPreemptively(MAX_DURATION, () -> {
            for (int i = 0; i < lines; i++) {
                splitter.feed(line.duplicate(), (id, event) -> events.add("unexpected"));
            }
        });
        feed("\n");
        assertThat(events).hasSize(1);
        assertThat(splitter.hasPartialEvent()).isFalse();
    }

    @Test
    void takesNoBlankLineForAnEvent() {
        feed("\n");
        feed("\r");
        feed("\rid: 1\n\r");
        assertThat(events).isEmpty();
        feed("\n\n\n");
        assertThat(events).isEmpty();
        feed("id: 2\n\r\n\n");
        assertThat(events).containsExactly("2=\n\r\rid: 1\n\r\n\n\nid: 2\n\r\n");
        assertThat(splitter.hasPartialEvent()).isFalse();
        assertThat(splitter.remainder().toString(StandardCharsets.UTF_8)).isEqualTo("\n");
    }

    // Lines without an identifier or data counted as events, so a stream of them was never given up.
    @ParameterizedTest
    @ValueSource(
            strings = {"\n", ": comment\n\n", ":\r\n\r\n", "data\n\n", "data:\n\n", "id: x\r\n\r\n", "event: a\n\n"})
    void keepsLinesWithoutContentForTheNextEvent(String lines) {
        feed(lines + lines);
        assertThat(events).isEmpty();
        assertThat(splitter.hasPartialEvent()).isFalse();
        feed("data: a\n");
        assertThat(splitter.hasPartialEvent()).isTrue();
        feed("id: 3\n\n" + lines);
        assertThat(events).containsExactly("3=" + lines + lines + "data: a\nid: 3\n\n");
        assertThat(splitter.remainder().toString(StandardCharsets.UTF_8)).isEqualTo(lines);
    }

    @Test
    void takesALineThatNoBlankLineFollowsForAPartOfAnEvent() {
        feed("id: 1\n\n: comment\n");
        assertThat(events).containsExactly("1=id: 1\n\n");
        assertThat(splitter.hasPartialEvent()).isTrue();
    }
}
