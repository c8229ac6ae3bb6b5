package org.lovagethread.gateway.http;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.lovagethread.gateway.GatewaySettings;
import org.lovagethread.gateway.config.GatewayConfiguration;
import org.lovagethread.gateway.peer.GatewayRegistry;
import org.lovagethread.gateway.peer.PeerDatagramChannel;
import org.lovagethread.gateway.peer.PeerTable;
import org.lovagethread.gateway.peer.PeerTable.Peer;
import org.lovagethread.gateway.policy.AddressPolicy.Entrance;
import org.lovagethread.gateway.store.StateSync;
import org.lovagethread.gateway.upstream.Upstream;
import org.lovagethread.gateway.upstream.UpstreamLoad;
import org.lovagethread.wire.generated.CellState;
import org.lovagethread.wire.generated.CustomerUse;
import org.lovagethread.wire.generated.GatewayDatagram;
import org.lovagethread.wire.generated.GatewayState;
import org.lovagethread.wire.generated.WindowCount;

/** Tells peers the state of this gateway and takes in theirs. */
final class PeerExchange {
    /** Path at which a gateway serves its configuration to peers. */
    static final String CONFIGURATION_URI = "/configuration";

    /** Path at which a gateway serves its upstreams to peers. */
    static final String UPSTREAMS_URI = "/upstreams";

    /** Time between two sends of the state while all gateways hear each other, in milliseconds. */
    private static final long TELL_MILLIS = 140;

    /** Time between two sends of the state within a cell, in milliseconds. */
    private static final long TELL_CELL_MILLIS = 250;

    /** Time between two sends of the counts of usage and of the gateways that are heard, in milliseconds. */
    private static final long TELL_COUNTS_MILLIS = 900;

    /** Time that a gateway of a cell leaves to each stronger one before it follows the store, in milliseconds. */
    private static final long TURN_MILLIS = 500;

    /** The most turns that a gateway waits. */
    private static final int MOST_TURNS = 3;

    /** Number of usage windows that are told: those of which no report may have been sent yet. */
    static final int TOLD_WINDOWS = 3;

    /** Time for which a peer may have a later configuration before it is fetched, in milliseconds. */
    private static final long LAG_MILLIS = 200;

    /** Time for which a peer may have a later state before the store is asked directly, in milliseconds. */
    private static final long LONG_LAG_MILLIS = 1_200;

    /** Time without the store from which upstreams are fetched from peers, in milliseconds. */
    private static final long STORE_AWAY_MILLIS = 500;

    /** Time between two fetches, in milliseconds. */
    private static final long FETCH_MILLIS = 400;

    private static final long FETCH_TIMEOUT_MILLIS = 2_000;

    private final Gateway gateway;
    private final HttpCaller http;
    private final CellExchange cells;
    private final GatewayRegistry registry;
    private final Map<String, Long> laggingSince = new HashMap<>();
    private final Set<String> fetching = new HashSet<>();
    private PeerDatagramChannel link;
    private long sequence;
    private long nextTellMillis;
    private long nextCountsMillis;
    private long nextFetchMillis;

    PeerExchange(Gateway gateway, HttpCaller http) {
        this.gateway = gateway;
        this.http = http;
        this.cells = new CellExchange(gateway, gateway.settings().zone());
        this.registry = new GatewayRegistry(
                gateway.ports().store(),
                gateway.settings(),
                gateway.peers(),
                gateway,
                () -> gateway.front().draining(),
                gateway.log());
    }

    void open(EventLoop loop) throws InterruptedException {
        GatewaySettings settings = gateway.settings();
        link = new PeerDatagramChannel(loop, settings.host(), settings.peerPort(), this::heard, this::unreadable);
    }

    void start() {
        long now = gateway.nowMillis();
        gateway.settings().seeds().forEach(host -> gateway.peers()
                .add(new PeerTable.GatewayInstance(host, "", 0, now)));
        registry.start(this::follow);
    }

    void tick(long nowMillis) {
        if (nowMillis >= nextTellMillis) {
            nextTellMillis = nowMillis + (gateway.peers().usesCells() ? TELL_CELL_MILLIS : TELL_MILLIS);
            keepRegistry(nowMillis);
            GatewayDatagram datagram =
                    GatewayDatagram.newBuilder().setState(state(nowMillis)).build();
            link.send(datagram, gateway.peers().targetHosts());
            catchUp(nowMillis);
            gateway.sync().setWatching(!cells.followsSpeaker(nowMillis) || lagsLong(nowMillis));
        }
        cells.tick(nowMillis);
    }

