package org.lovagethread.gateway.http;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
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
import org.lovagethread.gateway.peer.PeerLink;
import org.lovagethread.gateway.peer.PeerTable;
import org.lovagethread.gateway.peer.PeerTable.Peer;
import org.lovagethread.gateway.policy.AddressPolicy.Entrance;
import org.lovagethread.gateway.store.KindWatcher;
import org.lovagethread.gateway.store.ObjectKind;
import org.lovagethread.gateway.store.ObjectStore;
import org.lovagethread.gateway.store.StateSync;
import org.lovagethread.gateway.store.StoreReply;
import org.lovagethread.gateway.store.StoredObject;
import org.lovagethread.gateway.upstream.Upstream;
import org.lovagethread.gateway.upstream.UpstreamLoad;
import org.lovagethread.wire.generated.CellState;
import org.lovagethread.wire.generated.CustomerUse;
import org.lovagethread.wire.generated.GatewayDatagram;
import org.lovagethread.wire.generated.GatewayState;
import org.lovagethread.wire.generated.UpstreamUse;
import org.lovagethread.wire.generated.WindowCount;

/** Tells peers the state of this gateway and takes in theirs. */
final class PeerExchange {
    /** Path at which a gateway serves its configuration to peers. */
    static final String CONFIGURATION_URI = "/configuration";

    /** Path at which a gateway serves its upstreams to peers. */
    static final String UPSTREAMS_URI = "/upstreams";

    /** Time between two sends of the state, in milliseconds. */
    private static final long TELL_MILLIS = 140;

    /** Time for which a peer may have a later configuration before it is fetched, in milliseconds. */
    private static final long LAG_MILLIS = 200;

    /** Time for which a peer may have a later state before the store is asked directly, in milliseconds. */
    private static final long LONG_LAG_MILLIS = 1_200;

    /** Time without the store from which upstreams are fetched from peers, in milliseconds. */
    private static final long STORE_AWAY_MILLIS = 500;

    /** Time between two fetches, in milliseconds. */
    private static final long FETCH_MILLIS = 400;

    private static final long FETCH_TIMEOUT_MILLIS = 2_000;
    private static final KindWatcher.Times MEMBER_TIMES = new KindWatcher.Times(20_000, 1_500);
    private static final long REGISTER_RETRY_MILLIS = 500;
    private static final String HOST = "host";
    private static final String ZONE = "zone";
    private static final String CAPACITY = "capacity";

    private final Gateway gateway;
    private final HttpCaller http;
    private final CellExchange cells;
    private final Map<String, Long> laggingSince = new HashMap<>();
    private final Set<String> fetching = new HashSet<>();
    private final Map<String, String> registered = new HashMap<>();
    private PeerLink link;
    private long sequence;
    private long nextTellMillis;
    private long nextFetchMillis;

    PeerExchange(Gateway gateway, HttpCaller http) {
        this.gateway = gateway;
        this.http = http;
        this.cells = new CellExchange(gateway, gateway.settings().zone());
    }

    void open(EventLoop loop) throws InterruptedException {
        GatewaySettings settings = gateway.settings();
        link = new PeerLink(loop, settings.host(), settings.peerPort(), this::heard, this::unreadable);
    }

    void start() {
        long now = gateway.nowMillis();
        gateway.settings().seeds().forEach(host -> gateway.peers().add(new PeerTable.Place(host, "", 0, now)));
        new KindWatcher(gateway.ports().store(), ObjectKind.GATEWAYS, MEMBER_TIMES, gateway, new Members()).start();
        register();
    }

    void tick(long nowMillis) {
        if (nowMillis >= nextTellMillis) {
            nextTellMillis = nowMillis + TELL_MILLIS;
            forget(gateway.peers().expire(nowMillis), nowMillis);
            GatewayDatagram datagram =
                    GatewayDatagram.newBuilder().setState(state(nowMillis)).build();
            link.send(datagram, gateway.peers().hosts());
            catchUp(nowMillis);
            gateway.sync().follow(!cells.followsSpeaker(nowMillis) || lagsLong(nowMillis));
        }
        cells.tick(nowMillis);
    }

    void send(GatewayDatagram datagram, Set<String> hosts) {
        link.send(datagram, hosts);
    }

    /** Returns the number of gateways of other cells that are not heard any more. */
    int silentElsewhere(long nowMillis) {
        return cells.silent(nowMillis);
    }

    /** Removes the registrations of gateways that are gone for good. */
    private void forget(List<String> hosts, long nowMillis) {
        if (hosts.isEmpty() || !cells.speaks(nowMillis)) {
            return;
        }
        registered.forEach((name, host) -> {
            if (hosts.contains(host)) {
                gateway.ports().store().remove(ObjectKind.GATEWAYS, name, reply -> {});
            }
        });
    }

