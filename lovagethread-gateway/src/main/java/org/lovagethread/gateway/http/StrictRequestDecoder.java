package org.lovagethread.gateway.http;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Decodes requests and rejects those with an ambiguous body length, which prevents request smuggling. */
final class StrictRequestDecoder extends HttpRequestDecoder {
    private static final int CHUNK_BYTES = 65_536;

    StrictRequestDecoder(int maxHeaderBytes) {
        super(maxHeaderBytes, maxHeaderBytes, CHUNK_BYTES);
    }

    /** Returns whether bytes have been received that are not decoded yet: the beginning of a further request. */
    boolean hasUnreadBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("request has both Content-Length and Transfer-Encoding");
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        if (!Headers.isPlainOrChunked(message.headers())) {
            throw new IllegalArgumentException("request has a transfer encoding other than chunked");
        }
        return super.isContentAlwaysEmpty(message);
    }
}
