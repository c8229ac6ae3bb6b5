package org.lovagethread.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Decodes the responses on a client connection, and closes the connection if bytes arrive that belong to no response.
 *
 * <p>Bytes are decoded only while a response is expected. Otherwise the beginning of a head that arrives behind a
 * complete response would be kept, and joined with the head of the next response. If such bytes arrive after the next
 * request has been sent, they cannot be told from its response by their position; then the joined head is recognized by
 * the status line inside it.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}(?: |$)");

    private boolean responseExpected;
    private boolean bodyExpected;
    private boolean surplusReceived;

    /**
     * Creates a decoder.
     *
     * @param config the limits of heads and chunks
     */
    ResponseDecoder(HttpDecoderConfig config) {
        super(config);
    }

    /**
     * Allows responses to a request. Must be called before the request is written.
     *
     * @param method the method of the request
     */
    void expectResponse(HttpMethod method) {
        responseExpected = true;
        bodyExpected = !method.equals(HttpMethod.HEAD);
    }

    /** Allows no more bytes until the next request. Must be called when the end of the final response is received. */
    void endResponse() {
        responseExpected = false;
    }

    /** Returns whether the connection was closed because of bytes that belong to no response. */
    boolean surplusReceived() {
        return surplusReceived;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        if (!responseExpected) {
            surplusReceived = true;
            in.skipBytes(in.readableBytes());
            ctx.close();
            return;
        }
        super.decode(ctx, in, out);
        for (Object decoded : out) {
            if (decoded instanceof HttpResponse response && isJoined(response)) {
                response.setDecoderResult(
                        DecoderResult.failure(new CorruptedFrameException("the head contains another status line")));
            }
        }
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return !bodyExpected || super.isContentAlwaysEmpty(message);
    }

    private static boolean isJoined(HttpResponse response) {
        return containsStatusLine(response.status().reasonPhrase()) || containsStatusLine(response.headers());
    }

    private static boolean containsStatusLine(HttpHeaders headers) {
        for (Map.Entry<String, String> header : headers) {
            if (containsStatusLine(header.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean containsStatusLine(String text) {
        return STATUS_LINE.matcher(text).find();
    }
}