    /** Returns the gateways that accept requests, with this one. */
    List<Entrance> gateways(long nowMillis) {
        List<Entrance> entrances = new ArrayList<>();
        if (gateway.ready()) {
            entrances.add(
                    new Entrance(gateway.settings().host(), gateway.settings().zone()));
        }
        for (Peer peer : gateway.peers().live(nowMillis)) {
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
        for (Peer peer : gateway.peers().live(nowMillis)) {
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

    private void register() {
        ObjectStore store = gateway.ports().store();
        ObjectNode content = JsonNodeFactory.instance.objectNode();
        content.put(HOST, gateway.settings().host());
        content.put(ZONE, gateway.settings().zone());
        content.put(CAPACITY, gateway.settings().capacity());
        store.create(ObjectKind.GATEWAYS, gateway.settings().node(), content, reply -> {
            boolean other = reply.status() == StoreReply.Status.CONFLICT
                    && reply.value().isPresent()
                    && !host(reply.value().get()).equals(gateway.settings().host());
            if (other) {
                store.replace(ObjectKind.GATEWAYS, reply.value().get(), content, replaced -> {});
            } else if (!reply.answered() && !gateway.front().draining()) {
                gateway.after(REGISTER_RETRY_MILLIS, this::register);
            }
        });
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
                .setStoreReachable(gateway.sync().link().reachable())
                .setLeader(gateway.lease().holds())
                .setCapacity(gateway.settings().capacity())
                .addAllLeavingUpstreams(gateway.upstreams().leavingMarks());
        gateway.peers()
                .live(nowMillis)
                .forEach(peer -> state.addHeardHosts(peer.state().getHost()));
        addUses(state);
        gateway.quota()
                .totals()
                .forEach((customer, tokens) -> state.addCustomers(
                        CustomerUse.newBuilder().setCustomer(customer).setTokens(tokens)));
        gateway.usage()
                .own()
                .forEach((window, counts) ->
                        counts.forEach((customer, requests) -> state.addWindows(WindowCount.newBuilder()
                                .setWindow(window)
                                .setCustomer(customer)
                                .setRequests(requests))));
        return state.build();
    }

    private void addUses(GatewayState.Builder state) {
        for (Upstream upstream : gateway.upstreams().all()) {
            UpstreamLoad.Work work = upstream.load().own();
            if (work.inFlight() > 0) {
                state.addUses(UpstreamUse.newBuilder()
                        .setUpstream(upstream.entry().id())
                        .setInFlight(work.inFlight())
                        .setUnreadTokens((int) Math.min(Integer.MAX_VALUE, work.unreadTokens()))
                        .setMemoryTokens((int) Math.min(Integer.MAX_VALUE, work.memoryTokens())));
            }
        }
    }

    private void heard(GatewayDatagram datagram) {
        long now = gateway.nowMillis();
        cells.heard(datagram.getCellsList(), now);
        if (datagram.hasState() && gateway.peers().heard(datagram.getState(), now)) {
            take(datagram.getState(), now);
        }
    }

    private void take(GatewayState state, long now) {
        String process = state.getNode() + '#' + state.getIncarnation();
        gateway.clock().heard(state.getNode(), state.getWallClockMillis(), now);
        for (String mark : state.getLeavingUpstreamsList()) {
            if (gateway.upstreams().leaving(mark, now)) {
                gateway.log()
                        .add(gateway.log()
                                .line("upstream-leaving")
                                .put("upstream", mark)
                                .put("source", process));
            }
        }
        Map<String, UpstreamLoad.Work> uses = new HashMap<>();
        for (UpstreamUse use : state.getUsesList()) {
            uses.put(
                    use.getUpstream(),
                    new UpstreamLoad.Work(use.getInFlight(), use.getUnreadTokens(), use.getMemoryTokens()));
        }
        for (Upstream upstream : gateway.upstreams().all()) {
            UpstreamLoad.Work work = uses.getOrDefault(upstream.entry().id(), UpstreamLoad.Work.NONE);
            upstream.load().heard(state.getNode(), work, now);
        }
        state.getCustomersList()
                .forEach(use -> gateway.quota().heard(process, use.getCustomer(), use.getTokens(), now));
        state.getWindowsList().forEach(count -> gateway.usage()
                .heard(process, count.getWindow(), count.getCustomer(), count.getRequests()));
    }

    /** Fetches from peers what this gateway should know and does not. */
    private void catchUp(long nowMillis) {
        Set<String> heard = new HashSet<>();
        for (Peer peer : gateway.peers().live(nowMillis)) {
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
        boolean patient = sync.follows() && nowMillis - since < LAG_MILLIS;
        if (patient || nowMillis < nextFetchMillis) {
            return;
        }
        nextFetchMillis = nowMillis + FETCH_MILLIS;
        if (configurationLags) {
            fetch(host, CONFIGURATION_URI, bytes -> sync.offerConfiguration(bytes, host));
            sync.peerHasLaterConfiguration();
        }
        boolean away = !sync.follows() || sync.link().awayMillis(nowMillis) > STORE_AWAY_MILLIS;
        if (upstreamsLag && (away || sync.upstreamsRevision() < 0)) {
            fetch(host, UPSTREAMS_URI, bytes -> sync.offerUpstreams(bytes, host));
        } else if (upstreamsLag) {
            sync.peerSaw(peerRevision);
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

    private static String host(StoredObject object) {
        return object.content().path(HOST).asText();
    }

    private final class Members implements KindWatcher.Observer {
        @Override
        public void listed(List<StoredObject> objects, long revision) {
            registered.clear();
            objects.forEach(this::add);
        }

        @Override
        public void changed(ObjectStore.Change change, long revision) {
            String name = change.object().name();
            if (!change.removed()) {
                add(change.object());
                return;
            }
            String host = registered.remove(name);
            if (name.equals(gateway.settings().node()) && !gateway.front().draining()) {
                register();
            } else if (host != null) {
                gateway.peers().remove(host);
            }
        }

        @Override
        public void called(boolean answered) {
            gateway.metrics().state("members_watch_answered", answered ? 1 : 0);
        }

        @Override
        public void failed(RuntimeException fault) {
            gateway.log().add(gateway.log().line("store-change-failed").put("reason", fault.toString()));
        }

        private void add(StoredObject object) {
            registered.put(object.name(), host(object));
            gateway.peers()
                    .add(new PeerTable.Place(
                            host(object),
                            object.content().path(ZONE).asText(),
                            object.content().path(CAPACITY).asInt(),
                            gateway.nowMillis()));
        }
    }
}
