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
public final class FrontServer {
    /** Time after the request to stop for which streams are still begun, in milliseconds. */
    private static final long STREAMS_ACCEPTED_MILLIS = 2_700;

    private static final Refusal STOPPING = new Refusal(ErrorKind.STOPPING, 20);

    private final Gateway gateway;
    private final Intake intake;
    private final Set<FrontHandler> connections = new LinkedHashSet<>();
    private long drainedMillis = Long.MAX_VALUE;

    FrontServer(Gateway gateway, Intake intake) {
        this.gateway = gateway;
        this.intake = intake;
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
                .addLast(new FrontHandler(this, limits));
    }

    /**
     * Asks callers to leave: answers close their connections from now on.
     *
     * @param nowMillis the present time in milliseconds
     */
    void drain(long nowMillis) {
        drainedMillis = Math.min(drainedMillis, nowMillis);
    }

    /**
     * Tells whether callers are asked to leave.
     *
     * @return true after {@link #drain}
     */
    boolean draining() {
        return drainedMillis != Long.MAX_VALUE;
    }

    /**
     * Returns the number of requests that are being read or answered.
     *
     * @return the number of requests
     */
    int busy() {
        return (int) connections.stream().filter(FrontHandler::busy).count();
    }

    /**
     * Ends what has taken too long.
     *
     * @param nowMillis the present time in milliseconds
     * @param idleDeadlineMillis idle connections that were last used before this time are closed as well
     */
    void tick(long nowMillis, long idleDeadlineMillis) {
        for (FrontHandler connection : new ArrayList<>(connections)) {
            connection.tick(nowMillis, idleDeadlineMillis);
        }
    }

    void opened(FrontHandler connection) {
        connections.add(connection);
    }

    void closed(FrontHandler connection) {
        connections.remove(connection);
    }

    void connectionFailed(Throwable cause) {
        gateway.metrics().recordConnectionFailure(cause.getClass().getSimpleName());
    }

    long nowMillis() {
        return gateway.nowMillis();
    }

    /** Tells whether a request that is read now may have waited for long. */
    boolean late() {
        return gateway.late();
    }

    void received(FrontHandler connection, HttpRequest request, ByteBuf body) {
        long now = gateway.nowMillis();
        Optional<GatewayConfiguration> configuration = gateway.configuration();
        Either<Refusal, AdmittedRequest> decision =
                intake.decide(configuration, request, body, gateway.silentShare(), now);
        if (decision.isLeft()) {
            Refusal refusal = decision.getLeft();
            gateway.refused(
                    request,
                    refusal,
                    configuration.map(GatewayConfiguration::version).orElse(-1L));
            connection.refuse(refusal.kind(), refusal.retryAfterMillis());
            return;
        }
        if (decision.get().route().streaming() && now - drainedMillis > STREAMS_ACCEPTED_MILLIS) {
            gateway.refund(decision.get());
            gateway.refused(
                    request,
                    STOPPING,
                    configuration.map(GatewayConfiguration::version).orElse(-1L));
            connection.refuse(STOPPING.kind(), STOPPING.retryAfterMillis());
            return;
        }
        Exchange exchange = new Exchange(gateway, connection, decision.get(), now);
        connection.carry(exchange);
        exchange.start();
    }
}
