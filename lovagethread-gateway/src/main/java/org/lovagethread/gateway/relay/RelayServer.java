package org.lovagethread.gateway.relay;

import io.netty.channel.ChannelPipeline;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import org.lovagethread.wire.generated.RelayOffer;
import org.lovagethread.wire.generated.RelayRefusalReason;

/** Accepts requests of peers that have no links to upstreams. Used on the gateway's event loop only. */
public final class RelayServer {
    /** First bytes on a relay connection; no request line of HTTP begins with the same. */
    public static final int PREFACE = 0x004C_5401;

    /** Maximum number of requests in progress. */
    private static final int MAX_REQUESTS = 1_024;

    /** Maximum number of connections, some of which may not have offered a request yet. */
    private static final int MAX_CONNECTIONS = 2 * MAX_REQUESTS;

    /** Fraction of the heap for the bodies of requests in progress, as a divisor. */
    private static final long HEAP_PER_BODIES = 16;

    /** Maximum size of a frame in addition to a request body: that of the request header. */
    private static final int MAX_HEADER_BYTES = 256 * 1024;

    /** The number of gateways that a request that is accepted has passed through. */
    private static final int MAX_HOPS = 1;

    private final RelayTarget target;
    private final RelayTimeouts timeouts;
    private final RelayClock clock;
    private final RelayReporter reporter;
    private final long maxReservedBytes = Runtime.getRuntime().maxMemory() / HEAP_PER_BODIES;
    private final Set<RelayedConnection> connections = new LinkedHashSet<>();
    private long reservedBytes;

    /**
     * Creates a server.
     *
     * @param target runs the requests
     * @param timeouts the timeouts
     * @param clock the clock
     * @param reporter reports requests that are refused
     */
    public RelayServer(RelayTarget target, RelayTimeouts timeouts, RelayClock clock, RelayReporter reporter) {
        this.target = target;
        this.timeouts = timeouts;
        this.clock = clock;
        this.reporter = reporter;
    }

    /**
     * Sets up a new connection, on which the preface has been received.
     *
     * @param pipeline the pipeline of the connection
     */
    public void accept(ChannelPipeline pipeline) {
        if (connections.size() >= MAX_CONNECTIONS) {
            pipeline.channel().close();
            return;
        }
        int maxBodyBytes = target.maxBodyBytes();
        RelayKeepAlive keepAlive = new RelayKeepAlive(timeouts, clock);
        pipeline.addLast(keepAlive);
        RelayCodec.addTo(pipeline, maxBodyBytes + MAX_HEADER_BYTES);
        pipeline.addLast(new RelayedConnection(this, keepAlive, maxBodyBytes));
    }

    /**
     * Returns the number of requests of peers in progress, including those that have been accepted but not received.
     *
     * @return the number of requests
     */
    public int activeRequests() {
        return (int) connections.stream().filter(RelayedConnection::isBusy).count();
    }

    /**
     * Applies the timeouts of connections and requests.
     *
     * @param nowMillis the current time in milliseconds
     */
    public void tick(long nowMillis) {
        new ArrayList<>(connections).forEach(connection -> connection.tick(nowMillis));
    }

    /**
     * Ends all requests in progress, because the gateway is about to stop.
     *
     * @param nowMillis the current time in milliseconds
     */
    public void shutDown(long nowMillis) {
        new ArrayList<>(connections).forEach(connection -> connection.shutDown(nowMillis));
    }

    /** Reserves room for a request, or returns the reason for which it is refused. */
    Optional<RelayRefusalReason> reserve(RelayOffer offer, int maxBodyBytes) {
        Optional<RelayRefusalReason> refusal = refusal(offer, maxBodyBytes);
        if (refusal.isEmpty()) {
            reservedBytes += offer.getBodyBytes();
        }
        refusal.ifPresent(reporter::countRefusal);
        return refusal;
    }

    /** Frees the room for a request that has ended. */
    void release(long bodyBytes) {
        reservedBytes -= bodyBytes;
    }

    private Optional<RelayRefusalReason> refusal(RelayOffer offer, int maxBodyBytes) {
        if (offer.getHops() > MAX_HOPS) {
            return Optional.of(RelayRefusalReason.RELAY_REFUSAL_REASON_TOO_MANY_HOPS);
        }
        if (offer.getBodyBytes() < 0 || offer.getBodyBytes() > maxBodyBytes) {
            return Optional.of(RelayRefusalReason.RELAY_REFUSAL_REASON_BODY_TOO_LARGE);
        }
        if (activeRequests() >= MAX_REQUESTS || reservedBytes + offer.getBodyBytes() > maxReservedBytes) {
            return Optional.of(RelayRefusalReason.RELAY_REFUSAL_REASON_FULL);
        }
        return target.refusal();
    }

    void onOpened(RelayedConnection connection) {
        connections.add(connection);
    }

    void onClosed(RelayedConnection connection) {
        connections.remove(connection);
    }

    RelayTarget target() {
        return target;
    }

    RelayReporter reporter() {
        return reporter;
    }

    RelayClock clock() {
        return clock;
    }
}
