package org.lovagethread.gateway.relay;

import io.netty.bootstrap.Bootstrap;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntFunction;
import java.util.function.Supplier;
import org.lovagethread.gateway.exchange.CallerConnection;

/**
 * Passes requests of callers to peers.
 *
 * <p>There is no queue: a request that finds no peer with room for it is refused at once. Not thread-safe: used on the
 * gateway's event loop only.
 */
public final class RelayClient {
    private final IntFunction<Bootstrap> bootstraps;
    private final RelayTimeouts timeouts;
    private final RelayClock clock;
    private final Supplier<List<RelayPeer>> peers;
    private final RelayPeerSelector selector;
    private final RelayReporter reporter;

    /**
     * Creates a client.
     *
     * @param bootstraps creates bootstraps of connections that are reset when they are closed, from the maximum time for
     *     establishing a connection in milliseconds
     * @param timeouts the timeouts
     * @param clock the clock
     * @param peers returns the peers that may have links to upstreams
     * @param selector selects the peer of a request
     * @param reporter reports requests that have ended
     */
    public RelayClient(
            IntFunction<Bootstrap> bootstraps,
            RelayTimeouts timeouts,
            RelayClock clock,
            Supplier<List<RelayPeer>> peers,
            RelayPeerSelector selector,
            RelayReporter reporter) {
        this.bootstraps = bootstraps;
        this.timeouts = timeouts;
        this.clock = clock;
        this.peers = peers;
        this.selector = selector;
        this.reporter = reporter;
    }

    /**
     * Returns whether there is a peer that a request can be offered to.
     *
     * @return true if a peer may have links to upstreams and has room for a request
     */
    public boolean hasPeer() {
        return selectPeer(Set.of()).isPresent();
    }

    /**
     * Passes a request to a peer, or refuses it at once if there is none.
     *
     * @param caller receives the response
     * @param request the request
     */
    public void relay(CallerConnection caller, RelayedRequest request) {
        Relay relay = new Relay(this, caller, request);
        caller.attach(relay);
        relay.offer();
    }

    Optional<RelayPeer> selectPeer(Set<InetSocketAddress> tried) {
        return selector.select(peers.get(), tried);
    }

    Bootstrap createBootstrap() {
        return bootstraps.apply((int) Math.max(1, timeouts.handshakeMillis()));
    }

    RelayPeerSelector selector() {
        return selector;
    }

    RelayTimeouts timeouts() {
        return timeouts;
    }

    RelayClock clock() {
        return clock;
    }

    RelayReporter reporter() {
        return reporter;
    }
}
