package org.lovagethread.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One HTTP request to a stand-in, with methods that send a valid or a deliberately faulty response. */
public final class Exchange {
    /** JSON mapper shared by all stand-ins. */
    static final ObjectMapper JSON = new ObjectMapper();

    private final byte[] body;
    private final Channel channel;
    private final HttpHeaders headers;
    private final String method;
    private final QueryStringDecoder uri;

    Exchange(Channel channel, FullHttpRequest request) {
        this.channel = channel;
        this.headers = request.headers();
        this.method = request.method().name();
        this.uri = new QueryStringDecoder(request.uri());
        this.body = new byte[request.content().readableBytes()];
        request.content().readBytes(body);
    }

    void schedule(long delayMillis, Runnable task) {
        channel.eventLoop().schedule(task, delayMillis, TimeUnit.MILLISECONDS);
    }

    byte[] body() {
        return body;
    }

    String header(String name) {
        String value = headers.get(name);
        return value == null ? "" : value;
    }

    JsonNode jsonBody() {
        try {
            return JSON.readTree(body);
        } catch (IOException e) {
            throw new IllegalArgumentException("the request body is not valid JSON", e);
        }
    }

    long longQueryParameter(String name) {
        return Long.parseLong(queryParameter(name, "0"));
    }

    String method() {
        return method;
    }

    void onClose(Runnable task) {
        channel.closeFuture().addListener(unused -> task.run());
    }

    boolean isOpen() {
        return channel.isActive();
    }

    String path() {
        return uri.path();
    }

    String queryParameter(String name, String defaultValue) {
        List<String> values = uri.parameters().get(name);
        return values == null ? defaultValue : values.get(0);
    }

    void reply(int status, Object value) {
        try {
            reply(status, JSON.writeValueAsBytes(value), Map.of());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    void reply(int status, byte[] content, Map<String, String> extraHeaders) {
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(content));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.length);
        extraHeaders.forEach((name, value) -> response.headers().set(name, value));
        channel.writeAndFlush(response);
    }

    /** Closes the connection with a TCP reset: a linger time of zero makes the socket send RST instead of FIN. */
    void resetConnection() {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    void startStream() {
        DefaultHttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/x-ndjson");
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        channel.writeAndFlush(response);
    }

    void sendStreamLine(Object value) {
        try {
            byte[] line = (JSON.writeValueAsString(value) + "\n").getBytes(StandardCharsets.UTF_8);
            channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(line)));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    void endStream() {
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    /** Declares the length of the complete content, sends only the first half of it and closes the connection. */
    void replyTruncated(byte[] content, Map<String, String> extraHeaders) {
        DefaultHttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.length);
        extraHeaders.forEach((name, value) -> response.headers().set(name, value));
        channel.write(response);
        channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(content, 0, content.length / 2)))
                .addListener(ChannelFutureListener.CLOSE);
    }
}
