package org.lovagethread.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import java.util.Optional;

/**
 * Decodes the responses on a client connection, and closes the connection if bytes arrive that belong to no response.
 *
 * <p>Bytes are decoded only while a response is expected. Otherwise the beginning of a head that arrives behind a
 * complete response would be kept, and joined with the head of the next response. If such bytes arrive after the next
 * request has been sent, they cannot be told from its response by their position; then the joined head is recognized by
 * the status line inside it.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private final ResponseHeadValidator head = new ResponseHeadValidator();
    private boolean inHead;
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
        startHead();
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
        int start = in.readerIndex();
        super.decode(ctx, in, out);
        if (inHead) {
            Optional<String> defect = head.findDefect(in.slice(start, in.readerIndex() - start));
            if (defect.isPresent()) {
                rejectHead(defect.get(), in, out);
                return;
            }
        }
        out.forEach(this::follow);
    }

    /** Follows whether the next bytes belong to a head; the decoder never reads beyond the end of a head at once. */
    private void follow(Object decoded) {
        inHead = inHead && !(decoded instanceof HttpResponse);
        if (decoded instanceof LastHttpContent) {
            startHead();
        }
    }

    private void startHead() {
        inHead = true;
        head.reset();
    }

    /** Passes a response on that only tells why there is none. No other may follow it. */
    private void rejectHead(String defect, ByteBuf in, List<Object> out) {
        out.clear();
        in.skipBytes(in.readableBytes());
        responseExpected = false;
        HttpResponse rejected = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.BAD_GATEWAY);
        rejected.setDecoderResult(DecoderResult.failure(new CorruptedFrameException(defect)));
        out.add(rejected);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("response has both Content-Length and Transfer-Encoding");
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        if (!Headers.isPlainOrChunked(message.headers())) {
            throw new IllegalArgumentException("response has a transfer encoding other than chunked");
        }
        return !bodyExpected || super.isContentAlwaysEmpty(message);
    }
}
