package org.lovagethread.gateway.relay;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import org.lovagethread.core.error.ErrorKind;
import org.lovagethread.gateway.exchange.ActiveRequest;
import org.lovagethread.gateway.exchange.CallerConnection;
import org.lovagethread.wire.generated.RelayAcceptance;
import org.lovagethread.wire.generated.RelayError;
import org.lovagethread.wire.generated.RelayFrame;
import org.lovagethread.wire.generated.RelayOffer;
import org.lovagethread.wire.generated.RelayRefusalReason;
import org.lovagethread.wire.generated.RelayRequest;
import org.lovagethread.wire.generated.RelayResponse;
import org.lovagethread.wire.generated.RelayStreamEnd;
import org.lovagethread.wire.generated.RelayStreamStart;

/**
 * A connection of a peer on which it passes one request to this gateway.
 *
 * <p>Only the peer closes the connection, since closing it here could discard the end of a response that the peer has not
 * read yet.
 */
final class RelayedConnection extends SimpleChannelInboundHandler<RelayFrame> implements CallerConnection {
    /** Maximum size of one part of a stream. */
    private static final int MAX_DATA_BYTES = 64 * 1024;

    private final RelayServer server;
    private final RelayKeepAlive keepAlive;
    private final int maxBodyBytes;
    private Channel channel;
    private State state = State.OPEN;
    private long reservedBytes;
    private ByteString unsentStreamData = ByteString.EMPTY;
    private Optional<ActiveRequest> activeRequest = Optional.empty();

    private enum State {
        /** No offer has been received. */
        OPEN,
        /** An offer has been accepted. */
        ACCEPTED,
        /** The request is in progress. */
        RUNNING,
        /** The response is a stream that has begun. */
        STREAMING,
        /** The response or a refusal has been sent. */
        ENDED
    }

    RelayedConnection(RelayServer server, RelayKeepAlive keepAlive, int maxBodyBytes) {
        this.server = server;
        this.keepAlive = keepAlive;
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Returns whether there is a request that closing the connection would interrupt. */
    boolean isBusy() {
        return state != State.OPEN && state != State.ENDED;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        server.onOpened(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, RelayFrame frame) {
        if (frame.hasHeartbeat()) {
            return;
        }
        if (frame.hasOffer() && state == State.OPEN) {
            onOffer(frame.getOffer());
        } else if (frame.hasRequest() && state == State.ACCEPTED) {
            onRequest(frame.getRequest());
        } else {
            channel.close();
        }
    }

    private void onOffer(RelayOffer offer) {
        Optional<RelayRefusalReason> refusal = server.reserve(offer, maxBodyBytes);
        if (refusal.isPresent()) {
            refuse(refusal.get());
            return;
        }
        state = State.ACCEPTED;
        reservedBytes = offer.getBodyBytes();
        send(RelayFrame.newBuilder()
                .setAcceptance(RelayAcceptance.getDefaultInstance())
                .build());
    }

    private void refuse(RelayRefusalReason reason) {
        end();
        send(RelayRefusals.frame(reason));
    }

    private void onRequest(RelayRequest request) {
        state = State.RUNNING;
        long deadlineMillis = server.clock().nowMillis() + request.getRemainingMillis();
        runGuarded(() -> server.target()
                .run(
                        this,
                        RelayCodec.decodeRequest(request),
                        RelayCodec.decodeBytes(request.getBody()),
                        deadlineMillis));
    }

    /** Runs an action of the request. If it fails, the request gets an error and others are not affected. */
    private void runGuarded(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            server.reporter().reportException(e, server.clock().nowMillis());
            if (activeRequest.isPresent()) {
                activeRequest.get().onInternalError(e);
            } else if (state == State.RUNNING) {
                sendError(ErrorKind.UPSTREAM_FAILED, 0);
            }
        }
    }

    @Override
    public void attach(ActiveRequest request) {
        activeRequest = Optional.of(request);
    }

    /** Closes the connection if the peer has gone silent, otherwise applies the timeouts of the request. */
    void tick(long nowMillis) {
        if (keepAlive.isSilent()) {
            channel.close();
            return;
        }
        keepAlive.sendIfDue(channel);
        activeRequest.ifPresent(request -> runGuarded(() -> request.tick(nowMillis)));
    }

    void shutDown(long nowMillis) {
        if (activeRequest.isPresent()) {
            runGuarded(() -> activeRequest.get().onShutdown(nowMillis));
        } else if (state == State.ACCEPTED) {
            refuse(RelayRefusalReason.RELAY_REFUSAL_REASON_STOPPING);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (channel.isWritable()) {
            activeRequest.ifPresent(request -> runGuarded(request::onCallerWritable));
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        Optional<ActiveRequest> abandoned = activeRequest;
        end();
        server.onClosed(this);
        abandoned.ifPresent(ActiveRequest::onCallerDisconnected);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        channel.close();
    }

    @Override
    public void sendResponse(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {
        requireState(State.RUNNING);
        end();
        send(RelayFrame.newBuilder()
                .setResponse(RelayResponse.newBuilder()
                        .setHead(RelayCodec.encodeHead(status, headers))
                        .setBody(RelayCodec.encodeBytes(body)))
                .build());
    }

    @Override
    public void sendError(ErrorKind kind, long retryAfterMillis) {
        requireState(State.RUNNING);
        if (kind == ErrorKind.STOPPING) {
            refuse(RelayRefusalReason.RELAY_REFUSAL_REASON_STOPPING);
            return;
        }
        end();
        send(RelayFrame.newBuilder()
                .setError(RelayError.newBuilder().setKind(kind.label()).setRetryAfterMillis(retryAfterMillis))
                .build());
    }

    @Override
    public void startStream(HttpResponseStatus status, HttpHeaders headers) {
        requireState(State.RUNNING);
        state = State.STREAMING;
        send(RelayFrame.newBuilder()
                .setStreamStart(RelayStreamStart.newBuilder().setHead(RelayCodec.encodeHead(status, headers)))
                .build());
    }

    @Override
    public void addStreamData(ByteBuf bytes) {
        requireState(State.STREAMING);
        unsentStreamData = unsentStreamData.concat(RelayCodec.encodeBytes(bytes));
    }

    @Override
    public boolean flushStream() {
        requireState(State.STREAMING);
        ByteString data = unsentStreamData;
        unsentStreamData = ByteString.EMPTY;
        for (int start = 0; start < data.size(); start += MAX_DATA_BYTES) {
            int end = Math.min(data.size(), start + MAX_DATA_BYTES);
            send(RelayFrame.newBuilder()
                    .setStreamData(data.substring(start, end))
                    .build());
        }
        return channel.isWritable();
    }

    @Override
    public void endStream() {
        flushStream();
        endStream(false);
    }

    @Override
    public void abort() {
        if (!isBusy()) {
            return;
        }
        if (state == State.STREAMING) {
            flushStream();
        }
        endStream(true);
    }

    private void endStream(boolean aborted) {
        end();
        send(RelayFrame.newBuilder()
                .setStreamEnd(RelayStreamEnd.newBuilder().setAborted(aborted))
                .build());
    }

    /** Aborts the response instead of sending a part that does not fit what has been sent before. */
    private void requireState(State expected) {
        if (state != expected) {
            State actual = state;
            if (isBusy()) {
                abort();
            }
            throw new IllegalStateException("state must be " + expected + " but was " + actual);
        }
    }

    private void end() {
        if (isBusy()) {
            server.release(reservedBytes);
        }
        state = State.ENDED;
        activeRequest = Optional.empty();
    }

    private void send(RelayFrame frame) {
        channel.writeAndFlush(frame);
    }
}
