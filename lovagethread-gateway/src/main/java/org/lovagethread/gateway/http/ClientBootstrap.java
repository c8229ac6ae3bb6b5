package org.lovagethread.gateway.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * Creates bootstraps for connections that the gateway opens.
 *
 * <p>Closing such a connection resets it, also if the process ends, so that no bytes of a call outlast the call. After an
 * orderly close, the operating system would go on sending what was not acknowledged, and a server could execute a request
 * long after it was given up and repeated elsewhere.
 */
final class ClientBootstrap {
    /** Value of {@code SO_LINGER}, in seconds, with which closing a connection resets it. */
    private static final int RESET_ON_CLOSE = 0;

    /**
     * Maximum number of bytes that are read from a connection before others are served, which bounds the work that one
     * response causes in one turn of the event loop. A server may send bytes faster than they are processed, and each may
     * be a part of its own.
     */
    static final int MAX_BYTES_PER_TURN = 4_096;

    private static final int READS_PER_TURN = 1;
    private static final int MIN_BUFFER_BYTES = 64;
    private static final int INITIAL_BUFFER_BYTES = 2_048;

    private ClientBootstrap() {}

    /**
     * Creates a bootstrap without a handler.
     *
     * @param loop the gateway's event loop
     * @param connectTimeoutMillis the maximum time for establishing a connection, in milliseconds
     * @return a new bootstrap
     */
    static Bootstrap create(EventLoop loop, int connectTimeoutMillis) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_LINGER, RESET_ON_CLOSE)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
                .option(
                        ChannelOption.RCVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(MIN_BUFFER_BYTES, INITIAL_BUFFER_BYTES, MAX_BYTES_PER_TURN)
                                .maxMessagesPerRead(READS_PER_TURN));
    }
}
