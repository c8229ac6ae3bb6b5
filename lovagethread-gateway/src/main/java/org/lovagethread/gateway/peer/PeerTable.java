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
 * <p>Up to {@link #MOST_MESH} gateways form a full mesh, in which each gateway sends its state to all others. Larger
 * numbers are divided into cells, one for each availability zone: a gateway then exchanges its state only within its
 * cell, and receives summaries of the other cells.
 */
public final class PeerTable {
    /** Age of its latest state from which a peer counts as unreachable, in milliseconds. */
    public static final long SILENT_MILLIS = 900;

    /** Age of its latest state beyond which a peer is removed from the table, in milliseconds. */
    public static final long GONE_MILLIS = 25_000;

    /** Time for which the receipt of a cell summary keeps this gateway in cell mode, in milliseconds. */
    private static final long SUMMARIES_MILLIS = 5_000;

    /** Maximum number of gateways that form a full mesh. */
    public static final int MOST_MESH = 12;

    private static final Comparator<Place> STRONGEST_FIRST =
            Comparator.comparingInt(Place::capacity).reversed().thenComparing(Place::host);

    private final Map<String, Peer> byHost = new LinkedHashMap<>();
    private final Map<String, Place> places = new LinkedHashMap<>();
    private final Place self;
    private boolean celled;
    private boolean summaries;
    private long summariesUntilMillis;

    /**
     * An instance on which a gateway is registered, or that a peer has reported.
     *
     * @param host the IP address
     * @param zone the availability zone; an empty string if unknown
     * @param capacity the relative capacity of the instance
     * @param sinceMillis when this entry was created, in milliseconds of this gateway's monotonic clock
     */
    public record Place(String host, String zone, int capacity, long sinceMillis) {}

    /**
     * A peer with its latest state.
     *
     * @param state the latest state received from the peer
     * @param heardMillis when the state was received, in milliseconds of this gateway's monotonic clock
     */
    public record Peer(GatewayState state, long heardMillis) {
        /**
         * Checks whether the latest state is recent enough for the peer to count as live.
         *
         * @param nowMillis the current time in milliseconds
         * @return true if the peer is assumed to be running and reachable
         */
        public boolean live(long nowMillis) {
            return nowMillis - heardMillis < SILENT_MILLIS;
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
        this.self = new Place(host, zone, capacity, 0);
    }

    /**
     * Adds an instance on which a gateway may be running.
     *
     * @param place the instance; ignored if its zone is unknown and the table already contains its address
     */
    public void add(Place place) {
        if (place.host().isEmpty() || place.host().equals(self.host())) {
            return;
        }
        Place known = places.get(place.host());
        if (known == null || !place.zone().isEmpty()) {
            places.put(place.host(), place);
            divide();
        }
    }

    /**
     * Removes an instance on which no gateway is registered any more.
     *
     * @param host the IP address
     */
    public void remove(String host) {
        places.remove(host);
        byHost.remove(host);
        divide();
    }

    /**
     * Updates the table with a state received from a peer.
     *
     * @param state the state
     * @param nowMillis the current time in milliseconds
     * @return true if the state was stored: it is newer than the stored one and its sender is not in another cell
     */
    public boolean heard(GatewayState state, long nowMillis) {
        String host = state.getHost();
        if (host.equals(self.host())) {
            return false;
        }
        add(new Place(host, state.getZone(), state.getCapacity(), nowMillis));
        state.getHeardHostsList().forEach(other -> add(new Place(other, "", 0, nowMillis)));
        if (celled() && !state.getZone().equals(self.zone())) {
            byHost.remove(host);
            return false;
        }
        Peer known = byHost.get(host);
        if (known != null && !newer(state, known.state())) {
            return false;
        }
        byHost.put(host, new Peer(state, nowMillis));
        divide();
        return true;
    }

    /**
     * Records the receipt of a cell summary and switches to cell mode.
     *
     * <p>A summary shows that the gateways have been divided into cells, even if this gateway knows only a few of them.
     *
     * @param nowMillis the current time in milliseconds
     */
    public void summaryHeard(long nowMillis) {
        summariesUntilMillis = nowMillis + SUMMARIES_MILLIS;
        if (!summaries) {
            summaries = true;
            divide();
        }
    }

    /**
     * Removes the instances whose state has not been received for {@link #GONE_MILLIS}.
     *
     * <p>In cell mode, instances in other availability zones are kept, because their state is not sent to this gateway.
     *
     * @param nowMillis the current time in milliseconds
     * @return the IP addresses of the removed instances
     */
    public List<String> expire(long nowMillis) {
        summaries = nowMillis < summariesUntilMillis;
        divide();
        List<String> gone = new ArrayList<>();
        for (Place place : places.values()) {
            Peer peer = byHost.get(place.host());
            long heard = peer == null ? place.sinceMillis() : peer.heardMillis();
            if (inCell(place) && nowMillis - heard > GONE_MILLIS) {
                gone.add(place.host());
            }
        }
        gone.forEach(this::remove);
        return gone;
    }

    /**
     * Checks whether the gateways are divided into cells.
     *
     * @return true if state from other availability zones is received only as summaries
     */
    public boolean celled() {
        return celled;
    }

    /**
     * Returns the addresses to which this gateway sends its state.
     *
     * @return the IP addresses
     */
    public Set<String> hosts() {
        Set<String> hosts = new LinkedHashSet<>();
        for (Place place : places.values()) {
            if (inCell(place)) {
                hosts.add(place.host());
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
    public List<Place> places(String zone) {
        List<Place> found = new ArrayList<>();
        for (Place place : places.values()) {
            if (place.zone().equals(zone)) {
                found.add(place);
            }
        }
        found.sort(STRONGEST_FIRST);
        return found;
    }

    /**
     * Returns the rank of this gateway among those of its availability zone, by descending capacity.
     *
     * @return the rank; zero for the gateway with the highest capacity
     */
    public int rank() {
        return (int) places(self.zone()).stream()
                .filter(place -> STRONGEST_FIRST.compare(place, self) < 0)
                .count();
    }

    /**
     * Returns the address of the speaker of this cell, the gateway that sends the summaries of the cell.
     *
     * <p>The speaker is the gateway with the highest capacity among those that accept requests and reach the store. If
     * none of them reaches the store, it is the gateway with the highest capacity among those that accept requests.
     *
     * @param selfReady whether this gateway accepts requests
     * @param selfReaches whether this gateway can reach the store
     * @param nowMillis the current time in milliseconds
     * @return the IP address; that of this gateway if no gateway of the cell accepts requests
     */
    public String speaker(boolean selfReady, boolean selfReaches, long nowMillis) {
        List<Place> fit = new ArrayList<>();
        List<Place> reaching = new ArrayList<>();
        if (selfReady) {
            fit.add(self);
            if (selfReaches) {
                reaching.add(self);
            }
        }
        for (Peer peer : live(nowMillis)) {
            GatewayState state = peer.state();
            if (state.getReady() && !state.getStopping()) {
                Place place = new Place(state.getHost(), state.getZone(), state.getCapacity(), nowMillis);
                fit.add(place);
                if (state.getStoreReachable()) {
                    reaching.add(place);
                }
            }
        }
        List<Place> candidates = reaching.isEmpty() ? fit : reaching;
        return candidates.stream().min(STRONGEST_FIRST).map(Place::host).orElse(self.host());
    }

    /**
     * Returns the live peers of this cell.
     *
     * @param nowMillis the current time in milliseconds
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
     * Returns a peer of this cell.
     *
     * @param host the IP address of the peer
     * @return the peer, or empty if no state of it is stored
     */
    public Optional<Peer> find(String host) {
        return Optional.ofNullable(byHost.get(host));
    }

    /**
     * Returns all peers of this cell that have not been removed, including unreachable ones.
     *
     * @return the peers
     */
    public Collection<Peer> all() {
        return byHost.values();
    }

    /**
     * Returns the estimated number of running gateways, including this one.
     *
     * <p>The estimate is the maximum of the number that this gateway knows and the numbers that its peers report.
     *
     * @return the number of gateways; at least one
     */
    public int size() {
        int size = places.size() + 1;
        for (Peer peer : byHost.values()) {
            size = Math.max(size, peer.state().getKnownGateways());
        }
        return size;
    }

    /**
     * Returns the number of gateways that this gateway knows itself, which it reports to its peers.
     *
     * @return the number of gateways, including this one
     */
    public int known() {
        return places.size() + 1;
    }

    /**
     * Returns the number of unreachable peers of this cell that may still be running.
     *
     * @param nowMillis the current time in milliseconds
     * @return the number of peers
     */
    public int silent(long nowMillis) {
        return (int) byHost.values().stream()
                .filter(peer -> !peer.live(nowMillis) && !peer.state().getStopping())
                .count();
    }

    /** Updates the cell mode. It ends only at half the number of gateways that starts it, which avoids flapping. */
    private void divide() {
        int gateways = size();
        celled = summaries || gateways > MOST_MESH || (celled && gateways > MOST_MESH / 2);
    }

    private boolean inCell(Place place) {
        return !celled() || place.zone().isEmpty() || place.zone().equals(self.zone());
    }

    private static boolean newer(GatewayState state, GatewayState known) {
        if (state.getIncarnation() != known.getIncarnation()) {
            return state.getIncarnation() > known.getIncarnation();
        }
        return state.getSequence() > known.getSequence();
    }
}
