package org.lovagethread.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/** Splits the bytes of a server-sent event stream into whole events. */
final class EventSplitter {
    /** The most bytes of one event. */
    static final int MAX_EVENT_BYTES = 1 << 20;

    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final String ID_FIELD = "id:";

    private final ByteBuf pending = Unpooled.buffer(512);

    /**
     * Takes whole events.
     */
    interface EventConsumer {
        /**
         * Takes one event.
         *
         * @param id the number of the event; negative if it has none
         * @param event its bytes with the blank line that ends it; valid only during the call
         */
        void accept(long id, ByteBuf event);
    }

    /**
     * Adds bytes and passes on each event that is complete.
     *
     * @param bytes the next bytes of the stream
     * @param consumer takes the events
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
     * Tells whether bytes of an unfinished event are left.
     *
     * @return true if the stream stands within an event
     */
    boolean hasPartialEvent() {
        return pending.isReadable();
    }

    /**
     * Tells whether an unfinished event has grown beyond the limit.
     *
     * @return true if the stream is not a stream of events
     */
    boolean hasOverflowed() {
        return pending.readableBytes() > MAX_EVENT_BYTES;
    }

    private int findEndOfEvent() {
        int from = pending.readerIndex();
        while (from < pending.writerIndex()) {
            int lineFeed = pending.indexOf(from, pending.writerIndex(), LINE_FEED);
            if (lineFeed < 0) {
                return -1;
            }
            int next = lineFeed + 1;
            if (next < pending.writerIndex() && pending.getByte(next) == CARRIAGE_RETURN) {
                next++;
            }
            if (next < pending.writerIndex() && pending.getByte(next) == LINE_FEED) {
                return next + 1;
            }
            from = lineFeed + 1;
        }
        return -1;
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