    /**
     * Begins to follow the store. In a cell the strongest gateway does so first, since what it learns reaches the others
     * from it in less time than a large configuration needs to be read by all at once.
     */
    private void follow() {
        long turn = gateway.peers().usesCells() ? Math.min(gateway.peers().rank(), MOST_TURNS) : 0;
        gateway.schedule(turn * TURN_MILLIS, () -> {
            if (gateway.sync().isWatching()) {
                gateway.sync().start();
            }
        });
    }

    private void keepRegistry(long nowMillis) {
        List<String> gone = gateway.peers().expire(nowMillis);
        boolean keeps = cells.speaks(nowMillis);
        if (keeps && !gone.isEmpty()) {
            registry.removeRegistrations(gone);
        }
        registry.listIfDue(keeps, gateway.peers().livePeers(nowMillis).isEmpty(), nowMillis);
    }

    void send(GatewayDatagram datagram, Set<String> hosts) {
        link.send(datagram, hosts);
    }

    /** Returns the number of gateways of other cells that are not heard any more. */
    int silentElsewhere(long nowMillis) {
        return cells.silent(nowMillis);
    }

    /** Returns the gateways that accept requests, with this one. */
    List<Entrance> gateways(long nowMillis) {
        List<Entrance> entrances = new ArrayList<>();
        if (gateway.ready()) {
            entrances.add(
                    new Entrance(gateway.settings().host(), gateway.settings().zone()));
        }
        for (Peer peer : gateway.peers().livePeers(nowMillis)) {
            if (peer.state().getReady() && !peer.state().getStopping()) {
                entrances.add(new Entrance(peer.state().getHost(), peer.state().getZone()));
            }
        }
        entrances.addAll(cells.entrances(nowMillis));
        return entrances;
    }

    /** Tells whether no live peer has been running for longer, or holds the lease. */
    boolean eldest(long nowMillis) {
        if (cells.dutiesElsewhere(nowMillis)) {
            return false;
        }
        for (Peer peer : gateway.peers().livePeers(nowMillis)) {
            GatewayState state = peer.state();
            boolean able = state.getReady() && !state.getStopping() && state.getStoreReachable();
            boolean older = state.getIncarnation() < gateway.incarnation()
                    || (state.getIncarnation() == gateway.incarnation()
                            && state.getNode().compareTo(gateway.settings().node()) < 0);
            if (able && (older || state.getLeader())) {
                return false;
            }
        }
        return true;
    }

    private GatewayState state(long nowMillis) {
        sequence++;
        GatewayState.Builder state = GatewayState.newBuilder()
                .setNode(gateway.settings().node())
                .setIncarnation(gateway.incarnation())
                .setSequence(sequence)
                .setHost(gateway.settings().host())
                .setZone(gateway.settings().zone())
                .setReady(gateway.ready())
                .setStopping(gateway.front().draining())
                .setWallClockMillis(gateway.wallMillis())
                .setConfigurationVersion(gateway.configuration()
                        .map(GatewayConfiguration::version)
                        .orElse(-1L))
                .setUpstreamsRevision(gateway.sync().upstreamsRevision())
                .setStoreReachable(gateway.sync().canWatch())
                .setLeader(gateway.lease().holds())
                .setCapacity(gateway.settings().capacity())
                .setKnownGateways(gateway.peers().knownGateways())
                .addAllLeavingUpstreams(gateway.upstreams().leavingMarks());
        gateway.lease().resignedTerm().ifPresent(state::setResignedTerm);
        addUses(state);
        gateway.quota()
                .totals()
                .forEach((customer, tokens) -> state.addCustomers(
                        CustomerUse.newBuilder().setCustomer(customer).setTokens(tokens)));
        if (nowMillis >= nextCountsMillis) {
            nextCountsMillis = nowMillis + TELL_COUNTS_MILLIS;
            addCounts(state, nowMillis);
        }
        return state.build();
    }

    private void addCounts(GatewayState.Builder state, long nowMillis) {
        gateway.peers()
                .livePeers(nowMillis)
                .forEach(peer -> state.addHeardHosts(peer.state().getHost()));
        gateway.usage()
                .newestOwn(TOLD_WINDOWS)
                .forEach((window, counts) ->
                        counts.forEach((customer, requests) -> state.addWindows(WindowCount.newBuilder()
                                .setWindow(window)
                                .setCustomer(customer)
                                .setRequests(requests))));
    }

