package org.lovagethread.gateway.http;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.lovagethread.gateway.SilenceTimeouts;

/**
 * An HTTP client with a connection pool for short requests to the platform and to peers. Each request has a timeout.
 *
 * <p>Not thread-safe: used on the gateway's event loop only.
 */
public final class PooledHttpClient {
    private static final int CONNECT_TIMEOUT_MILLIS = 700;

    /** Maximum time between two parts of a response, in milliseconds. */
    private static final long READ_TIMEOUT_MILLIS = 700;

    /** Maximum time beyond a request's timeout for receiving the rest of its response, in milliseconds. */
    private static final long MAX_RESPONSE_MILLIS = 10_000;

    private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;
    private static final HttpDecoderConfig DECODER_CONFIG = new HttpDecoderConfig()
            .setMaxInitialLineLength(8_192)
            .setMaxHeaderSize(8_192)
            .setMaxChunkSize(65_536);
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final EventLoop loop;
    private final long maxIdleMillis;
    private final Map<InetSocketAddress, Deque<Connection>> idle = new HashMap<>();

    /**
     * Creates a client.
     *
     * @param loop the gateway's event loop
     * @param timeouts limits how long an idle connection is reused
     */
    public PooledHttpClient(EventLoop loop, SilenceTimeouts timeouts) {
        this.loop = loop;
        this.maxIdleMillis = timeouts.maxQuietMillis();
    }

    /**
     * A request.
     *
     * @param address the address of the server
     * @param method the method
     * @param uri the path with the query
     * @param headers the headers without {@code Host} and {@code Content-Length}
     * @param body the body; may be empty
     * @param timeoutMillis the time within which the response must have been received, in milliseconds; extended while
     *     parts of the response are arriving
     */
    public record Request(
            InetSocketAddress address,
            HttpMethod method,
            String uri,
            Map<String, String> headers,
            ByteString body,
            long timeoutMillis) {}

    /**
     * The outcome of a request.
     *
     * @param status the status of the response; zero if no response was received
     * @param requestSent whether the server may have received the request
     * @param headers the headers of the response
     * @param body the body of the response
     */
    public record Response(int status, boolean requestSent, HttpHeaders headers, ByteString body) {
        private static Response none(boolean requestSent) {
            return new Response(0, requestSent, EmptyHttpHeaders.INSTANCE, ByteString.EMPTY);
        }
    }

    /**
     * Sends a request.
     *
     * @param request the request
     * @param callback receives the outcome exactly once, on the gateway's event loop
     */
    public void send(Request request, Consumer<Response> callback) {
        Deque<Connection> connections = idle.computeIfAbsent(request.address(), address -> new ArrayDeque<>());
        long now = System.nanoTime();
        Connection connection = connections.poll();
        while (connection != null && !connection.isUsable(now)) {
            connection.channel.close();
            connection = connections.poll();
        }
        if (connection != null) {
            connection.startRequest(request, callback);
            connection.write();
        } else {
            open(request, callback);
        }
    }

    /** Closes the idle connections to a server, since they may have gone silent with the one that has timed out. */
    private void closeIdle(InetSocketAddress address) {
        Optional.ofNullable(idle.remove(address))
                .ifPresent(connections -> connections.forEach(connection -> connection.channel.close()));
    }

