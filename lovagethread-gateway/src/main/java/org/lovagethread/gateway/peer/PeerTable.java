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
 * Keeps the last word of each other gateway. Used by one thread.
 *
 * <p>While there are few gateways, each hears all others. When there are more, each hears only those of its availability
 * zone, its cell, and learns of other cells by their summaries.
 */
public final class PeerTable {
    /** Age from which a peer counts as not heard, in milliseconds. */
    public static final long SILENT_MILLIS = 900;

    /** Age from which a peer that is not heard counts as gone for good, in milliseconds. */
    public static final long GONE_MILLIS = 25_000;

    /** Time after a summary of a cell for which gateways are divided into cells, in milliseconds. */
    private static final long SUMMARIES_MILLIS = 5_000;

    /** The most gateways that all hear each other. */
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
     * An instance on which a gateway is registered or was heard of.
     *
     * @param host the IP address
     * @param zone the availability zone; an empty text if unknown
     * @param capacity the relative strength of the instance
     * @param sinceMillis when it was first known or last heard, in milliseconds
     */
    public record Place(String host, String zone, int capacity, long sinceMillis) {}

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
    }

    /**
     * Creates a table.
     *
     * @param host the IP address of this gateway, which is never a peer
     * @param zone the availability zone of this gateway
     * @param capacity the relative strength of this instance
     */
    public PeerTable(String host, String zone, int capacity) {
        this.self = new Place(host, zone, capacity, 0);
    }

    /**
     * Adds an instance on which a gateway may be.
     *
     * @param place the instance; one without a zone never replaces one with a zone
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
     * Forgets an instance on which no gateway is registered any more.
     *
     * @param host the IP address
     */
    public void remove(String host) {
        places.remove(host);
        byHost.remove(host);
        divide();
    }

    /**
     * Takes the word of a peer.
     *
     * @param state the word
     * @param nowMillis the present time in milliseconds
     * @return true if it is newer than what was known and comes from this gateway's cell
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
     * Notes that a summary of a cell was heard, which proves that there are many gateways even if few are known.
     *
     * @param nowMillis the present time in milliseconds
     */
    public void summaryHeard(long nowMillis) {
        summariesUntilMillis = nowMillis + SUMMARIES_MILLIS;
        if (!summaries) {
            summaries = true;
            divide();
        }
    }

    /**
     * Forgets peers that have been silent for long.
     *
     * @param nowMillis the present time in milliseconds
     * @return the IP addresses of those forgotten
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
     * Tells whether there are so many gateways that they are divided into cells.
     *
     * @return true if peers of other availability zones are known by summaries only
     */
    public boolean celled() {
        return celled;
    }

    /**
     * Returns the addresses to which the state of this gateway is sent.
     *
     * @return IP addresses
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
     * Returns the registered instances of an availability zone without this one, the strongest first.
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
     * Returns the rank of this gateway among those registered in its availability zone, the strongest first.
     *
     * @return zero for the strongest
     */
    public int rank() {
        return (int) places(self.zone()).stream()
                .filter(place -> STRONGEST_FIRST.compare(place, self) < 0)
                .count();
    }

    /**
     * Returns the address of the gateway that speaks for this cell: the strongest that accepts requests and reaches the
     * store, or the strongest that accepts requests if none reaches it.
     *
     * @param selfReady whether this gateway accepts requests
     * @param selfReaches whether this gateway may reach the store
     * @param nowMillis the present time in milliseconds
     * @return an IP address; this gateway's own if no other is fit
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
     * Returns the peers of this cell that are alive and reachable.
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
     * Returns a peer of this cell.
     *
     * @param host its IP address
     * @return the peer, or empty if it was never heard
     */
    public Optional<Peer> find(String host) {
        return Optional.ofNullable(byHost.get(host));
    }

    /**
     * Returns all peers of this cell that are not known to be gone for good.
     *
     * @return the peers
     */
    public Collection<Peer> all() {
        return byHost.values();
    }

    /**
     * Returns the number of gateways, with this one, that may be at work, as far as this one or a peer knows.
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
     * Returns the number of gateways that this one has itself been told of, for its peers.
     *
     * @return the number of gateways with this one
     */
    public int known() {
        return places.size() + 1;
    }

    /**
     * Returns the number of gateways of this cell that may be at work but are not heard.
     *
     * @param nowMillis the present time in milliseconds
     * @return the number of gateways
     */
    public int silent(long nowMillis) {
        return (int) byHost.values().stream()
                .filter(peer -> !peer.live(nowMillis) && !peer.state().getStopping())
                .count();
    }

    /** Divides the gateways into cells when there are many, and joins them only when there are clearly fewer. */
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
