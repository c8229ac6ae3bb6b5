package org.lovagethread.gateway.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.Locale;
import java.util.Set;
import org.lovagethread.gateway.http.UpstreamClient.Listener;
import org.lovagethread.gateway.http.UpstreamClient.RequestHandle;
import org.lovagethread.gateway.upstream.UpstreamEntry;

/**
 * A connection to an upstream that carries one request at a time.
 *
 * <p>Responses are matched by the request identifier. A response to another request is skipped, and the connection is
 * not reused afterwards. A response without an identifier proves nothing once the connection has carried another one.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {
    private static final String KEEP_ALIVE_TIMEOUT = "timeout=";

    /** Time for which an idle connection is reused if the upstream sends no keep-alive timeout, in milliseconds. */
    private static final long DEFAULT_KEEP_ALIVE_MILLIS = 400;

    /** Fraction of the upstream's keep-alive timeout for which an idle connection is reused. */
    private static final double KEEP_ALIVE_FRACTION = 0.6;

    private static final long MILLIS_PER_SECOND = 1_000;

    /** Maximum number of responses that are skipped while a request waits for its own. */
    private static final int MAX_SKIPPED_RESPONSES = 64;

    /** Maximum size of the bodies that are skipped while a request waits for its own response, in bytes. */
    private static final long MAX_SKIPPED_BYTES = 1 << 20;

    private final NettyUpstreamClient client;
    private final UpstreamEntry upstream;
    private final ResponseDecoder decoder;
    private Channel channel;
    private FullHttpRequest pendingRequest;
    private Listener listener;
    private String expectedId = "";
    private boolean skippingResponse;
    private int skippedResponses;
    private long skippedBytes;
    private boolean reusable = true;
    private boolean connectionReset;
    private boolean bodyLengthKnown;
    private long idleDeadlineMillis;
    private long idleSinceMillis;
    private long keepAliveMillis = DEFAULT_KEEP_ALIVE_MILLIS;
    private int requestGeneration;
    private boolean returningToPool;

    UpstreamConnection(NettyUpstreamClient client, UpstreamEntry upstream, ResponseDecoder decoder) {
        this.client = client;
        this.upstream = upstream;
        this.decoder = decoder;
    }

    String upstreamId() {
        return upstream.id();
    }

    long idleDeadlineMillis() {
        return idleDeadlineMillis;
    }

    long idleSinceMillis() {
        return idleSinceMillis;
    }

    boolean isUsable() {
        return reusable && channel.isActive();
    }

    void close() {
        channel.close();
    }

    /** Stores a request until the connection is established. */
    RequestHandle prepare(Channel newChannel, FullHttpRequest request, Listener newListener) {
        channel = newChannel;
        pendingRequest = request;
        return startRequest(request, newListener);
    }

    /** Sends the pending request, or notifies its listener that it was not sent. */
    void onConnected(boolean success) {
        FullHttpRequest request = pendingRequest;
        pendingRequest = null;
        if (request == null) {
            channel.close();
        } else if (!success) {
            request.release();
            Listener notified = listener;
            listener = null;
            if (notified != null) {
                notified.onNotSent();
            }
        } else {
            channel.writeAndFlush(request, channel.voidPromise());
        }
    }

    /** Sends a request on an established connection. */
    RequestHandle send(FullHttpRequest request, Listener newListener) {
        RequestHandle handle = startRequest(request, newListener);
        channel.writeAndFlush(request, channel.voidPromise());
        return handle;
    }

    private RequestHandle startRequest(FullHttpRequest request, Listener newListener) {
        listener = newListener;
        expectedId = client.headerCodec().readAttributes(request).requestId();
        skippingResponse = false;
        skippedResponses = 0;
        skippedBytes = 0;
        decoder.expectResponse(request.method());
        requestGeneration++;
        int expectedGeneration = requestGeneration;
        return new RequestHandle() {
            @Override
            public void cancel() {
                if (expectedGeneration == requestGeneration && listener != null) {
                    listener = null;
                    reusable = false;
                    releasePendingRequest();
                    channel.close();
                }
            }

            @Override
            public void setReading(boolean reading) {
                if (expectedGeneration == requestGeneration && listener != null) {
                    channel.config().setAutoRead(reading);
                }
            }
        };
    }

    private void releasePendingRequest() {
        if (pendingRequest != null) {
            pendingRequest.release();
            pendingRequest = null;
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object object) {
        client.links().onReceived();
        try {
            if (listener == null) {
                discard();
            } else if (((HttpObject) object).decoderResult().isFailure()) {
                fail(describe(((HttpObject) object).decoderResult().cause()));
            } else {
                process(object);
            }
        } finally {
            ReferenceCountUtil.release(object);
        }
    }

    /** Returns a reason for the log; messages of other exceptions may contain any bytes of the response. */
    private static String describe(Throwable cause) {
        return cause instanceof CorruptedFrameException
                ? "malformed response: " + cause.getMessage()
                : "malformed response";
    }

    private void process(Object object) {
        if (object instanceof HttpResponse response) {
            onHeader(response);
        }
        if (skippingResponse) {
            skip(object);
            return;
        }
        if (listener != null
                && object instanceof HttpContent content
                && content.content().isReadable()) {
            listener.onData(content.content());
        }
        if (listener != null && object instanceof LastHttpContent) {
            onResponseEnd();
        }
    }

    private void skip(Object object) {
        skippedResponses += object instanceof HttpResponse ? 1 : 0;
        skippedBytes +=
                object instanceof HttpContent content ? content.content().readableBytes() : 0;
        skippingResponse = !(object instanceof LastHttpContent);
        if (skippedResponses > MAX_SKIPPED_RESPONSES || skippedBytes > MAX_SKIPPED_BYTES) {
            fail("too much data before the response");
        }
    }

    private void onHeader(HttpResponse response) {
        client.readNotices(upstream, response);
        boolean informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (informational || belongsToAnotherRequest(response)) {
            skippingResponse = true;
            reusable = reusable && informational;
            return;
        }
        if (!isAttributable(response)) {
            fail("response cannot be attributed to the request");
            return;
        }
        bodyLengthKnown = HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
        reusable = reusable && bodyLengthKnown && HttpUtil.isKeepAlive(response);
        readKeepAlive(response);
        listener.onHeader(response);
    }

    /**
     * Returns whether a response certainly or probably belongs to another request. A response without an identifier
     * may repeat an earlier one unless it is the first on its connection.
     */
    private boolean belongsToAnotherRequest(HttpResponse response) {
        Set<String> ids = client.headerCodec().responseRequestIds(response.headers());
        return ids.isEmpty() ? !expectedId.isEmpty() && !isFirstResponse() : !ids.contains(expectedId);
    }

    /** Returns whether a response states the identifier of the request only, or is a refusal that can be no other's. */
    private boolean isAttributable(HttpResponse response) {
        Set<String> ids = client.headerCodec().responseRequestIds(response.headers());
        return ids.isEmpty()
                ? isFirstResponse() && client.headerCodec().statesNotRun(response)
                : ids.equals(Set.of(expectedId));
    }

    /** Returns whether no other response has been received on this connection. */
    private boolean isFirstResponse() {
        return requestGeneration == 1 && reusable;
    }

    private void readKeepAlive(HttpResponse response) {
        String value = response.headers().get(HttpHeaderNames.KEEP_ALIVE.toString());
        if (value == null) {
            return;
        }
        for (String field : value.toLowerCase(Locale.ROOT).split(",", -1)) {
            String stripped = field.strip();
            if (stripped.startsWith(KEEP_ALIVE_TIMEOUT)) {
                keepAliveMillis = parseKeepAliveMillis(stripped.substring(KEEP_ALIVE_TIMEOUT.length()));
            }
        }
    }

    private static long parseKeepAliveMillis(String seconds) {
        try {
            return (long) (Long.parseLong(seconds) * MILLIS_PER_SECOND * KEEP_ALIVE_FRACTION);
        } catch (NumberFormatException e) {
            return DEFAULT_KEEP_ALIVE_MILLIS;
        }
    }

    private void onResponseEnd() {
        Listener notified = listener;
        if (connectionReset && !bodyLengthKnown) {
            fail("the connection was reset");
            return;
        }
        listener = null;
        decoder.endResponse();
        long now = client.nowMillis();
        channel.config().setAutoRead(true);
        if (isUsable()) {
            idleSinceMillis = now;
            idleDeadlineMillis = now + Math.min(keepAliveMillis, client.maxIdleMillis());
            returningToPool = true;
        } else {
            channel.close();
        }
        notified.onEnd();
    }

    /** Returns the connection to the pool only now, so that bytes received together with the response are detected. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (listener != null) {
            listener.onReadComplete();
        }
        if (returningToPool) {
            returningToPool = false;
            if (isUsable()) {
                client.returnToPool(this);
            }
        }
    }

    private void fail(String reason) {
        Listener notified = listener;
        listener = null;
        discard();
        if (notified != null) {
            notified.onFailure(reason);
        }
    }

    /** Closes the connection and removes it from the pool. */
    private void discard() {
        reusable = false;
        client.removeFromPool(this);
        channel.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (decoder.surplusReceived()) {
            client.recordSurplusBytes();
        }
        if (pendingRequest == null) {
            fail(connectionReset ? "the connection was reset" : "the connection was closed");
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        connectionReset = true;
        client.links().onReset();
        fail("connection failed: " + cause.getClass().getSimpleName());
    }
}
