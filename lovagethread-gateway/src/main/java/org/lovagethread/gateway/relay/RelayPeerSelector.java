package org.lovagethread.gateway.relay;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;

/**
 * Selects the peer that runs a request: one that has reached an upstream, in the nearest zone, and the less busy of two
 * that are chosen at random.
 */
public final class RelayPeerSelector {
    /** Maximum number of requests in progress at one peer. */
    static final int MAX_REQUESTS_PER_PEER = 256;

    private static final Comparator<RelayPeer> BY_PREFERENCE =
            Comparator.comparing((RelayPeer peer) -> !peer.reachedUpstream()).thenComparing(RelayPeer::distance);

    private final DoubleSupplier random;
    private final Map<InetSocketAddress, Integer> requestsByPeer = new HashMap<>();

    /**
     * Creates a selector.
     *
     * @param random a source of random numbers from 0 inclusive to 1 exclusive
     */
    public RelayPeerSelector(DoubleSupplier random) {
        this.random = random;
    }

    /**
     * Selects a peer.
     *
     * @param peers the peers
     * @param tried the addresses of peers that must not be selected
     * @return the selected peer; empty if there is none with room for a request
     */
    Optional<RelayPeer> select(List<RelayPeer> peers, Set<InetSocketAddress> tried) {
        List<RelayPeer> free = peers.stream()
                .filter(peer -> !tried.contains(peer.address()))
                .filter(peer -> requests(peer) < MAX_REQUESTS_PER_PEER)
                .toList();
        return free.stream().min(BY_PREFERENCE).map(best -> lessBusyOfTwo(preferredLike(best, free)));
    }

    /** Records that a request is offered to a peer. */
    void recordStart(InetSocketAddress peer) {
        requestsByPeer.merge(peer, 1, Integer::sum);
    }

    /** Records that a request at a peer has ended. */
    void recordEnd(InetSocketAddress peer) {
        requestsByPeer.computeIfPresent(peer, (address, count) -> count > 1 ? count - 1 : null);
    }

    private static List<RelayPeer> preferredLike(RelayPeer best, List<RelayPeer> peers) {
        return peers.stream()
                .filter(peer -> BY_PREFERENCE.compare(peer, best) == 0)
                .toList();
    }

    private RelayPeer lessBusyOfTwo(List<RelayPeer> peers) {
        List<RelayPeer> others = new ArrayList<>(peers);
        RelayPeer first = removeRandom(others);
        if (others.isEmpty()) {
            return first;
        }
        RelayPeer second = removeRandom(others);
        return busyness(second) < busyness(first) ? second : first;
    }

    private RelayPeer removeRandom(List<RelayPeer> peers) {
        return peers.remove((int) (random.getAsDouble() * peers.size()));
    }

    /** Returns the number of requests that a peer runs, where what it has said may not contain the latest of ours. */
    private int busyness(RelayPeer peer) {
        return Math.max(peer.relayedRequests(), requests(peer));
    }

    private int requests(RelayPeer peer) {
        return requestsByPeer.getOrDefault(peer.address(), 0);
    }
}
