package org.lovagethread.gateway.store;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.io.OutputStream;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/** Compresses the data that gateways fetch from each other. A large configuration takes seconds on a slow link. */
final class Gzip {

    private Gzip() {}

    /**
     * Compresses data with gzip.
     *
     * @param data the data
     * @return the compressed data
     */
    static ByteString compress(ByteString data) {
        ByteString.Output buffer = ByteString.newOutput();
        try (OutputStream out = new GZIPOutputStream(buffer)) {
            data.writeTo(out);
        } catch (IOException e) {
            throw new IllegalStateException("failed to write to a memory buffer", e);
        }
        return buffer.toByteString();
    }

    /**
     * Decompresses data.
     *
     * @param compressed the compressed data
     * @return the original data
     * @throws IOException if the data is not in gzip format
     */
    static ByteString decompress(ByteString compressed) throws IOException {
        try (GZIPInputStream in = new GZIPInputStream(compressed.newInput())) {
            return ByteString.readFrom(in);
        }
    }
}
