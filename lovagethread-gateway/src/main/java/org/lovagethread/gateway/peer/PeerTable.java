package org.lovagethread.gateway.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lovagethread.wire.generated.GatewayState;

/** Keeps the last word of each other gateway. Used by one thread. */
public final class PeerTable {
    /** Age from which a peer counts as not heard, in milliseconds. */
    public static final long SILENT_MILLIS = 900;

    /** Age from which a peer that is not heard counts as gone for good, in milliseconds. */
    public static final long GONE_MILLIS = 25_000;

    private final Map<String, Peer> byHost = new LinkedHashMap<>();
    private final Map<String, Long> candidates = new HashMap<>();
    private final String selfHost;

    /**
     * A peer as it was last heard.
     *
     * @param state its last word
     * @param heardMillis when it came, in milliseconds of this gateway's steady clock
     */
    public record Peer(GatewayState state, long heardMillis) {
        /**
         * Tells whether the peer was lately heard.
         *
         * @param nowMillis the present time in milliseconds
         * @return true if it is taken to be alive and reachable
         */
        public boolean live(long nowMillis) {
            return nowMillis - heardMillis < SILENT_MILLIS;
        }

        /**
         * Returns the name of the process.
         *
         * @return the peer's name with its incarnation
         */
        public String process() {
            return state.getNode() + '#' + state.getIncarnation();
        }
    }

    /**
     * Creates a table.
     *
     * @param selfHost the IP address of this gateway, which is never a peer
     */
    public PeerTable(String selfHost) {
        this.selfHost = selfHost;
    }

    /**
     * Adds an address at which a gateway may be.
     *
     * @param host the IP address
     * @param nowMillis the present time in milliseconds
     */
    public void candidate(String host, long nowMillis) {
        if (!host.equals(selfHost) && !host.isEmpty()) {
            candidates.put(host, nowMillis);
        }
    }

    /**
     * Takes the word of a peer.
     *
     * @param state the word
     * @param nowMillis the present time in milliseconds
     * @return true if it is newer than what was known
     */
    public boolean heard(GatewayState state, long nowMillis) {
        String host = state.getHost();
        if (host.equals(selfHost)) {
            return false;
        }
        Peer known = byHost.get(host);
        if (known != null && !newer(state, known.state())) {
            return false;
        }
        byHost.put(host, new Peer(state, nowMillis));
        candidate(host, nowMillis);
        for (String other : state.getHeardHostsList()) {
            if (!other.equals(selfHost)) {
                candidates.putIfAbsent(other, nowMillis);
            }
        }
        return true;
    }

    /**
     * Forgets peers that have been silent for long.
     *
     * @param nowMillis the present time in milliseconds
     */
    public void expire(long nowMillis) {
        byHost.values().removeIf(peer -> nowMillis - peer.heardMillis() > GONE_MILLIS);
        candidates.values().removeIf(sinceMillis -> nowMillis - sinceMillis > GONE_MILLIS);
    }

    /**
     * Returns the addresses to which state is sent.
     *
     * @return IP addresses
     */
    public Set<String> hosts() {
        Set<String> hosts = new LinkedHashSet<>(candidates.keySet());
        hosts.addAll(byHost.keySet());
        return hosts;
    }

    /**
     * Returns the peers that are alive and reachable.
     *
     * @param nowMillis the present time in milliseconds
     * @return the peers
     */
    public List<Peer> live(long nowMillis) {
        List<Peer> live = new ArrayList<>();
        for (Peer peer : byHost.values()) {
            if (peer.live(nowMillis)) {
                live.add(peer);
            }
        }
        return live;
    }

    /**
     * Returns all peers that are not known to be gone for good.
     *
     * @return the peers
     */
    public Collection<Peer> all() {
        return byHost.values();
    }

    /**
     * Returns the number of gateways, with this one, that may be at work.
     *
     * @return the number of gateways; at least one
     */
    public int size() {
        Set<String> hosts = new HashSet<>(byHost.keySet());
        hosts.addAll(candidates.keySet());
        return hosts.size() + 1;
    }

    /**
     * Returns the part of all gateways that may be at work but is not heard.
     *
     * @param nowMillis the present time in milliseconds
     * @return a share from zero to one
     */
    public double silentShare(long nowMillis) {
        long silent = byHost.values().stream()
                .filter(peer -> !peer.live(nowMillis) && !peer.state().getStopping())
                .count();
        return (double) silent / size();
    }

    private static boolean newer(GatewayState state, GatewayState known) {
        if (state.getIncarnation() != known.getIncarnation()) {
            return state.getIncarnation() > known.getIncarnation();
        }
        return state.getSequence() > known.getSequence();
    }
}
