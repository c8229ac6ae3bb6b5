package org.lovagethread.node.upstream;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Splits a stream of bytes into lines. */
final class LineSplitter {
    /** The maximum size of one line in bytes. */
    static final int MAX_LINE_BYTES = 65_536;

    private final ByteArrayOutputStream partialLine = new ByteArrayOutputStream();

    /**
     * Adds bytes to the stream.
     *
     * @param bytes the bytes; the caller remains responsible for releasing them
     * @return the lines that these bytes complete; empty if there are none
     * @throws IllegalArgumentException if a line exceeds the maximum size
     */
    List<String> add(ByteBuf bytes) {
        List<String> lines = new ArrayList<>();
        while (bytes.isReadable()) {
            byte next = bytes.readByte();
            if (next == '\n') {
                lines.add(partialLine.toString(StandardCharsets.UTF_8));
                partialLine.reset();
            } else if (partialLine.size() < MAX_LINE_BYTES) {
                partialLine.write(next);
            } else {
                throw new IllegalArgumentException("line exceeds " + MAX_LINE_BYTES + " bytes");
            }
        }
        return lines;
    }
}
