package org.lovagethread.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequest;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.lovagethread.gateway.SilenceTimeouts;
import org.lovagethread.gateway.exchange.CallerConnection;
import org.lovagethread.gateway.peer.PeerTable.Peer;
import org.lovagethread.gateway.policy.AddressPolicy.GatewayAddress;
import org.lovagethread.gateway.policy.ZoneTopology;
import org.lovagethread.gateway.relay.RelayClient;
import org.lovagethread.gateway.relay.RelayClock;
import org.lovagethread.gateway.relay.RelayPeer;
import org.lovagethread.gateway.relay.RelayPeerSelector;
import org.lovagethread.gateway.relay.RelayReporter;
import org.lovagethread.gateway.relay.RelayServer;
import org.lovagethread.gateway.relay.RelayTarget;
import org.lovagethread.gateway.relay.RelayTimeouts;
import org.lovagethread.gateway.relay.RelayedRequest;
import org.lovagethread.wire.generated.GatewayState;
import org.lovagethread.wire.generated.LinkState;
import org.lovagethread.wire.generated.RelayRefusalReason;

/** Passes requests of callers to peers while this gateway has no links to upstreams, and runs those of peers. */
final class RelayService implements RelayTarget {
    private final Gateway gateway;
    private final ZoneTopology zones;
    private final SilenceTimeouts timeouts;
    private final RelayClient client;
    private final RelayServer server;
    private BooleanSupplier isolation = () -> false;

    RelayService(Gateway gateway, EventLoop loop, ZoneTopology zones) {
        this.gateway = gateway;
        this.zones = zones;
        this.timeouts = gateway.settings().bounds().silenceTimeouts();
        RelayTimeouts relayTimeouts = RelayTimeouts.of(timeouts);
        RelayReporter reporter = new RelayReporter(gateway.log(), gateway.metrics());
        RelayClock clock = new GatewayClock(gateway);
        this.client = new RelayClient(
                connectTimeoutMillis -> ClientBootstrap.create(loop, connectTimeoutMillis),
                relayTimeouts,
                clock,
                this::peers,
                new RelayPeerSelector(Math::random),
                reporter);
        this.server = new RelayServer(this, relayTimeouts, clock, reporter);
    }

    private record GatewayClock(Gateway gateway) implements RelayClock {
        @Override
        public long nowMillis() {
            return gateway.nowMillis();
        }

        @Override
        public long observedMillis() {
            return gateway.observedMillis();
        }
    }

    /**
     * Sets what decides whether this gateway has lost its links to all upstreams.
     *
     * @param isIsolated returns whether it has, although others have links
     */
    void followIsolation(BooleanSupplier isIsolated) {
        isolation = isIsolated;
    }

    /** Returns whether requests of callers have to be passed to peers. */
    boolean isIsolated() {
        return isolation.getAsBoolean();
    }

    /** Returns the server for requests of peers. */
    RelayServer server() {
        return server;
    }

    /** Passes a request to a peer, or refuses it at once if none has links to upstreams. */
    void relay(CallerConnection caller, RelayedRequest request) {
        client.relay(caller, request);
    }

    /** Returns what passes on a request that could not be sent to any upstream. */
    RelayFallback fallback(CallerConnection caller, AdmittedRequest admitted) {
        return (noConnections, deadlineMillis) -> {
            if (!(noConnections || isIsolated()) || !client.hasPeer()) {
                return false;
            }
            client.relay(
                    caller,
                    new RelayedRequest(
                            admitted.attributes().requestId(), admitted.request(), admitted.body(), deadlineMillis));
            return true;
        };
    }

    @Override
    public Optional<RelayRefusalReason> refusal() {
        if (isIsolated()) {
            return Optional.of(RelayRefusalReason.RELAY_REFUSAL_REASON_ISOLATED);
        }
        if (gateway.callerServer().isDraining()) {
            return Optional.of(RelayRefusalReason.RELAY_REFUSAL_REASON_STOPPING);
        }
        return gateway.isReady() ? Optional.empty() : Optional.of(RelayRefusalReason.RELAY_REFUSAL_REASON_NOT_READY);
    }

    @Override
    public int maxBodyBytes() {
        return gateway.callerServer().limits().maxBodyBytes();
    }

    @Override
    public void run(CallerConnection caller, HttpRequest header, ByteBuf body, long deadlineMillis) {
        gateway.callerServer().runForPeer(caller, header, body, deadlineMillis);
    }

    private List<RelayPeer> peers() {
        long nowMillis = gateway.nowMillis();
        List<RelayPeer> found = new ArrayList<>();
        for (Peer peer : gateway.peers().livePeers(nowMillis)) {
            GatewayState state = peer.state();
            if (state.getReady() && !state.getStopping() && !state.getLinks().getIsolated()) {
                found.add(new RelayPeer(
                        address(state.getHost()),
                        zones.distance(state.getZone()),
                        hasReachedUpstreamLately(state.getLinks()),
                        state.getLinks().getRelayedRequests()));
            }
        }
        for (GatewayAddress address : gateway.readyGatewaysInOtherCells()) {
            found.add(new RelayPeer(address(address.host()), zones.distance(address.zone()), false, 0));
        }
        return found;
    }

    private boolean hasReachedUpstreamLately(LinkState links) {
        return links.hasReachedAgeMillis() && links.getReachedAgeMillis() < timeouts.contactMillis();
    }

    private InetSocketAddress address(String host) {
        return new InetSocketAddress(host, gateway.settings().peerPort());
    }
}
