package org.lovagethread.gateway.http;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Decides whether bytes are the head of a response: a status line, and fields of which each has a line of its own.
 *
 * <p>The decoder of the library reads more than that: it skips control characters before the status line, takes any
 * number for a status, cuts off a field name at a blank and joins a line that begins with a blank with the line before.
 * What it makes of such bytes was not said by the upstream.
 */
final class ResponseHeadValidator {
    private static final String VERSION = "HTTP/1.";
    private static final int MINOR_VERSION_INDEX = VERSION.length();
    private static final int STATUS_INDEX = MINOR_VERSION_INDEX + 2;
    private static final int REASON_INDEX = STATUS_INDEX + 3;
    private static final byte[] STATUS_LINE_START = "HTTP/".getBytes(StandardCharsets.US_ASCII);
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}(?: |$)");
    private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";
    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final byte TAB = '\t';
    private static final byte DELETE = 0x7f;

    /** Status with which a server changes the protocol, which is never requested. */
    private static final String SWITCHING_PROTOCOLS = "101";

    private boolean statusLineRead;

    /** Expects the status line of the next response. */
    void reset() {
        statusLineRead = false;
    }

    /**
     * Checks the next bytes of a head.
     *
     * @param bytes complete lines, of which the first one may be the status line
     * @return why the bytes cannot be a part of a head; empty if they can
     */
    Optional<String> findDefect(ByteBuf bytes) {
        int start = bytes.readerIndex();
        while (start < bytes.writerIndex()) {
            int lineFeed = bytes.indexOf(start, bytes.writerIndex(), LINE_FEED);
            if (lineFeed < 0) {
                return Optional.of("the head does not begin with a status line");
            }
            int end = lineFeed > start && bytes.getByte(lineFeed - 1) == CARRIAGE_RETURN ? lineFeed - 1 : lineFeed;
            Optional<String> defect = findDefect(bytes, start, end);
            if (defect.isPresent()) {
                return defect;
            }
            start = lineFeed + 1;
        }
        return Optional.empty();
    }

    private Optional<String> findDefect(ByteBuf bytes, int start, int end) {
        if (hasControlCharacter(bytes, start, end)) {
            return Optional.of("the head contains a control character");
        }
        if (!statusLineRead) {
            statusLineRead = true;
            String line = text(bytes, start, end);
            return isStatusLine(line) && !containsStatusLine(line.substring(REASON_INDEX))
                    ? Optional.empty()
                    : Optional.of("the head does not begin with a status line");
        }
        if (start < end && !isField(bytes, start, end)) {
            return Optional.of("a line of the head is no field");
        }
        return containsAnotherHead(bytes, start, end)
                ? Optional.of("the head contains another status line")
                : Optional.empty();
    }

    private static boolean isStatusLine(String line) {
        return line.length() >= REASON_INDEX
                && line.startsWith(VERSION)
                && isBetween(line.charAt(MINOR_VERSION_INDEX), '0', '1')
                && line.charAt(MINOR_VERSION_INDEX + 1) == ' '
                && isBetween(line.charAt(STATUS_INDEX), '1', '5')
                && isBetween(line.charAt(STATUS_INDEX + 1), '0', '9')
                && isBetween(line.charAt(STATUS_INDEX + 2), '0', '9')
                && !line.startsWith(SWITCHING_PROTOCOLS, STATUS_INDEX)
                && (line.length() == REASON_INDEX || line.charAt(REASON_INDEX) == ' ');
    }

    /** Returns whether a line consists of a token, a colon right behind it, and a value. */
    private static boolean isField(ByteBuf bytes, int start, int end) {
        int index = start;
        while (index < end && isTokenCharacter(bytes.getByte(index))) {
            index++;
        }
        return index > start && index < end && bytes.getByte(index) == ':';
    }

    private static boolean isTokenCharacter(byte next) {
        return isBetween((char) next, 'a', 'z')
                || isBetween((char) next, 'A', 'Z')
                || isBetween((char) next, '0', '9')
                || TOKEN_SYMBOLS.indexOf(next) >= 0;
    }

    private static boolean hasControlCharacter(ByteBuf bytes, int start, int end) {
        for (int i = start; i < end; i++) {
            byte next = bytes.getByte(i);
            if ((next >= 0 && next < ' ' && next != TAB) || next == DELETE) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether a field contains the status line of another response, whose head was joined with this one. */
    private static boolean containsAnotherHead(ByteBuf bytes, int start, int end) {
        for (int i = start; i + STATUS_LINE_START.length <= end; i++) {
            if (startsStatusLine(bytes, i)) {
                return containsStatusLine(text(bytes, i, end));
            }
        }
        return false;
    }

    private static boolean startsStatusLine(ByteBuf bytes, int index) {
        for (int i = 0; i < STATUS_LINE_START.length; i++) {
            if (bytes.getByte(index + i) != STATUS_LINE_START[i]) {
                return false;
            }
        }
        return true;
    }

    private static boolean containsStatusLine(String text) {
        return STATUS_LINE.matcher(text).find();
    }

    private static String text(ByteBuf bytes, int start, int end) {
        return bytes.toString(start, end - start, StandardCharsets.ISO_8859_1);
    }

    private static boolean isBetween(char next, char first, char last) {
        return next >= first && next <= last;
    }
}