    private void open(Request request, Consumer<Response> callback) {
        Connection connection = new Connection(request.address());
        var connecting = ClientBootstrap.create(loop, (int) Math.min(CONNECT_TIMEOUT_MILLIS, request.timeoutMillis()))
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(connection.decoder, new HttpRequestEncoder(), connection);
                    }
                })
                .connect(request.address());
        connection.channel = connecting.channel();
        connection.startRequest(request, callback);
        connecting.addListener(future -> {
            if (future.isSuccess()) {
                connection.write();
            } else {
                connection.finish(Response.none(false));
            }
        });
    }

    private static boolean isInformational(HttpResponse response) {
        return response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }

    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        private final InetSocketAddress address;
        private final ResponseDecoder decoder = new ResponseDecoder(DECODER_CONFIG);
        private Channel channel;
        private Request request;
        private Consumer<Response> callback;
        private ScheduledFuture<?> timeout;
        private boolean sent;
        private boolean reusable;
        private HttpResponse head;
        private ByteBuf body = Unpooled.buffer(0);
        private Optional<Response> received = Optional.empty();
        private long idleSinceNanos;
        private long lastBytesNanos;
        private long responseDeadlineNanos;

        private Connection(InetSocketAddress address) {
            this.address = address;
        }

        private boolean isUsable(long nowNanos) {
            return channel.isActive() && nowNanos - idleSinceNanos < maxIdleMillis * NANOS_PER_MILLI;
        }

        private void startRequest(Request newRequest, Consumer<Response> newCallback) {
            request = newRequest;
            callback = newCallback;
            sent = false;
            lastBytesNanos = Long.MIN_VALUE;
            responseDeadlineNanos =
                    System.nanoTime() + (newRequest.timeoutMillis() + MAX_RESPONSE_MILLIS) * NANOS_PER_MILLI;
            timeout = loop.schedule(this::onTimeout, newRequest.timeoutMillis(), TimeUnit.MILLISECONDS);
        }

        private void write() {
            if (callback == null) {
                channel.close();
                return;
            }
            sent = true;
            DefaultFullHttpRequest message = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    request.method(),
                    request.uri(),
                    Unpooled.wrappedBuffer(request.body().asReadOnlyByteBuffer()));
            HttpHeaders headers = message.headers();
            request.headers().forEach(headers::set);
            headers.set(
                    HttpHeaderNames.HOST,
                    request.address().getHostString() + ':' + request.address().getPort());
            headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().size());
            decoder.expectResponse(request.method());
            channel.writeAndFlush(message, channel.voidPromise());
        }

        private void onTimeout() {
            long now = System.nanoTime();
            boolean receiving =
                    lastBytesNanos != Long.MIN_VALUE && now - lastBytesNanos < READ_TIMEOUT_MILLIS * NANOS_PER_MILLI;
            if (callback != null && receiving && now < responseDeadlineNanos) {
                timeout = loop.schedule(this::onTimeout, READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            } else if (callback != null) {
                closeIdle(address);
                fail();
            }
        }

        private void finish(Response response) {
            Consumer<Response> notified = callback;
            callback = null;
            received = Optional.empty();
            if (timeout != null) {
                timeout.cancel(false);
            }
            if (notified != null) {
                notified.accept(response);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
            lastBytesNanos = System.nanoTime();
            if (callback == null || part.decoderResult().isFailure()) {
                fail();
                return;
            }
            if (part instanceof HttpResponse header) {
                head = header;
                body.clear();
            }
            if (part instanceof HttpContent content) {
                append(content.content());
            }
            if (callback != null && part instanceof LastHttpContent && !isInformational(head)) {
                onResponseEnd();
            }
        }

        private void append(ByteBuf bytes) {
            if (body.readableBytes() + bytes.readableBytes() > MAX_RESPONSE_BYTES) {
                fail();
                return;
            }
            body.writeBytes(bytes);
        }

        /** Ends the request before its connection, whose end would otherwise complete a response without a length. */
        private void fail() {
            finish(Response.none(sent));
            channel.close();
        }

        private void onResponseEnd() {
            decoder.endResponse();
            ByteString bytes = ByteString.copyFrom(body.nioBuffer());
            body = Unpooled.buffer(0);
            reusable = HttpUtil.isKeepAlive(head);
            received = Optional.of(new Response(head.status().code(), true, head.headers(), bytes));
        }

        /** Completes the request only now, so that bytes received together with the response are detected. */
        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (received.isEmpty()) {
                return;
            }
            Response response = received.get();
            if (reusable && channel.isActive()) {
                idleSinceNanos = System.nanoTime();
                idle.computeIfAbsent(address, key -> new ArrayDeque<>()).push(this);
            } else {
                channel.close();
            }
            finish(response);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            Deque<Connection> connections = idle.get(address);
            if (connections != null) {
                connections.remove(this);
            }
            finish(received.orElse(Response.none(sent)));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            finish(received.orElse(Response.none(sent)));
            channel.close();
        }
    }
}
