package org.lovagethread.gateway.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Separates hop-by-hop headers, which apply to one connection only, from end-to-end headers. */
public final class Headers {
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect");

    private Headers() {}

    /**
     * Copies the end-to-end headers of a message, except {@code Content-Length} and {@code Expect}.
     *
     * @param from the headers of the received message
     * @param to the headers of the message to send
     */
    public static void copyEndToEnd(HttpHeaders from, HttpHeaders to) {
        Set<String> connectionOptions = connectionOptions(from);
        for (Map.Entry<String, String> header : from) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name) && !connectionOptions.contains(name)) {
                to.add(header.getKey(), header.getValue());
            }
        }
    }

    /**
     * Returns whether the body of a message has no transfer encoding, or only {@code chunked}.
     *
     * @param headers the headers of the message
     * @return false if the end of the body, or its bytes, depend on another encoding
     */
    static boolean isPlainOrChunked(HttpHeaders headers) {
        List<String> encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        return encodings.isEmpty()
                || (encodings.size() == 1
                        && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(
                                encodings.get(0).strip()));
    }

    private static Set<String> connectionOptions(HttpHeaders headers) {
        Set<String> names = new HashSet<>();
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",", -1)) {
                names.add(name.strip().toLowerCase(Locale.ROOT));
            }
        }
        return names;
    }
}
