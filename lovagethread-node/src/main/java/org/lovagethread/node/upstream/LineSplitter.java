package org.lovagethread.node.upstream;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Cuts a stream of bytes into lines. */
final class LineSplitter {
    /** Largest size of one line in bytes. */
    static final int MOST_LINE_BYTES = 65_536;

    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();

    /**
     * Adds bytes.
     *
     * @param bytes the bytes, which are not released
     * @return the lines that are complete now; empty if there are none
     * @throws IllegalArgumentException if a line is too large
     */
    List<String> add(ByteBuf bytes) {
        List<String> lines = new ArrayList<>();
        while (bytes.isReadable()) {
            byte next = bytes.readByte();
            if (next == '\n') {
                lines.add(partial.toString(StandardCharsets.UTF_8));
                partial.reset();
            } else if (partial.size() < MOST_LINE_BYTES) {
                partial.write(next);
            } else {
                throw new IllegalArgumentException("a line exceeds " + MOST_LINE_BYTES + " bytes");
            }
        }
        return lines;
    }
}
