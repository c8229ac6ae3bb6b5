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

/** Accepts connections from callers and starts an exchange for each admitted request. */
public final class CallerServer {
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
     * Sets up a new connection.
     *
     * @param channel the connection
     */
    void accept(SocketChannel channel) {
        ClientLimits limits = limits();
        channel.pipeline()
                .addLast(new StrictRequestDecoder(limits.maxHeaderBytes()))
                .addLast(new HttpResponseEncoder())
                .addLast(new CallerChannelHandler(this, limits));
    }

    /** Returns the limits of the active configuration. */
    ClientLimits limits() {
        return gateway.configuration().map(GatewayConfiguration::limits).orElse(ClientLimits.DEFAULT);
    }

    /**
     * Starts draining: from now on connections are closed after each response.
     *
     * @param nowMillis the current time in milliseconds
     */
    void drain(long nowMillis) {
        drainStartMillis = Math.min(drainStartMillis, nowMillis);
    }

    /**
     * Returns whether the server is draining.
     *
     * @return true after {@link #drain} was called
     */
    boolean isDraining() {
        return drainStartMillis != Long.MAX_VALUE;
    }

    /**
     * Ends all requests in progress with a response and closes their connections, because the gateway is about to stop.
     *
     * @param nowMillis the current time in milliseconds
     */
    void shutDown(long nowMillis) {
        for (CallerChannelHandler connection : new ArrayList<>(connections)) {
            connection.shutDown(nowMillis);
        }
    }

    /**
     * Returns the number of requests in progress.
     *
     * @return the number of requests
     */
    int activeRequests() {
        return (int) connections.stream().filter(CallerChannelHandler::isBusy).count();
    }

    /**
     * Applies the timeouts of connections and requests.
     *
     * @param nowMillis the current time in milliseconds
     * @param idleDeadlineMillis the time in milliseconds since which idle connections must have been used to stay open
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

    /**
     * Records an exception on a caller's connection.
     *
     * @param cause the exception
     * @param request the header of the request in progress, or null if there is none
     */
    void recordConnectionFailure(Throwable cause, HttpRequest request) {
        gateway.metrics().recordConnectionFailure(cause.getClass().getSimpleName());
        if (request != null) {
            gateway.logConnectionFailure(cause, request);
        }
    }

    void recordClosedConnection(CloseReason reason) {
        gateway.metrics().recordClosedConnection(reason.label());
    }

    long nowMillis() {
        return gateway.nowMillis();
    }

    /** Returns whether callers are better served by other gateways, so that their connections are to be closed. */
    boolean leadsCallersAway() {
        return gateway.links().leadsCallersAway();
    }

    /** Returns whether the event loop is lagging, so that requests read now may have been waiting for long. */
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
        if (!gateway.accepts(decision.get(), now)) {
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
