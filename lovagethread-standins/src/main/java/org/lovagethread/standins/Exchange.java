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

/** Gives a stand-in one request and the ways to answer it, good and bad. */
public final class Exchange {
    /** The JSON mapper that all stand-ins share. */
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

    void after(long millis, Runnable task) {
        channel.eventLoop().schedule(task, millis, TimeUnit.MILLISECONDS);
    }

    byte[] body() {
        return body;
    }

    String header(String name) {
        String value = headers.get(name);
        return value == null ? "" : value;
    }

    JsonNode json() {
        try {
            return JSON.readTree(body);
        } catch (IOException e) {
            throw new IllegalArgumentException("the body is not JSON", e);
        }
    }

    long longQuery(String name) {
        return Long.parseLong(query(name, "0"));
    }

    String method() {
        return method;
    }

    void onClose(Runnable task) {
        channel.closeFuture().addListener(unused -> task.run());
    }

    boolean open() {
        return channel.isActive();
    }

    String path() {
        return uri.path();
    }

    String query(String name, String fallback) {
        List<String> values = uri.parameters().get(name);
        return values == null ? fallback : values.get(0);
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

    /** Closes the connection with a reset. */
    void reset() {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    void startStream() {
        DefaultHttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/x-ndjson");
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        channel.writeAndFlush(response);
    }

    void streamLine(Object value) {
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

    /** Announces the whole content, sends half of it and closes the connection. */
    void truncate(byte[] content, Map<String, String> extraHeaders) {
        DefaultHttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.length);
        extraHeaders.forEach((name, value) -> response.headers().set(name, value));
        channel.write(response);
        channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(content, 0, content.length / 2)))
                .addListener(ChannelFutureListener.CLOSE);
    }
}
