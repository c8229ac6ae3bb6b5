package org.lovagethread.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.lovagethread.core.error.ErrorKind;
import org.lovagethread.gateway.config.ClientLimits;

/** Reads requests from one connection, one at a time, and writes their answers. */
final class FrontHandler extends ChannelInboundHandlerAdapter implements Caller {
    /** The most decoded objects that wait for the answer to the request before them. */
    private static final int MOST_WAITING = 64;

    /** Delay of a task that runs after the reads of the next round, in milliseconds. */
    private static final long LOOK_AGAIN_MILLIS = 1;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final FrontServer server;
    private final ClientLimits limits;
    private final Deque<HttpObject> waiting = new ArrayDeque<>();
    private Channel channel;
    private HttpRequest request;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    private Exchange exchange;
    private boolean answering;
    private boolean closing;
    private long activeMillis;

    FrontHandler(FrontServer server, ClientLimits limits) {
        this.server = server;
        this.limits = limits;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        activeMillis = server.nowMillis();
        server.opened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        server.closed(this);
        closing = true;
        waiting.forEach(ReferenceCountUtil::release);
        waiting.clear();
        if (exchange != null) {
            Exchange left = exchange;
            exchange = null;
            left.callerLeft();
        }
        releaseBody();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        HttpObject object = (HttpObject) message;
        if (closing) {
            ReferenceCountUtil.release(object);
        } else if (answering) {
            waiting.add(object);
            if (waiting.size() > MOST_WAITING) {
                channel.close();
            }
        } else {
            take(object);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (ctx.channel().isWritable() && exchange != null) {
            exchange.callerReadable();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        server.connectionFailed(cause);
        ctx.close();
    }

    /**
     * Closes the connection if it has been idle or slow for too long.
     *
     * @param nowMillis the present time in milliseconds
     * @param idleDeadlineMillis idle connections that were last used before this time are closed as well
     */
    void tick(long nowMillis, long idleDeadlineMillis) {
        if (answering) {
            if (exchange != null) {
                exchange.tick(nowMillis);
            }
            return;
        }
        boolean idle = request == null;
        long limit = idle ? limits.idleTimeoutMillis() : limits.headerTimeoutMillis() + limits.idleTimeoutMillis();
        if (nowMillis - activeMillis > limit || (idle && activeMillis < idleDeadlineMillis)) {
            closing = true;
            channel.close();
        }
    }

    /**
     * Tells whether a request is being read or answered.
     *
     * @return true if closing the connection would cut a request
     */
    boolean busy() {
        return answering || request != null;
    }

    private void take(HttpObject object) {
        try {
            activeMillis = server.nowMillis();
            if (object.decoderResult().isFailure()) {
                malformed(object.decoderResult().cause());
                return;
            }
            if (object instanceof HttpRequest head) {
                begin(head);
            }
            if (object instanceof HttpContent content && request != null) {
                append(content.content());
            }
            if (object instanceof LastHttpContent && request != null) {
                complete();
            }
        } finally {
            ReferenceCountUtil.release(object);
        }
    }

    private void begin(HttpRequest head) {
        request = head;
        body = Unpooled.EMPTY_BUFFER;
        if (HttpUtil.is100ContinueExpected(head)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void append(ByteBuf bytes) {
        if (!bytes.isReadable()) {
            return;
        }
        if (body.readableBytes() + bytes.readableBytes() > limits.maxBodyBytes()) {
            answering = true;
            closing = true;
            refuse(ErrorKind.BODY_TOO_LARGE, 0);
            return;
        }
        if (body.capacity() == 0) {
            body = channel.alloc().buffer(Math.max(256, bytes.readableBytes()));
        }
        body.writeBytes(bytes);
    }

    private void complete() {
        if (closing) {
            return;
        }
        answering = true;
        if (server.late()) {
            afterNextReads(this::pass);
        } else {
            pass();
        }
    }

    /**
     * Runs an action after the connections have been read once more. A task that is due within a long round of the event
     * loop runs at the end of the same round, so two tasks in turn are needed to reach the next one.
     */
    private void afterNextReads(Runnable action) {
        channel.eventLoop()
                .schedule(
                        () -> channel.eventLoop().schedule(action, LOOK_AGAIN_MILLIS, TimeUnit.MILLISECONDS),
                        LOOK_AGAIN_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    /** Passes the request on unless its caller has left in the meantime. */
    private void pass() {
        if (!closing && channel.isActive()) {
            server.received(this, request, body);
        }
    }

    /**
     * Connects the request that was received to its exchange.
     *
     * @param started the exchange
     */
    void carry(Exchange started) {
        exchange = started;
    }

    private void malformed(Throwable cause) {
        server.connectionFailed(cause);
        answering = true;
        closing = true;
        refuse(cause instanceof TooLongFrameException ? ErrorKind.HEADERS_TOO_LARGE : ErrorKind.BAD_REQUEST, 0);
    }

    @Override
    public void answer(HttpResponseStatus status, HttpHeaders headers, ByteBuf bytes) {
        boolean close = closeAfter();
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, bytes.retainedDuplicate());
        Headers.copyEndToEnd(headers, response.headers());
        if (request == null || !request.method().equals(HttpMethod.HEAD)) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.readableBytes());
        }
        finish(response, close);
    }

    @Override
    public void refuse(ErrorKind kind, long retryAfterMillis) {
        boolean close = closeAfter();
        byte[] text = ("{\"error\":\"" + kind.label() + "\",\"message\":\"" + kind.message() + "\"}")
                .getBytes(StandardCharsets.UTF_8);
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(kind.status()), Unpooled.wrappedBuffer(text));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, text.length);
        if (retryAfterMillis > 0) {
            response.headers()
                    .set(
                            HttpHeaderNames.RETRY_AFTER,
                            String.format(Locale.ROOT, "%.3f", retryAfterMillis / MILLIS_PER_SECOND));
        }
        finish(response, close);
    }

    @Override
    public void startStream(HttpResponseStatus status, HttpHeaders headers) {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
        Headers.copyEndToEnd(headers, response.headers());
        if (request.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
            closing = true;
        } else {
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        if (closeAfter()) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            closing = true;
        }
        channel.write(response);
    }

    @Override
    public boolean streamData(ByteBuf bytes) {
        channel.writeAndFlush(new DefaultHttpContent(
                channel.alloc().buffer(bytes.readableBytes()).writeBytes(bytes)));
        return channel.isWritable();
    }

    @Override
    public void endStream() {
        var written = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        boolean close = closeAfter();
        if (close) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
        next(close);
    }

    @Override
    public void abort() {
        closing = true;
        exchange = null;
        channel.close();
    }

    private boolean closeAfter() {
        return closing || server.draining() || (request != null && !HttpUtil.isKeepAlive(request));
    }

    private void finish(HttpResponse response, boolean close) {
        if (close) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        var written = channel.writeAndFlush(response);
        if (close) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
        next(close);
    }

    private void next(boolean close) {
        exchange = null;
        request = null;
        releaseBody();
        activeMillis = server.nowMillis();
        closing = closing || close;
        answering = close;
        while (!answering && !waiting.isEmpty()) {
            take(waiting.poll());
        }
    }

    private void releaseBody() {
        if (body.capacity() > 0) {
            body.release();
            body = Unpooled.EMPTY_BUFFER;
        }
    }
}
