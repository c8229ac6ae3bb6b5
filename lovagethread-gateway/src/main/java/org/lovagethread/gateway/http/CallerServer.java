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
import org.lovagethread.gateway.exchange.CallerConnection;
import org.lovagethread.gateway.relay.RelayedRequest;

/** Accepts connections from callers and starts an exchange for each admitted request. */
public final class CallerServer {
    private static final Refusal STOPPING = new Refusal(ErrorKind.STOPPING, 20);

    private final Gateway gateway;
    private final RequestRouter router;
    private final RelayService relays;
    private final ConnectionFailureReporter failures;
    private final Set<CallerChannelHandler> connections = new LinkedHashSet<>();
    private long drainStartMillis = Long.MAX_VALUE;

    CallerServer(Gateway gateway, RequestRouter router, RelayService relays) {
        this.gateway = gateway;
        this.router = router;
        this.relays = relays;
        this.failures = new ConnectionFailureReporter(gateway.log(), gateway.metrics(), gateway.headerCodec());
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
        relays.server().shutDown(nowMillis);
    }

    /**
     * Returns the number of requests in progress, including those of peers.
     *
     * @return the number of requests
     */
    int activeRequests() {
        int ofCallers =
                (int) connections.stream().filter(CallerChannelHandler::isBusy).count();
        return ofCallers + relays.server().activeRequests();
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
        relays.server().tick(nowMillis);
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
        failures.report(cause, request, gateway.nowMillis());
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

    /**
     * Processes a request of a caller: passes it to a peer as a whole while this gateway is isolated, otherwise runs it.
     *
     * @param connection the connection of the caller
     * @param request the request header
     * @param body the complete request body
     */
    void onRequest(CallerConnection connection, HttpRequest request, ByteBuf body) {
        Optional<RequestRouter.RouteTimeout> timeout =
                relays.isIsolated() ? router.timeout(gateway.configuration(), request) : Optional.empty();
        if (timeout.isPresent()) {
            relay(connection, request, body, timeout.get());
        } else {
            admit(connection, request, body)
                    .ifPresent(admitted -> start(connection, admitted, relays.fallback(connection, admitted)));
        }
    }

    /**
     * Runs a request of an isolated peer, which is not passed on again.
     *
     * @param connection the connection of the peer
     * @param request the request header
     * @param body the complete request body
     * @param deadlineMillis the time at which the response must be complete, in milliseconds
     */
    void runForPeer(CallerConnection connection, HttpRequest request, ByteBuf body, long deadlineMillis) {
        admit(connection, request, body)
                .map(admitted -> admitted.withTimeout(deadlineMillis - gateway.nowMillis()))
                .ifPresent(admitted -> start(connection, admitted, RelayFallback.NONE));
    }

    private void relay(
            CallerConnection connection, HttpRequest request, ByteBuf body, RequestRouter.RouteTimeout timeout) {
        long now = gateway.nowMillis();
        if (gateway.accepts(timeout.route(), timeout.millis(), now)) {
            String id = gateway.headerCodec().readAttributes(request).requestId();
            relays.relay(connection, new RelayedRequest(id, request, body, now + timeout.millis()));
        } else {
            refuse(connection, request, STOPPING);
        }
    }

    /** Admits a request and charges the quota of its customer, or refuses it. */
    private Optional<AdmittedRequest> admit(CallerConnection connection, HttpRequest request, ByteBuf body) {
        long now = gateway.nowMillis();
        Either<Refusal, AdmittedRequest> decision =
                router.route(gateway.configuration(), request, body, gateway.unreachableShare(), now);
        if (decision.isLeft()) {
            refuse(connection, request, decision.getLeft());
            return Optional.empty();
        }
        AdmittedRequest admitted = decision.get();
        if (!gateway.accepts(admitted.route(), admitted.timeoutMillis(), now)) {
            gateway.refundQuota(admitted);
            refuse(connection, request, STOPPING);
            return Optional.empty();
        }
        return Optional.of(admitted);
    }

    private void refuse(CallerConnection connection, HttpRequest request, Refusal refusal) {
        gateway.recordRefusal(
                request,
                refusal,
                gateway.configuration().map(GatewayConfiguration::version).orElse(-1L));
        connection.sendError(refusal.kind(), refusal.retryAfterMillis());
    }

    private void start(CallerConnection connection, AdmittedRequest admitted, RelayFallback fallback) {
        Exchange exchange = new Exchange(gateway, connection, admitted, fallback, gateway.nowMillis());
        connection.attach(exchange);
        exchange.start();
    }
}
