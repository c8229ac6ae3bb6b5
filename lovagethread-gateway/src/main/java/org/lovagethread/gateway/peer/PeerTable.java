package org.lovagethread.gateway.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lovagethread.wire.generated.GatewayState;

/**
 * Stores the latest state received from each other gateway. Not thread-safe.
 *
 * <p>Up to {@link #MAX_MESH_GATEWAYS} gateways form a full mesh, in which each gateway sends its state to all others.
 * Larger numbers are divided into cells, one for each availability zone: a gateway then exchanges its state only within
 * its cell, and receives summaries of the other cells.
 */
public final class PeerTable {
    /** Age of its latest state from which a peer counts as unreachable, in milliseconds. */
    public static final long PEER_TIMEOUT_MILLIS = 900;

    /** Age of its latest state beyond which a peer is removed from the table, in milliseconds. */
    public static final long REMOVAL_TIMEOUT_MILLIS = 25_000;

    /** Time for which the receipt of a cell summary keeps this gateway in cell mode, in milliseconds. */
    private static final long CELL_MODE_TIMEOUT_MILLIS = 5_000;

    /** Maximum number of gateways that form a full mesh. */
    public static final int MAX_MESH_GATEWAYS = 12;

    private static final Comparator<GatewayInstance> BY_DESCENDING_CAPACITY =
            Comparator.comparingInt(GatewayInstance::capacity).reversed().thenComparing(GatewayInstance::host);

    private final Map<String, Peer> peerByHost = new LinkedHashMap<>();
    private final Map<String, GatewayInstance> instances = new LinkedHashMap<>();
    private final GatewayInstance self;
    private boolean usesCells;
    private boolean hasRecentSummary;
    private long summaryExpiryMillis;

    /**
     * An instance on which a gateway is registered, or that a peer has reported.
     *
     * @param host the IP address
     * @param zone the availability zone; an empty string if unknown
     * @param capacity the relative capacity of the instance
     * @param addedMillis when this entry was created, in milliseconds of this gateway's monotonic clock
     */
    public record GatewayInstance(String host, String zone, int capacity, long addedMillis) {}

    /**
     * A peer with its latest state.
     *
     * @param state the latest state received from the peer
     * @param receivedMillis when the state was received, in milliseconds of this gateway's monotonic clock
     */
    public record Peer(GatewayState state, long receivedMillis) {
        /**
         * Returns whether the latest state is recent enough for the peer to count as live.
         *
         * @param nowMillis the current time in milliseconds
         * @return true if the peer is assumed to be running and reachable
         */
        public boolean isLive(long nowMillis) {
            return nowMillis - receivedMillis < PEER_TIMEOUT_MILLIS;
        }
    }

    /**
     * Creates a table.
     *
     * @param host the IP address of this gateway, which is never added as a peer
     * @param zone the availability zone of this gateway
     * @param capacity the relative capacity of this instance
     */
    public PeerTable(String host, String zone, int capacity) {
        this.self = new GatewayInstance(host, zone, capacity, 0);
    }

    /**
     * Adds an instance on which a gateway may be running.
     *
     * @param instance the instance; ignored if its zone is unknown and the table already contains its address
     */
    public void add(GatewayInstance instance) {
        if (instance.host().isEmpty() || instance.host().equals(self.host())) {
            return;
        }
        GatewayInstance existing = instances.get(instance.host());
        if (existing == null || !instance.zone().isEmpty()) {
            instances.put(instance.host(), instance);
            updateCellMode();
        }
    }

    /**
     * Removes an instance on which no gateway is registered any more, and the state of its gateway.
     *
     * @param host the IP address
     */
    public void remove(String host) {
        instances.remove(host);
        peerByHost.remove(host);
        updateCellMode();
    }

    /**
     * Updates the table with a state received from a peer.
     *
     * @param state the state
     * @param nowMillis the current time in milliseconds
     * @return true if the state was stored: it is newer than the stored one and its sender is not in another cell
     */
    public boolean update(GatewayState state, long nowMillis) {
        String host = state.getHost();
        if (host.equals(self.host())) {
            return false;
        }
        add(new GatewayInstance(host, state.getZone(), state.getCapacity(), nowMillis));
        state.getHeardHostsList().forEach(heardHost -> add(new GatewayInstance(heardHost, "", 0, nowMillis)));
        if (usesCells() && !state.getZone().equals(self.zone())) {
            peerByHost.remove(host);
            return false;
        }
        Peer stored = peerByHost.get(host);
        if (stored != null && !isNewer(state, stored.state())) {
            return false;
        }
        peerByHost.put(host, new Peer(state, nowMillis));
        updateCellMode();
        return true;
    }

    /**
     * Records the receipt of a cell summary and switches to cell mode.
     *
     * <p>A summary shows that the gateways have been divided into cells, even if this table contains only a few.
     *
     * @param nowMillis the current time in milliseconds
     */
    public void recordCellSummary(long nowMillis) {
        summaryExpiryMillis = nowMillis + CELL_MODE_TIMEOUT_MILLIS;
        if (!hasRecentSummary) {
            hasRecentSummary = true;
            updateCellMode();
        }
    }

    /**
     * Removes the instances whose state has not been received for {@link #REMOVAL_TIMEOUT_MILLIS}.
     *
     * <p>In cell mode, instances in other availability zones are kept, because their state is not sent to this gateway.
     *
     * @param nowMillis the current time in milliseconds
     * @return the IP addresses of the removed instances
     */
    public List<String> expire(long nowMillis) {
        hasRecentSummary = nowMillis < summaryExpiryMillis;
        updateCellMode();
        List<String> expired = new ArrayList<>();
        for (GatewayInstance instance : instances.values()) {
            Peer peer = peerByHost.get(instance.host());
            long lastSeenMillis = peer == null ? instance.addedMillis() : peer.receivedMillis();
            if (isInCell(instance) && nowMillis - lastSeenMillis > REMOVAL_TIMEOUT_MILLIS) {
                expired.add(instance.host());
            }
        }
        expired.forEach(this::remove);
        return expired;
    }

