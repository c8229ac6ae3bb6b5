package org.lovagethread.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import org.lovagethread.core.error.ErrorKind;
import org.lovagethread.gateway.config.ClientLimits;
import org.lovagethread.gateway.config.GatewayConfiguration;

/** Accepts connections of callers and starts an exchange for each request. */
public final class CallerServer {
    /** Time after the request to stop for which streams are still begun, in milliseconds. */
    private static final long STREAM_ACCEPT_MILLIS = 2_700;

    private static final Refusal STOPPING = new Refusal(ErrorKind.STOPPING, 20);

    private final Gateway gateway;
    private final RequestRouter router;
    private final Set<CallerChannelHandler> connections = new LinkedHashSet<>();
    private long drainStartMillis = Long.MAX_VALUE;

    CallerServer(Gateway gateway, RequestRouter router) {
        this.gateway = gateway;
        this.router = router;
    }

    /**
     * Prepares a new connection.
     *
     * @param channel the connection
     */
    void accept(SocketChannel channel) {
        ClientLimits limits =
                gateway.configuration().map(GatewayConfiguration::limits).orElse(ClientLimits.DEFAULT);
        channel.pipeline()
                .addLast(new StrictRequestDecoder(limits.headerBytes()))
                .addLast(new HttpResponseEncoder())
                .addLast(new CallerChannelHandler(this, limits));
    }

    /**
     * Asks callers to leave: answers close their connections from now on.
     *
     * @param nowMillis the present time in milliseconds
     */
    void drain(long nowMillis) {
        drainStartMillis = Math.min(drainStartMillis, nowMillis);
    }

    /**
     * Tells whether callers are asked to leave.
     *
     * @return true after {@link #drain}
     */
    boolean isDraining() {
        return drainStartMillis != Long.MAX_VALUE;
    }

    /**
     * Returns the number of requests that are being read or answered.
     *
     * @return the number of requests
     */
    int activeRequests() {
        return (int) connections.stream().filter(CallerChannelHandler::isBusy).count();
    }

    /**
     * Ends what has taken too long.
     *
     * @param nowMillis the present time in milliseconds
     * @param idleDeadlineMillis idle connections that were last used before this time are closed as well
     */
    void tick(long nowMillis, long idleDeadlineMillis) {
        for (CallerChannelHandler connection : new ArrayList<>(connections)) {
            connection.tick(nowMillis, idleDeadlineMillis);
        }
    }

    void onOpened(CallerChannelHandler connection) {
        connections.add(connection);
    }

    void onClosed(CallerChannelHandler connection) {
        connections.remove(connection);
    }

    void recordConnectionFailure(Throwable cause) {
        gateway.metrics().connectionFailed(cause.getClass().getSimpleName());
    }

    long nowMillis() {
        return gateway.nowMillis();
    }

    /** Tells whether a request that is read now may have waited for long. */
    boolean isLagging() {
        return gateway.isLagging();
    }

    void onRequest(CallerChannelHandler connection, HttpRequest request, ByteBuf body) {
        long now = gateway.nowMillis();
        Optional<GatewayConfiguration> configuration = gateway.configuration();
        Either<Refusal, AdmittedRequest> decision =
                router.route(configuration, request, body, gateway.unreachableShare(), now);
        if (decision.isLeft()) {
            Refusal refusal = decision.getLeft();
            gateway.recordRefusal(
                    request,
                    refusal,
                    configuration.map(GatewayConfiguration::version).orElse(-1L));
            connection.sendError(refusal.kind(), refusal.retryAfterMillis());
            return;
        }
        if (decision.get().route().streaming() && now - drainStartMillis > STREAM_ACCEPT_MILLIS) {
            gateway.refundQuota(decision.get());
            gateway.recordRefusal(
                    request,
                    STOPPING,
                    configuration.map(GatewayConfiguration::version).orElse(-1L));
            connection.sendError(STOPPING.kind(), STOPPING.retryAfterMillis());
            return;
        }
        Exchange exchange = new Exchange(gateway, connection, decision.get(), now);
        connection.attach(exchange);
        exchange.start();
    }
}
