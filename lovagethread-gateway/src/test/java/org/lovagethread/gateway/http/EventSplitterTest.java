package org.lovagethread.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class EventSplitterTest {
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
}