    /**
     * Returns whether the gateways are divided into cells.
     *
     * @return true if state from other availability zones is received only as summaries
     */
    public boolean usesCells() {
        return usesCells;
    }

    /**
     * Returns the addresses to which this gateway sends its state.
     *
     * @return the IP addresses
     */
    public Set<String> targetHosts() {
        Set<String> hosts = new LinkedHashSet<>();
        for (GatewayInstance instance : instances.values()) {
            if (isInCell(instance)) {
                hosts.add(instance.host());
            }
        }
        return hosts;
    }

    /**
     * Returns the instances in an availability zone except this one, by descending capacity.
     *
     * @param zone the availability zone
     * @return the instances
     */
    public List<GatewayInstance> instances(String zone) {
        List<GatewayInstance> found = new ArrayList<>();
        for (GatewayInstance instance : instances.values()) {
            if (instance.zone().equals(zone)) {
                found.add(instance);
            }
        }
        found.sort(BY_DESCENDING_CAPACITY);
        return found;
    }

    /**
     * Returns the rank of this gateway among those of its availability zone, by descending capacity.
     *
     * @return the rank; zero for the gateway with the highest capacity
     */
    public int rank() {
        return (int) instances(self.zone()).stream()
                .filter(instance -> BY_DESCENDING_CAPACITY.compare(instance, self) < 0)
                .count();
    }

    /**
     * Returns the address of the speaker of this cell, the gateway that sends the summaries of the cell.
     *
     * <p>The speaker is the gateway with the highest capacity among those that accept requests and reach the store. If
     * none of them reaches the store, it is the gateway with the highest capacity among those that accept requests.
     *
     * @param selfReady whether this gateway accepts requests
     * @param selfReachesStore whether this gateway can reach the store
     * @param nowMillis the current time in milliseconds
     * @return the IP address; that of this gateway if no gateway of the cell accepts requests
     */
    public String speakerHost(boolean selfReady, boolean selfReachesStore, long nowMillis) {
        List<GatewayInstance> ready = new ArrayList<>();
        List<GatewayInstance> reachingStore = new ArrayList<>();
        if (selfReady) {
            ready.add(self);
            if (selfReachesStore) {
                reachingStore.add(self);
            }
        }
        for (Peer peer : livePeers(nowMillis)) {
            GatewayState state = peer.state();
            if (state.getReady() && !state.getStopping()) {
                GatewayInstance instance =
                        new GatewayInstance(state.getHost(), state.getZone(), state.getCapacity(), nowMillis);
                ready.add(instance);
                if (state.getStoreReachable()) {
                    reachingStore.add(instance);
                }
            }
        }
        List<GatewayInstance> candidates = reachingStore.isEmpty() ? ready : reachingStore;
        return candidates.stream()
                .min(BY_DESCENDING_CAPACITY)
                .map(GatewayInstance::host)
                .orElse(self.host());
    }

    /**
     * Returns the live peers of this cell.
     *
     * @param nowMillis the current time in milliseconds
     * @return the peers
     */
    public List<Peer> livePeers(long nowMillis) {
        List<Peer> live = new ArrayList<>();
        for (Peer peer : peerByHost.values()) {
            if (peer.isLive(nowMillis)) {
                live.add(peer);
            }
        }
        return live;
    }

    /**
     * Returns a peer of this cell.
     *
     * @param host the IP address of the peer
     * @return the peer, or empty if no state of it is stored
     */
    public Optional<Peer> find(String host) {
        return Optional.ofNullable(peerByHost.get(host));
    }

    /**
     * Returns all peers of this cell that have not been removed, including unreachable ones.
     *
     * @return the peers
     */
    public Collection<Peer> allPeers() {
        return peerByHost.values();
    }

    /**
     * Returns the estimated number of running gateways, including this one.
     *
     * <p>The estimate is the maximum of {@link #knownGateways} and the numbers that the peers report.
     *
     * @return the number of gateways; at least one
     */
    public int estimatedGateways() {
        int size = instances.size() + 1;
        for (Peer peer : peerByHost.values()) {
            size = Math.max(size, peer.state().getKnownGateways());
        }
        return size;
    }

    /**
     * Returns the number of gateways in this table, which this gateway reports to its peers.
     *
     * @return the number of gateways, including this one
     */
    public int knownGateways() {
        return instances.size() + 1;
    }

    /**
     * Returns the number of unreachable peers of this cell that may still be running.
     *
     * @param nowMillis the current time in milliseconds
     * @return the number of peers
     */
    public int unreachableCount(long nowMillis) {
        return (int) peerByHost.values().stream()
                .filter(peer -> !peer.isLive(nowMillis) && !peer.state().getStopping())
                .count();
    }

    /** Updates the cell mode. It ends only at half the number of gateways that starts it, which avoids flapping. */
    private void updateCellMode() {
        int gateways = estimatedGateways();
        usesCells = hasRecentSummary || gateways > MAX_MESH_GATEWAYS || (usesCells && gateways > MAX_MESH_GATEWAYS / 2);
    }

    private boolean isInCell(GatewayInstance instance) {
        return !usesCells() || instance.zone().isEmpty() || instance.zone().equals(self.zone());
    }

    private static boolean isNewer(GatewayState state, GatewayState stored) {
        if (state.getIncarnation() != stored.getIncarnation()) {
            return state.getIncarnation() > stored.getIncarnation();
        }
        return state.getSequence() > stored.getSequence();
    }
}
