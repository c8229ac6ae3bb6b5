package org.lovagethread.gateway.http;

import com.google.protobuf.ByteString;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Makes short calls over HTTP to the platform and to peers. Used by one thread; each call has a deadline. */
public final class HttpCaller {
    /** Time within which a connection must be open, in milliseconds. */
    private static final int CONNECT_MILLIS = 700;

    /** Time for which an idle connection is used again, in milliseconds. */
    private static final long IDLE_MILLIS = 2_500;

    /** Time without bytes after which an answer that has begun is given up, in milliseconds. */
    private static final long ARRIVING_MILLIS = 700;

    /** Time after which an answer is given up although it is still arriving, in milliseconds. */
    private static final long MOST_ARRIVING_MILLIS = 10_000;

    private static final int MOST_ANSWER_BYTES = 16 * 1024 * 1024;
    private static final int MOST_LINE_BYTES = 8_192;
    private static final int CHUNK_BYTES = 65_536;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final EventLoop loop;
    private final Map<InetSocketAddress, Deque<Connection>> idle = new HashMap<>();

    /**
     * Creates a caller.
     *
     * @param loop the thread of the gateway
     */
    public HttpCaller(EventLoop loop) {
        this.loop = loop;
    }

    /**
     * A call.
     *
     * @param address the address to call
     * @param method the method
     * @param uri the path with the query
     * @param headers headers besides those that frame the body
     * @param body the body; may be empty
     * @param timeoutMillis the time after which the call counts as unanswered unless its answer is arriving, in
     *     milliseconds
     */
    public record Call(
            InetSocketAddress address,
            HttpMethod method,
            String uri,
            Map<String, String> headers,
            ByteString body,
            long timeoutMillis) {}

    /**
     * What becomes of a call.
     *
     * @param status the status of the answer; zero if there was none
     * @param sent whether the call may have arrived
     * @param body the body of the answer
     */
    public record Reply(int status, boolean sent, ByteString body) {
        private static Reply none(boolean sent) {
            return new Reply(0, sent, ByteString.EMPTY);
        }
    }

    /**
     * Makes a call.
     *
     * @param call the call
     * @param reply takes what becomes of it, exactly once, on the thread of the gateway
     */
    public void call(Call call, Consumer<Reply> reply) {
        Deque<Connection> connections = idle.computeIfAbsent(call.address(), address -> new ArrayDeque<>());
        long now = System.nanoTime();
        Connection connection = connections.poll();
        while (connection != null && !connection.usable(now)) {
            connection.channel.close();
            connection = connections.poll();
        }
        if (connection != null) {
            connection.begin(call, reply);
            connection.write();
        } else {
            open(call, reply);
        }
    }

    private void open(Call call, Consumer<Reply> reply) {
        Connection connection = new Connection(call.address());
        var connecting = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.min(CONNECT_MILLIS, call.timeoutMillis()))
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new HttpClientCodec(MOST_LINE_BYTES, MOST_LINE_BYTES, CHUNK_BYTES))
                                .addLast(connection.new Progress())
                                .addLast(new HttpObjectAggregator(MOST_ANSWER_BYTES))
                                .addLast(connection);
                    }
                })
                .connect(call.address());
        connection.channel = connecting.channel();
        connection.begin(call, reply);
        connecting.addListener(future -> {
            if (future.isSuccess()) {
                connection.write();
            } else {
                connection.finish(Reply.none(false));
            }
        });
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final InetSocketAddress address;
        private Channel channel;
        private Call call;
        private Consumer<Reply> waiting;
        private ScheduledFuture<?> timeout;
        private boolean sent;
        private long idleSinceNanos;
        private long lastBytesNanos;
        private long giveUpNanos;

        private Connection(InetSocketAddress address) {
            this.address = address;
        }

        private boolean usable(long nowNanos) {
            return channel.isActive() && nowNanos - idleSinceNanos < IDLE_MILLIS * NANOS_PER_MILLI;
        }

        private void begin(Call next, Consumer<Reply> reply) {
            call = next;
            waiting = reply;
            sent = false;
            lastBytesNanos = Long.MIN_VALUE;
            giveUpNanos = System.nanoTime() + (next.timeoutMillis() + MOST_ARRIVING_MILLIS) * NANOS_PER_MILLI;
            timeout = loop.schedule(this::timedOut, next.timeoutMillis(), TimeUnit.MILLISECONDS);
        }

        private void write() {
            if (waiting == null) {
                channel.close();
                return;
            }
            sent = true;
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    call.method(),
                    call.uri(),
                    Unpooled.wrappedBuffer(call.body().asReadOnlyByteBuffer()));
            HttpHeaders headers = request.headers();
            call.headers().forEach(headers::set);
            headers.set(
                    HttpHeaderNames.HOST,
                    call.address().getHostString() + ':' + call.address().getPort());
            headers.set(HttpHeaderNames.CONTENT_LENGTH, call.body().size());
            channel.writeAndFlush(request, channel.voidPromise());
        }

        private void timedOut() {
            long now = System.nanoTime();
            boolean arriving =
                    lastBytesNanos != Long.MIN_VALUE && now - lastBytesNanos < ARRIVING_MILLIS * NANOS_PER_MILLI;
            if (waiting != null && arriving && now < giveUpNanos) {
                timeout = loop.schedule(this::timedOut, ARRIVING_MILLIS, TimeUnit.MILLISECONDS);
            } else if (waiting != null) {
                finish(Reply.none(sent));
                channel.close();
            }
        }

        private void finish(Reply reply) {
            Consumer<Reply> told = waiting;
            waiting = null;
            if (timeout != null) {
                timeout.cancel(false);
            }
            if (told != null) {
                told.accept(reply);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (waiting == null || response.decoderResult().isFailure()) {
                channel.close();
                return;
            }
            ByteString bytes = ByteString.copyFrom(response.content().nioBuffer());
            if (HttpUtil.isKeepAlive(response)) {
                idleSinceNanos = System.nanoTime();
                idle.computeIfAbsent(address, key -> new ArrayDeque<>()).push(this);
            } else {
                channel.close();
            }
            finish(new Reply(response.status().code(), true, bytes));
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            Deque<Connection> connections = idle.get(address);
            if (connections != null) {
                connections.remove(this);
            }
            finish(Reply.none(sent));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            finish(Reply.none(sent));
            channel.close();
        }

        /** Notes that parts of an answer arrive. */
        private final class Progress extends ChannelInboundHandlerAdapter {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object part) {
                lastBytesNanos = System.nanoTime();
                ctx.fireChannelRead(part);
            }
        }
    }
}
