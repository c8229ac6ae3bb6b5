package org.lovagethread.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/** Splits a stream of server-sent events into single events. */
final class EventSplitter {
    /** Maximum size of one event, in bytes. */
    static final int MAX_EVENT_BYTES = 1 << 20;

    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final String ID_FIELD = "id:";

    private final ByteBuf pending = Unpooled.buffer(512);
    private int searchedBytes;
    private LinePosition position = LinePosition.INSIDE;

    /** Where the search for the end of the pending event has got to; the first line of an event is never its last. */
    private enum LinePosition {
        INSIDE,
        START,
        AFTER_CARRIAGE_RETURN
    }

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
        int end = findEndOfEvent();
        while (end >= 0) {
            ByteBuf event = pending.readSlice(end - pending.readerIndex());
            consumer.accept(parseId(event), event);
            end = findEndOfEvent();
        }
        pending.discardSomeReadBytes();
    }

    /**
     * Returns whether the bytes received so far end in the middle of an event.
     *
     * @return true if an incomplete event is buffered
     */
    boolean hasPartialEvent() {
        return pending.isReadable();
    }

    /**
     * Returns the number of bytes received of an incomplete event.
     *
     * @return the number of buffered bytes
     */
    int pendingBytes() {
        return pending.readableBytes();
    }

    /** Returns the index behind the first event, or a negative number. Each byte is examined only once. */
    private int findEndOfEvent() {
        int from = pending.readerIndex() + searchedBytes;
        int last = pending.forEachByte(from, pending.writerIndex() - from, this::isInsideEvent);
        searchedBytes = last < 0 ? pending.readableBytes() : 0;
        return last < 0 ? -1 : last + 1;
    }

    /** Returns whether an event goes on after a byte. It ends with a line that is empty but for a carriage return. */
    private boolean isInsideEvent(byte next) {
        boolean eventEnds = next == LINE_FEED && position != LinePosition.INSIDE;
        if (next == LINE_FEED && !eventEnds) {
            position = LinePosition.START;
        } else if (next == CARRIAGE_RETURN && position == LinePosition.START) {
            position = LinePosition.AFTER_CARRIAGE_RETURN;
        } else {
            position = LinePosition.INSIDE;
        }
        return !eventEnds;
    }

    private static long parseId(ByteBuf event) {
        long id = -1;
        for (String line : event.toString(StandardCharsets.UTF_8).split("\n", -1)) {
            if (line.startsWith(ID_FIELD)) {
                id = parseNumber(line.substring(ID_FIELD.length()).strip());
            }
        }
        return id;
    }

    private static long parseNumber(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}
