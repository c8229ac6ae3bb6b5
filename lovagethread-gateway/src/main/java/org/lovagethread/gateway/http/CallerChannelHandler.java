package org.lovagethread.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
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
import org.lovagethread.gateway.exchange.ActiveRequest;
import org.lovagethread.gateway.exchange.CallerConnection;

/** Reads requests from a caller's connection and writes their responses, one request at a time. */
final class CallerChannelHandler extends ChannelInboundHandlerAdapter implements CallerConnection {
    /** Maximum number of decoded objects of pipelined requests, queued until the current response is complete. */
    private static final int MAX_QUEUED_OBJECTS = 64;

    /** Delay of each task scheduled by {@link #runAfterNextReads}, in milliseconds. */
    private static final long NEXT_READS_DELAY_MILLIS = 1;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final CallerServer server;
    private final ClientLimits limits;
    private final Deque<HttpObject> queued = new ArrayDeque<>();
    private Channel channel;
    private HttpRequest request;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    private ActiveRequest activeRequest;
    private ByteBuf unsentStreamData = Unpooled.EMPTY_BUFFER;
    private boolean responding;
    private boolean streaming;
    private boolean closing;
    private long lastActiveMillis;
    private long idleTimeoutMillis;

    CallerChannelHandler(CallerServer server, ClientLimits limits) {
        this.server = server;
        this.limits = limits;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        lastActiveMillis = server.nowMillis();
        server.onOpened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        server.onClosed(this);
        closing = true;
        queued.forEach(ReferenceCountUtil::release);
        queued.clear();
        if (activeRequest != null) {
            ActiveRequest abandoned = activeRequest;
            activeRequest = null;
            abandoned.onCallerDisconnected();
        }
        unsentStreamData.release();
        unsentStreamData = Unpooled.EMPTY_BUFFER;
        releaseBody();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        HttpObject object = (HttpObject) message;
        if (closing) {
            ReferenceCountUtil.release(object);
        } else if (responding) {
            queued.add(object);
            if (queued.size() > MAX_QUEUED_OBJECTS) {
                server.recordClosedConnection(CloseReason.PIPELINE_FULL);
                channel.close();
            }
        } else {
            process(object);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (ctx.channel().isWritable() && activeRequest != null) {
            activeRequest.onCallerWritable();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        server.recordConnectionFailure(cause, request);
        ctx.close();
    }

    /**
     * Applies the timeouts of the current request. Without one, closes the connection if it is idle or if a request
     * arrives too slowly.
     *
     * @param nowMillis the current time in milliseconds
     * @param idleDeadlineMillis the time in milliseconds since which idle connections must have been used to stay open
     */
    void tick(long nowMillis, long idleDeadlineMillis) {
        if (responding) {
            if (activeRequest != null) {
                ActiveRequest current = activeRequest;
                guard(() -> current.tick(nowMillis));
            }
            return;
        }
        idleTimeoutMillis = Math.max(idleTimeoutMillis, server.limits().idleTimeoutMillis());
        boolean isIdle = request == null;
        long limit = isIdle ? idleTimeoutMillis : limits.headerTimeoutMillis() + idleTimeoutMillis;
        boolean expired = nowMillis - lastActiveMillis > limit || (isIdle && lastActiveMillis < idleDeadlineMillis);
        if (expired && !server.isLagging()) {
            server.recordClosedConnection(isIdle ? CloseReason.IDLE : CloseReason.SLOW_REQUEST);
            closing = true;
            channel.close();
        }
    }

    /**
     * Ends the request in progress because the gateway is about to stop, and closes the connection.
     *
     * @param nowMillis the current time in milliseconds
     */
    void shutDown(long nowMillis) {
        if (activeRequest != null) {
            activeRequest.onShutdown(nowMillis);
        } else if (responding && !closing) {
            sendError(ErrorKind.STOPPING, 0);
        } else if (!responding) {
            closing = true;
            channel.close();
        }
    }

    /**
     * Returns whether a request is in progress.
     *
     * @return true if closing the connection would interrupt a request or its response
     */
    boolean isBusy() {
        return responding || request != null;
    }

    private void process(HttpObject object) {
        try {
            lastActiveMillis = server.nowMillis();
            if (object.decoderResult().isFailure()) {
                refuseMalformed(object.decoderResult().cause());
                return;
            }
            if (object instanceof HttpRequest header) {
                onRequestHeader(header);
            }
            if (object instanceof HttpContent content && request != null) {
                appendBody(content.content());
            }
            if (object instanceof LastHttpContent && request != null) {
                onRequestComplete();
            }
        } finally {
            ReferenceCountUtil.release(object);
        }
    }

    private void onRequestHeader(HttpRequest header) {
        request = header;
        body = Unpooled.EMPTY_BUFFER;
        if (HttpUtil.is100ContinueExpected(header)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void appendBody(ByteBuf bytes) {
        if (!bytes.isReadable()) {
            return;
        }
        int maxBodyBytes = Math.max(limits.maxBodyBytes(), server.limits().maxBodyBytes());
        if (body.readableBytes() + bytes.readableBytes() > maxBodyBytes) {
            responding = true;
            closing = true;
            sendError(ErrorKind.BODY_TOO_LARGE, 0);
            return;
        }
        if (body.capacity() == 0) {
            body = channel.alloc().buffer(Math.max(256, bytes.readableBytes()));
        }
        body.writeBytes(bytes);
    }

    private void onRequestComplete() {
        if (closing) {
            return;
        }
        responding = true;
        if (server.isLagging()) {
            runAfterNextReads(this::submit);
        } else {
            submit();
        }
    }

    /**
     * Runs an action after the event loop has read from all connections once more, and so has detected callers that
     * have disconnected. A task that becomes due during a long iteration of the event loop runs at the end of the same
     * iteration. Therefore two consecutive tasks are needed to reach the end of the next iteration.
     */
    private void runAfterNextReads(Runnable action) {
        channel.eventLoop()
                .schedule(
                        () -> channel.eventLoop().schedule(action, NEXT_READS_DELAY_MILLIS, TimeUnit.MILLISECONDS),
                        NEXT_READS_DELAY_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    /** Passes the request to the server unless the caller has closed its connection in the meantime. */
    private void submit() {
        if (!closing && channel.isActive()) {
            guard(() -> server.onRequest(this, request, body));
        }
    }

    /**
     * Runs an action of the current request. If it fails, the request gets an error instead of a closed connection, and
     * other requests are not affected.
     */
    private void guard(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            HttpRequest failed = request;
            if (activeRequest != null) {
                activeRequest.onInternalError(e);
            } else if (responding && !closing) {
                sendError(ErrorKind.OVERLOADED, 0);
            }
            server.recordConnectionFailure(e, failed);
        }
    }

    @Override
    public void attach(ActiveRequest newRequest) {
        activeRequest = newRequest;
    }

    private void refuseMalformed(Throwable cause) {
        server.recordConnectionFailure(cause, request);
        responding = true;
        closing = true;
        sendError(cause instanceof TooLongFrameException ? ErrorKind.HEADERS_TOO_LARGE : ErrorKind.BAD_REQUEST, 0);
    }

    @Override
    public void sendResponse(HttpResponseStatus status, HttpHeaders headers, ByteBuf responseBody) {
        requireStreaming(false);
        boolean close = mustCloseAfterResponse();
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, responseBody.retainedDuplicate());
        Headers.copyEndToEnd(headers, response.headers());
        if (!isHeadRequest()) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, responseBody.readableBytes());
        }
        writeResponse(response, close);
    }

    @Override
    public void sendError(ErrorKind kind, long retryAfterMillis) {
        requireStreaming(false);
        boolean close = mustCloseAfterResponse();
        byte[] text = ("{\"error\":\"" + kind.label() + "\",\"message\":\"" + kind.message() + "\"}")
                .getBytes(StandardCharsets.UTF_8);
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(kind.status()),
                isHeadRequest() ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(text));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, text.length);
        if (retryAfterMillis > 0) {
            response.headers()
                    .set(
                            HttpHeaderNames.RETRY_AFTER,
                            String.format(Locale.ROOT, "%.3f", retryAfterMillis / MILLIS_PER_SECOND));
        }
        writeResponse(response, close);
    }

