package org.lovagethread.gateway.store;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.io.OutputStream;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/** Compresses what gateways fetch from each other, since a large configuration fills a narrow link for seconds. */
final class Compressed {

    private Compressed() {}

    /**
     * Compresses bytes.
     *
     * @param plain the bytes
     * @return the compressed bytes
     */
    static ByteString of(ByteString plain) {
        ByteString.Output bytes = ByteString.newOutput();
        try (OutputStream out = new GZIPOutputStream(bytes)) {
            plain.writeTo(out);
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
        return bytes.toByteString();
    }

    /**
     * Restores compressed bytes.
     *
     * @param compressed the compressed bytes
     * @return the bytes
     * @throws IOException if they were not compressed by {@link #of}
     */
    static ByteString plain(ByteString compressed) throws IOException {
        try (GZIPInputStream in = new GZIPInputStream(compressed.newInput())) {
            return ByteString.readFrom(in);
        }
    }
}
