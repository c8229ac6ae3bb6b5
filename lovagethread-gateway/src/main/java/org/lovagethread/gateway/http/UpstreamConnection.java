package org.lovagethread.gateway.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
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
import java.util.Optional;
import org.lovagethread.gateway.http.UpstreamClient.Listener;
import org.lovagethread.gateway.http.UpstreamClient.Send;

/**
 * One connection to an upstream, with one request in progress at a time.
 *
 * <p>Answers are matched by the id of the request: an answer that belongs to another request is passed over, and the
 * connection is not used again after it.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {
    private static final String KEEP_ALIVE_TIMEOUT = "timeout=";

    /** Time for which a connection is kept when the upstream states no idle timeout, in milliseconds. */
    private static final long UNSTATED_IDLE_MILLIS = 400;

    /** Part of the stated idle timeout within which a connection is used again. */
    private static final double USED_SHARE = 0.6;

    private static final long MILLIS_PER_SECOND = 1_000;

    private final NettyUpstreamClient client;
    private final String upstreamId;
    private Channel channel;
    private FullHttpRequest message;
    private Listener listener;
    private String expectedId = "";
    private boolean foreign;
    private boolean reusable = true;
    private boolean reset;
    private boolean framed;
    private long idleDeadlineMillis;
    private long idleSinceMillis;
    private long statedIdleMillis = UNSTATED_IDLE_MILLIS;
    private int generation;

    UpstreamConnection(NettyUpstreamClient client, String upstreamId) {
        this.client = client;
        this.upstreamId = upstreamId;
    }

    String upstreamId() {
        return upstreamId;
    }

    long idleDeadlineMillis() {
        return idleDeadlineMillis;
    }

    long idleSinceMillis() {
        return idleSinceMillis;
    }

    boolean usable() {
        return reusable && channel.isActive();
    }

    void close() {
        channel.close();
    }

    /** Holds a request until the connection is open. */
    Send prepare(Channel opening, FullHttpRequest first, Listener firstListener) {
        channel = opening;
        message = first;
        return begin(first, firstListener);
    }

    /** Sends the held request, or reports that it was not sent. */
    void connected(boolean success) {
        FullHttpRequest held = message;
        message = null;
        if (held == null) {
            channel.close();
        } else if (!success) {
            held.release();
            Listener waiting = listener;
            listener = null;
            if (waiting != null) {
                waiting.notSent();
            }
        } else {
            channel.writeAndFlush(held, channel.voidPromise());
        }
    }

    /** Sends a request on an open connection. */
    Send send(FullHttpRequest request, Listener newListener) {
        Send send = begin(request, newListener);
        channel.writeAndFlush(request, channel.voidPromise());
        return send;
    }

    private Send begin(FullHttpRequest request, Listener newListener) {
        listener = newListener;
        expectedId = client.protocol().attributes(request).requestId();
        foreign = false;
        generation++;
        int mine = generation;
        return new Send() {
            @Override
            public void cancel() {
                if (mine == generation && listener != null) {
                    listener = null;
                    reusable = false;
                    releaseHeld();
                    channel.close();
                }
            }

            @Override
            public void reading(boolean reading) {
                if (mine == generation && listener != null) {
                    channel.config().setAutoRead(reading);
                }
            }
        };
    }

    private void releaseHeld() {
        if (message != null) {
            message.release();
            message = null;
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object object) {
        try {
            if (listener == null) {
                stop();
            } else if (((HttpObject) object).decoderResult().isFailure()) {
                fail("malformed answer");
            } else {
                read(object);
            }
        } finally {
            ReferenceCountUtil.release(object);
        }
    }

    private void read(Object object) {
        if (object instanceof HttpResponse response) {
            head(response);
        }
        if (foreign) {
            foreign = !(object instanceof LastHttpContent);
            return;
        }
        if (listener != null
                && object instanceof HttpContent content
                && content.content().isReadable()) {
            listener.data(content.content());
        }
        if (listener != null && object instanceof LastHttpContent) {
            end();
        }
    }

    private void head(HttpResponse response) {
        Optional<String> answered = client.protocol().answeredId(response.headers());
        boolean informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (informational || answered.filter(id -> !id.equals(expectedId)).isPresent()) {
            foreign = true;
            reusable = reusable && informational;
            return;
        }
        if (answered.isEmpty() && !client.protocol().notRun(response)) {
            fail("answer without the id of its request");
            return;
        }
        framed = HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
        reusable = reusable && framed && HttpUtil.isKeepAlive(response);
        statedIdle(response);
        listener.head(response);
    }

    private void statedIdle(HttpResponse response) {
        String value = response.headers().get(HttpHeaderNames.KEEP_ALIVE.toString());
        if (value == null) {
            return;
        }
        for (String field : value.toLowerCase(Locale.ROOT).split(",", -1)) {
            String stripped = field.strip();
            if (stripped.startsWith(KEEP_ALIVE_TIMEOUT)) {
                statedIdleMillis = idleMillis(stripped.substring(KEEP_ALIVE_TIMEOUT.length()));
            }
        }
    }

    private static long idleMillis(String seconds) {
        try {
            return (long) (Long.parseLong(seconds) * MILLIS_PER_SECOND * USED_SHARE);
        } catch (NumberFormatException e) {
            return UNSTATED_IDLE_MILLIS;
        }
    }

    private void end() {
        Listener ended = listener;
        if (reset && !framed) {
            fail("the connection was reset");
            return;
        }
        listener = null;
        long now = client.nowMillis();
        channel.config().setAutoRead(true);
        if (usable()) {
            idleSinceMillis = now;
            idleDeadlineMillis = now + statedIdleMillis;
            client.keep(this);
        } else {
            channel.close();
        }
        ended.end();
    }

    private void fail(String reason) {
        Listener failed = listener;
        listener = null;
        stop();
        if (failed != null) {
            failed.broken(reason);
        }
    }

    /** Closes the connection, which must not be used again. */
    private void stop() {
        reusable = false;
        client.dropped(this);
        channel.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (message == null) {
            fail(reset ? "the connection was reset" : "the connection was closed");
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        reset = true;
        fail("connection failed: " + cause.getClass().getSimpleName());
    }
}