    @Override
    public void startStream(HttpResponseStatus status, HttpHeaders headers) {
        requireStreaming(false);
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
        Headers.copyEndToEnd(headers, response.headers());
        if (request.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
            closing = true;
            setResetOnClose(true);
        } else {
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        if (mustCloseAfterResponse()) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            closing = true;
        }
        streaming = true;
        channel.write(response);
    }

    @Override
    public void addStreamData(ByteBuf bytes) {
        requireStreaming(true);
        if (!bytes.isReadable()) {
            return;
        }
        if (unsentStreamData.capacity() == 0) {
            unsentStreamData = channel.alloc().buffer(bytes.readableBytes());
        }
        unsentStreamData.writeBytes(bytes);
    }

    @Override
    public boolean flushStream() {
        requireStreaming(true);
        if (unsentStreamData.isReadable()) {
            channel.writeAndFlush(new DefaultHttpContent(unsentStreamData));
            unsentStreamData = Unpooled.EMPTY_BUFFER;
        }
        return channel.isWritable();
    }

    @Override
    public void endStream() {
        flushStream();
        streaming = false;
        boolean closeAnnounced = closing;
        var written = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        if (closeAnnounced) {
            written.addListener((ChannelFuture sent) -> {
                if (sent.isSuccess()) {
                    setResetOnClose(false);
                }
            });
            written.addListener(ChannelFutureListener.CLOSE);
        }
        processNextRequest(closeAnnounced);
    }

