package org.lovagethread.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/**
 * Splits a stream of server-sent events into single events.
 *
 * <p>An event has a numeric identifier or data, and ends with a blank line. Other lines (blank ones, comments, empty and
 * unknown fields) dispatch no event. They are kept in front of the event that follows, so a stream that
 * consists of them alone has no events, and its bytes count as data without an event.
 */
final class EventSplitter {
    /** Maximum size of one event, in bytes. */
    static final int MAX_EVENT_BYTES = 1 << 20;

    private static final long NO_ID = -1;
    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] DATA_FIELD = "data:".getBytes(StandardCharsets.US_ASCII);

    private final ByteBuf pending = Unpooled.buffer(512);
    private int lineStart;
    private int searchedBytes;
    private boolean endsWithBlankLine;
    private long id = NO_ID;
    private boolean hasData;

    /**
     * Receives complete events.
     */
    interface EventConsumer {
        /**
         * Receives one event.
         *
         * @param id the identifier of the event; negative if it has none or it is not a number
         * @param event the bytes of the event, including the terminating blank line; valid only during the call
         */
        void accept(long id, ByteBuf event);
    }

    /**
     * Appends bytes and passes each event that they complete to a consumer.
     *
     * @param bytes the next bytes of the stream
     * @param consumer receives the events
     */
    void feed(ByteBuf bytes, EventConsumer consumer) {
        pending.writeBytes(bytes);
        int lineEnd = findEndOfLine();
        while (lineEnd >= 0) {
            readLine(lineEnd);
            if (endsWithBlankLine && (hasData || id >= 0)) {
                takeEvent(consumer);
            }
            lineEnd = findEndOfLine();
        }
        pending.discardSomeReadBytes();
    }

    /**
     * Returns whether the bytes received so far end in the middle of an event.
     *
     * @return true if an incomplete event is buffered, or lines that no blank line follows
     */
    boolean hasPartialEvent() {
        return pending.isReadable() && !endsAtBlankLine();
    }

    /**
     * Returns the lines behind the last event, which a stream may end with.
     *
     * @return the buffered bytes, valid until the next call of {@link #feed}
     */
    ByteBuf remainder() {
        return pending.slice();
    }

    /**
     * Returns the number of bytes received of an incomplete event.
     *
     * @return the number of buffered bytes
     */
    int pendingBytes() {
        return pending.readableBytes();
    }

    private boolean endsAtBlankLine() {
        return endsWithBlankLine && lineStart == pending.readableBytes();
    }

    /** Returns the index of the next line feed, or a negative number. Each byte is examined only once. */
    private int findEndOfLine() {
        int lineEnd = pending.indexOf(pending.readerIndex() + searchedBytes, pending.writerIndex(), LINE_FEED);
        searchedBytes = lineEnd < 0 ? pending.readableBytes() : lineEnd + 1 - pending.readerIndex();
        return lineEnd;
    }

    private void readLine(int lineEnd) {
        int start = pending.readerIndex() + lineStart;
        boolean hasCarriageReturn = lineEnd > start && pending.getByte(lineEnd - 1) == CARRIAGE_RETURN;
        int end = hasCarriageReturn ? lineEnd - 1 : lineEnd;
        lineStart = searchedBytes;
        endsWithBlankLine = end == start;
        if (hasPrefix(ID_FIELD, start, end)) {
            id = parseNumber(text(start + ID_FIELD.length, end));
        } else if (hasPrefix(DATA_FIELD, start, end)) {
            hasData = hasData || !text(start + DATA_FIELD.length, end).isEmpty();
        }
    }

    private boolean hasPrefix(byte[] prefix, int start, int end) {
        if (end - start < prefix.length) {
            return false;
        }
        for (int i = 0; i < prefix.length; i++) {
            if (pending.getByte(start + i) != prefix[i]) {
                return false;
            }
        }
        return true;
    }

    private String text(int start, int end) {
        return pending.toString(start, end - start, StandardCharsets.UTF_8).strip();
    }

    private void takeEvent(EventConsumer consumer) {
        ByteBuf event = pending.readSlice(lineStart);
        long eventId = id;
        lineStart = 0;
        searchedBytes = 0;
        endsWithBlankLine = false;
        id = NO_ID;
        hasData = false;
        consumer.accept(eventId, event);
    }

    private static long parseNumber(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            return NO_ID;
        }
    }
}