    private void addUses(GatewayState.Builder state) {
        for (Upstream upstream : gateway.upstreams().all()) {
            UpstreamLoad.Work work = upstream.load().local();
            if (work.inFlight() > 0) {
                state.addUses(UpstreamUses.encode(upstream.entry().id(), work));
            }
        }
    }

    private void heard(GatewayDatagram datagram) {
        long now = gateway.nowMillis();
        cells.heard(datagram.getCellsList(), now);
        if (datagram.hasState() && gateway.peers().update(datagram.getState(), now)) {
            take(datagram.getState(), now);
        }
    }

    private void take(GatewayState state, long now) {
        String process = state.getNode() + '#' + state.getIncarnation();
        gateway.clock().update(state.getNode(), state.getWallClockMillis(), now);
        gateway.lease().peerResigned(state.getResignedTerm());
        for (String mark : state.getLeavingUpstreamsList()) {
            if (gateway.upstreams().markLeaving(mark, now)) {
                gateway.log()
                        .add(gateway.log()
                                .line("upstream-leaving")
                                .put("upstream", mark)
                                .put("source", process));
            }
        }
        UpstreamUses.take(state.getUsesList(), state.getNode(), gateway.upstreams(), now);
        state.getCustomersList()
                .forEach(use -> gateway.quota().heard(process, use.getCustomer(), use.getTokens(), now));
        state.getWindowsList().forEach(count -> gateway.usage()
                .heard(process, count.getWindow(), count.getCustomer(), count.getRequests()));
    }

    /** Fetches from peers what this gateway should know and does not. */
    private void catchUp(long nowMillis) {
        Set<String> heard = new HashSet<>();
        for (Peer peer : gateway.peers().livePeers(nowMillis)) {
            GatewayState state = peer.state();
            heard.add(state.getHost());
            catchUp(state.getHost(), state.getConfigurationVersion(), state.getUpstreamsRevision(), nowMillis);
        }
        for (CellState state : cells.live(nowMillis)) {
            heard.add(state.getSpeakerHost());
            catchUp(state.getSpeakerHost(), state.getConfigurationVersion(), state.getUpstreamsRevision(), nowMillis);
        }
        laggingSince.keySet().retainAll(heard);
    }

    /** Tells whether a peer has had a later state for so long that the store is asked directly. */
    private boolean lagsLong(long nowMillis) {
        return laggingSince.values().stream().anyMatch(since -> nowMillis - since > LONG_LAG_MILLIS);
    }

    private void catchUp(String host, long peerVersion, long peerRevision, long nowMillis) {
        StateSync sync = gateway.sync();
        boolean configurationLags = peerVersion
                > gateway.configuration().map(GatewayConfiguration::version).orElse(-1L);
        boolean upstreamsLag = peerRevision > sync.upstreamsRevision();
        if (!configurationLags && !upstreamsLag) {
            laggingSince.remove(host);
            return;
        }
        long since = laggingSince.computeIfAbsent(host, key -> nowMillis);
        boolean patient = sync.isWatching() && sync.isComplete() && nowMillis - since < LAG_MILLIS;
        if (patient || nowMillis < nextFetchMillis) {
            return;
        }
        nextFetchMillis = nowMillis + FETCH_MILLIS;
        if (configurationLags) {
            fetch(host, CONFIGURATION_URI, bytes -> sync.offerConfiguration(bytes, host));
            sync.onNewerPeerConfiguration();
        }
        boolean away = !sync.isWatching() || sync.storeHealth().outageMillis(nowMillis) > STORE_AWAY_MILLIS;
        if (upstreamsLag && (away || sync.upstreamsRevision() < 0)) {
            fetch(host, UPSTREAMS_URI, bytes -> sync.offerUpstreams(bytes, host));
        } else if (upstreamsLag) {
            sync.onPeerRevision(peerRevision);
        }
    }

    private void fetch(String host, String uri, Consumer<ByteString> taken) {
        if (!fetching.add(uri)) {
            return;
        }
        InetSocketAddress address =
                new InetSocketAddress(host, gateway.settings().peerPort());
        HttpCaller.Call call =
                new HttpCaller.Call(address, HttpMethod.GET, uri, Map.of(), ByteString.EMPTY, FETCH_TIMEOUT_MILLIS);
        http.call(call, reply -> {
            fetching.remove(uri);
            if (reply.status() == HttpResponseStatus.OK.code() && !reply.body().isEmpty()) {
                taken.accept(reply.body());
            }
        });
    }

    private void unreadable(String reason) {
        gateway.log().add(gateway.log().line("peer-state-unreadable").put("reason", reason));
    }
}