    @Override
    public void abort() {
        if (streaming) {
            flushStream();
        }
        closing = true;
        activeRequest = null;
        channel.close();
    }

    /** Closes the connection instead of sending a part of a response that does not fit what has been sent before. */
    private void requireStreaming(boolean expected) {
        if (streaming != expected) {
            abort();
            throw new IllegalStateException("stream has " + (streaming ? "already" : "not") + " been started");
        }
    }

    /**
     * Sets whether closing the connection resets it. A stream without chunks ends with its connection, so only a reset
     * shows that it is incomplete.
     */
    private void setResetOnClose(boolean enabled) {
        channel.config().setOption(ChannelOption.SO_LINGER, enabled ? 0 : -1);
    }

    /** Returns whether the caller expects a response without a body. */
    private boolean isHeadRequest() {
        return request != null && request.method().equals(HttpMethod.HEAD);
    }

    /** Returns whether the response is the last on its connection. */
    private boolean mustCloseAfterResponse() {
        return closing
                || server.isDraining()
                || (request != null && !HttpUtil.isKeepAlive(request))
                || (server.leadsCallersAway() && !hasReceivedNextRequest());
    }

    private boolean hasReceivedNextRequest() {
        return !queued.isEmpty()
                || channel.pipeline().get(StrictRequestDecoder.class).hasUnreadBytes();
    }

    private void writeResponse(HttpResponse response, boolean close) {
        if (close) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        var written = channel.writeAndFlush(response);
        if (close) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
        processNextRequest(close);
    }

    private void processNextRequest(boolean close) {
        activeRequest = null;
        request = null;
        releaseBody();
        lastActiveMillis = server.nowMillis();
        closing = closing || close;
        responding = close;
        try {
            while (!responding && !queued.isEmpty()) {
                process(queued.poll());
            }
        } catch (RuntimeException e) {
            server.recordConnectionFailure(e, request);
            abort();
        }
    }

    private void releaseBody() {
        if (body.capacity() > 0) {
            body.release();
            body = Unpooled.EMPTY_BUFFER;
        }
    }
}
