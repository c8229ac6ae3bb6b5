package org.lovagethread.gateway.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import org.lovagethread.gateway.log.GatewayMetrics;
import org.lovagethread.gateway.upstream.UpstreamEntry;

/** Sends requests to upstreams over pooled connections. Not thread-safe: used on the gateway's event loop only. */
final class NettyUpstreamClient implements UpstreamClient {
    private static final int CONNECT_TIMEOUT_MILLIS = 400;

    /** Maximum idle time of connections for requests that require a fresh one, in milliseconds. */
    private static final long MAX_FRESH_IDLE_MILLIS = 150;

    private static final HttpDecoderConfig DECODER_CONFIG = new HttpDecoderConfig()
            .setMaxInitialLineLength(8_192)
            .setMaxHeaderSize(65_536)
            .setMaxChunkSize(65_536);

    private final Bootstrap bootstrap;
    private final HeaderCodec headerCodec;
    private final LongSupplier clock;
    private final long maxIdleMillis;
    private final BiConsumer<UpstreamEntry, HttpResponse> responseListener;
    private final LinkReporter links;
    private final Map<String, Deque<UpstreamConnection>> idle = new HashMap<>();
    private long openedConnections;
    private long connectionsWithSurplusBytes;

    NettyUpstreamClient(
            EventLoop loop,
            HeaderCodec headerCodec,
            LongSupplier clock,
            long maxIdleMillis,
            BiConsumer<UpstreamEntry, HttpResponse> responseListener,
            LinkReporter links) {
        this.links = links;
        this.responseListener = responseListener;
        this.maxIdleMillis = maxIdleMillis;
        this.headerCodec = headerCodec;
        this.clock = clock;
        this.bootstrap = ClientBootstrap.create(loop, CONNECT_TIMEOUT_MILLIS);
    }

    @Override
    public RequestHandle send(
            UpstreamEntry upstream,
            HttpRequest request,
            HttpHeaders headers,
            ByteBuf body,
            boolean requireFresh,
            Listener listener) {
        FullHttpRequest message = toUpstreamRequest(request, headers, body);
        Optional<UpstreamConnection> pooled = takePooled(upstream.id(), requireFresh);
        if (pooled.isPresent()) {
            return pooled.get().send(message, listener);
        }
        return open(upstream, message, listener);
    }

    /**
     * Closes idle connections whose keep-alive time has expired.
     *
     * @param nowMillis the current time in milliseconds
     */
    void tick(long nowMillis) {
        for (Deque<UpstreamConnection> connections : idle.values()) {
            for (UpstreamConnection connection : connections.toArray(new UpstreamConnection[0])) {
                if (nowMillis >= connection.idleDeadlineMillis()) {
                    connections.remove(connection);
                    connection.close();
                }
            }
        }
        idle.values().removeIf(Deque::isEmpty);
    }

    /** Sets the gauges of connections. */
    void publish(GatewayMetrics metrics) {
        metrics.setState("upstream_connections_opened", openedConnections);
        metrics.setState("upstream_connections_with_surplus_bytes", connectionsWithSurplusBytes);
    }

    /** Reads what the upstream says of itself, before anything else is done with the response. */
    void readNotices(UpstreamEntry upstream, HttpResponse response) {
        responseListener.accept(upstream, response);
    }

    void recordSurplusBytes() {
        connectionsWithSurplusBytes++;
    }

    long nowMillis() {
        return clock.getAsLong();
    }

    long maxIdleMillis() {
        return maxIdleMillis;
    }

    LinkReporter links() {
        return links;
    }

    HeaderCodec headerCodec() {
        return headerCodec;
    }

    void returnToPool(UpstreamConnection connection) {
        idle.computeIfAbsent(connection.upstreamId(), id -> new ArrayDeque<>()).push(connection);
    }

    void removeFromPool(UpstreamConnection connection) {
        Deque<UpstreamConnection> connections = idle.get(connection.upstreamId());
        if (connections != null) {
            connections.remove(connection);
        }
    }

    private Optional<UpstreamConnection> takePooled(String upstreamId, boolean requireFresh) {
        Deque<UpstreamConnection> connections = idle.get(upstreamId);
        long now = clock.getAsLong();
        while (connections != null && !connections.isEmpty()) {
            UpstreamConnection connection = connections.peek();
            boolean isUsable = connection.isUsable() && now < connection.idleDeadlineMillis();
            if (isUsable && requireFresh && now - connection.idleSinceMillis() > MAX_FRESH_IDLE_MILLIS) {
                return Optional.empty();
            }
            connections.pop();
            if (isUsable) {
                return Optional.of(connection);
            }
            connection.close();
        }
        return Optional.empty();
    }

    private RequestHandle open(UpstreamEntry upstream, FullHttpRequest message, Listener listener) {
        openedConnections++;
        ResponseDecoder decoder = new ResponseDecoder(DECODER_CONFIG);
        UpstreamConnection connection = new UpstreamConnection(this, upstream, decoder);
        ChannelFuture connecting = bootstrap
                .clone()
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(decoder, new HttpRequestEncoder(), connection);
                    }
                })
                .connect(upstream.host(), upstream.port());
        Channel channel = connecting.channel();
        RequestHandle handle = connection.prepare(channel, message, listener);
        links.follow(upstream, connecting);
        connecting.addListener(future -> connection.onConnected(future.isSuccess()));
        return handle;
    }

    private static FullHttpRequest toUpstreamRequest(HttpRequest request, HttpHeaders headers, ByteBuf body) {
        DefaultFullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, request.method(), request.uri(), body.retainedDuplicate(), false);
        message.headers().set(headers);
        boolean hasBody = body.isReadable()
                || request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                || request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
                || request.method().equals(HttpMethod.POST);
        if (hasBody) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        return message;
    }
}
