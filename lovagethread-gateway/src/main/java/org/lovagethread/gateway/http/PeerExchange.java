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
import org.lovagethread.gateway.engine.EngineModel;
import org.lovagethread.gateway.peer.GatewayRegistry;
import org.lovagethread.gateway.peer.PeerDatagramChannel;
import org.lovagethread.gateway.peer.PeerTable;
import org.lovagethread.gateway.peer.PeerTable.Peer;
import org.lovagethread.gateway.policy.AddressPolicy.GatewayAddress;
import org.lovagethread.gateway.store.StateSync;
import org.lovagethread.gateway.store.StoreVersion;
import org.lovagethread.gateway.upstream.LeavingMark;
import org.lovagethread.gateway.upstream.Upstream;
import org.lovagethread.gateway.upstream.UpstreamLoad;
import org.lovagethread.gateway.upstream.UpstreamSpeed;
import org.lovagethread.wire.generated.CellState;
import org.lovagethread.wire.generated.CustomerUse;
import org.lovagethread.wire.generated.GatewayDatagram;
import org.lovagethread.wire.generated.GatewayState;
import org.lovagethread.wire.generated.WindowCount;

/** Sends the state of this gateway to its peers and applies the states received from them. */
final class PeerExchange {
    /** Interval between two state messages while each gateway sends to all others, in milliseconds. */
    private static final long SEND_INTERVAL_MILLIS = 140;

    /** Interval between two state messages in cell mode, in milliseconds. */
    private static final long CELL_SEND_INTERVAL_MILLIS = 250;

    /** Interval between two state messages with usage counts and the list of live peers, in milliseconds. */
    private static final long COUNTS_INTERVAL_MILLIS = 900;

    /** Delay before watching the store for each gateway of the cell with a higher capacity, in milliseconds. */
    private static final long START_DELAY_STEP_MILLIS = 500;

    /** Maximum number of delays of {@link #START_DELAY_STEP_MILLIS}. */
    private static final int MAX_START_DELAY_STEPS = 3;

    /** Number of usage windows sent to peers: those whose report may not have been sent yet. */
    static final int REPORTED_WINDOWS = 3;

    /** Time for the store's watch to deliver a newer state before it is fetched from a peer, in milliseconds. */
    private static final long FETCH_DELAY_MILLIS = 200;

    /** Time for which a peer may have a newer state before this gateway watches the store itself, in milliseconds. */
    private static final long MAX_LAG_MILLIS = 1_200;

    /** Duration of a store outage after which upstreams are fetched from peers, in milliseconds. */
    private static final long STORE_OUTAGE_MILLIS = 500;

    /** Minimum interval between two fetches, in milliseconds. */
    private static final long FETCH_INTERVAL_MILLIS = 400;

    private static final long FETCH_TIMEOUT_MILLIS = 2_000;

    private final Gateway gateway;
    private final PooledHttpClient httpClient;
    private final CellExchange cellExchange;
    private final UpstreamSpeedCodec speedCodec = new UpstreamSpeedCodec();
    private final GatewayRegistry registry;
    private final BrittleExchange brittleExchange;
    private final Map<String, Long> laggingSinceMillis = new HashMap<>();
    private final Set<String> pendingFetches = new HashSet<>();
    private PeerDatagramChannel peerChannel;
    private long sequence;
    private long nextSendMillis;
    private long nextCountsMillis;
    private long nextFetchMillis;

    PeerExchange(Gateway gateway, PooledHttpClient httpClient) {
        this.gateway = gateway;
        this.httpClient = httpClient;
        this.brittleExchange = new BrittleExchange(gateway);
        this.cellExchange = new CellExchange(gateway, gateway.settings().zone(), brittleExchange);
        this.registry = new GatewayRegistry(
                gateway.store(),
                gateway.settings(),
                gateway.peers(),
                gateway,
                () -> gateway.callerServer().isDraining(),
                gateway.log());
    }

    void open(EventLoop loop) throws InterruptedException {
        GatewaySettings settings = gateway.settings();
        peerChannel =
                new PeerDatagramChannel(loop, settings.host(), settings.peerPort(), this::receive, this::logUnreadable);
    }

    void start() {
        long now = gateway.nowMillis();
        gateway.settings().seeds().forEach(host -> gateway.peers()
                .add(new PeerTable.GatewayInstance(host, "", 0, now)));
        registry.start(this::startWatchingStore);
        gateway.store().onRestore(registry::onRestore);
    }

    void tick(long nowMillis) {
        if (gateway.links().tick(nowMillis)) {
            nextSendMillis = nowMillis;
            cellExchange.sendSoon();
        }
        brittleExchange.tick(nowMillis);
        if (nowMillis >= nextSendMillis || brittleExchange.isUrgent(nowMillis)) {
            nextSendMillis =
                    nowMillis + (gateway.peers().usesCells() ? CELL_SEND_INTERVAL_MILLIS : SEND_INTERVAL_MILLIS);
            maintainRegistry(nowMillis);
            GatewayDatagram datagram =
                    GatewayDatagram.newBuilder().setState(buildState(nowMillis)).build();
            peerChannel.send(datagram, gateway.peers().targetHosts());
            fetchMissingState(nowMillis);
            gateway.sync().setWatching(!cellExchange.canRelyOnSpeaker(nowMillis) || hasExceededMaxLag(nowMillis));
        }
        cellExchange.tick(nowMillis);
    }

    /**
     * Starts watching the store, in cell mode after a delay that grows with the rank in the cell. The gateway with the
     * highest capacity starts first, and the others receive the state from it. This takes less time than if all of
     * them read a large configuration from the store at once.
     */
    private void startWatchingStore() {
        long delaySteps = gateway.peers().usesCells() ? Math.min(gateway.peers().rank(), MAX_START_DELAY_STEPS) : 0;
        gateway.schedule(delaySteps * START_DELAY_STEP_MILLIS, () -> {
            if (gateway.sync().isWatching()) {
                gateway.sync().start();
            }
        });
    }

    private void maintainRegistry(long nowMillis) {
        List<String> removed = gateway.peers().expire(nowMillis);
        boolean maintainsRegistry = cellExchange.isSpeaker(nowMillis);
        if (maintainsRegistry && !removed.isEmpty()) {
            registry.removeRegistrations(removed);
        }
        registry.listIfDue(
                maintainsRegistry, gateway.peers().livePeers(nowMillis).isEmpty(), nowMillis);
    }

    void send(GatewayDatagram datagram, Set<String> hosts) {
        peerChannel.send(datagram, hosts);
    }

    /** Returns the number of gateways in cells whose summaries no longer arrive. */
    int unreachableInOtherCells(long nowMillis) {
        return cellExchange.unreachableGateways(nowMillis);
    }

    /**
     * Returns the addresses of all gateways that accept requests, including this one. Those that are cut off from all
     * upstreams are left out unless no other remains.
     */
    List<GatewayAddress> readyGateways(long nowMillis) {
        List<GatewayAddress> connected = new ArrayList<>(cellExchange.readyGateways(nowMillis));
        List<GatewayAddress> isolated = new ArrayList<>();
        if (gateway.isReady()) {
            (gateway.links().isIsolated() ? isolated : connected)
                    .add(new GatewayAddress(
                            gateway.settings().host(), gateway.settings().zone()));
        }
        for (Peer peer : gateway.peers().livePeers(nowMillis)) {
            GatewayState state = peer.state();
            if (state.getReady() && !state.getStopping()) {
                (state.getLinks().getIsolated() ? isolated : connected)
                        .add(new GatewayAddress(state.getHost(), state.getZone()));
            }
        }
        return connected.isEmpty() ? isolated : connected;
    }

    /** Returns the addresses of the gateways of other cells that accept requests. */
    List<GatewayAddress> readyGatewaysInOtherCells(long nowMillis) {
        return cellExchange.readyGateways(nowMillis);
    }

    /**
     * Returns whether this gateway should hold the duty lease: no eligible live peer holds it or was started
     * earlier.
     */
    boolean isPreferredLeader(long nowMillis) {
        if (cellExchange.dutiesBelongToOtherCell(nowMillis)) {
            return false;
        }
        for (Peer peer : gateway.peers().livePeers(nowMillis)) {
            GatewayState state = peer.state();
            boolean eligible = state.getReady() && !state.getStopping() && state.getStoreReachable();
            boolean startedEarlier = state.getIncarnation() < gateway.incarnation()
                    || (state.getIncarnation() == gateway.incarnation()
                            && state.getNode().compareTo(gateway.settings().node()) < 0);
            if (eligible && (startedEarlier || state.getLeader())) {
                return false;
            }
        }
        return true;
    }

    private GatewayState buildState(long nowMillis) {
        sequence++;
        Map<LeavingMark, Long> leavingMarks = gateway.upstreams().leavingMarks(nowMillis);
        GatewayState.Builder state = GatewayState.newBuilder()
                .setNode(gateway.settings().node())
                .setIncarnation(gateway.incarnation())
                .setSequence(sequence)
                .setHost(gateway.settings().host())
                .setZone(gateway.settings().zone())
                .setReady(gateway.isReady())
                .setStopping(gateway.callerServer().isDraining())
                .setWallClockMillis(gateway.wallMillis())
                .setConfigurationVersion(gateway.configuration()
                        .map(GatewayConfiguration::version)
                        .orElse(-1L))
                .setUpstreamsRevision(gateway.sync().upstreamsRevision())
                .setStoreReachable(gateway.sync().canWatch())
                .setLeader(gateway.lease().isHeld())
                .setCapacity(gateway.settings().capacity())
                .setKnownGateways(gateway.peers().knownGateways())
                .addAllLeavingUpstreams(LeavingMarkCodec.texts(leavingMarks))
                .addAllLeavingRemainingMillis(LeavingMarkCodec.lifetimes(leavingMarks));
        gateway.lease().resignedTerm().ifPresent(state::setResignedTerm);
        addUpstreamUses(state);
        gateway.quota()
                .totals()
                .forEach((customer, tokens) -> state.addCustomers(
                        CustomerUse.newBuilder().setCustomer(customer).setTokens(tokens)));
        if (nowMillis >= nextCountsMillis) {
            nextCountsMillis = nowMillis + COUNTS_INTERVAL_MILLIS;
            addUsageCounts(state, nowMillis);
        }
        gateway.streamOriginService().addTo(state);
        gateway.sync()
                .upstreamsListedMillis()
                .ifPresent(listedMillis -> state.setUpstreamsAgeMillis(nowMillis - listedMillis));
        gateway.links().addTo(state, nowMillis);
        state.addAllRollouts(gateway.rolloutService().gatewaySummaries(nowMillis));
        state.addAllBrittleUpstreams(brittleExchange.nextClaims(nowMillis));
        return state.addAllZoneFlows(
                        gateway.zoneTraffic().reportForPeers(gateway.peers().usesCells(), nowMillis))
                .setCrashEvidence(
                        PromptEvidenceCodec.encode(gateway.promptQuarantine().localEvidence(nowMillis), nowMillis))
                .build();
    }

    private void addUsageCounts(GatewayState.Builder state, long nowMillis) {
        state.addAllEngines(EngineStatisticsCodec.encode(gateway.engineModels(), EngineModel::local));
        speedCodec.encode(gateway.upstreams().all(), UpstreamSpeed::local).ifPresent(state::setSpeeds);
        gateway.peers()
                .livePeers(nowMillis)
                .forEach(peer -> state.addHeardHosts(peer.state().getHost()));
        gateway.usage()
                .latestLocal(REPORTED_WINDOWS)
                .forEach((window, counts) ->
                        counts.forEach((customer, requests) -> state.addWindows(WindowCount.newBuilder()
                                .setWindow(window)
                                .setCustomer(customer)
                                .setRequests(requests))));
    }

    private void addUpstreamUses(GatewayState.Builder state) {
        for (Upstream upstream : gateway.upstreams().all()) {
            UpstreamLoad.Work work = upstream.load().local();
            if (work.inFlight() > 0) {
                state.addUses(UpstreamUseCodec.encode(upstream.entry().id(), work));
            }
        }
    }

    private void receive(GatewayDatagram datagram) {
        long now = gateway.nowMillis();
        gateway.streamOriginService().receive(datagram);
        cellExchange.receive(datagram.getCellsList(), now);
        boolean wasIsolated = isIsolated(datagram.getState().getHost());
        if (datagram.hasState() && gateway.peers().update(datagram.getState(), now)) {
            if (wasIsolated != datagram.getState().getLinks().getIsolated()) {
                cellExchange.sendSoon();
            }
            apply(datagram.getState(), now);
        }
    }

    private boolean isIsolated(String host) {
        return gateway.peers()
                .find(host)
                .filter(peer -> peer.state().getLinks().getIsolated())
                .isPresent();
    }

    private void apply(GatewayState state, long now) {
        String process = state.getNode() + '#' + state.getIncarnation();
        gateway.rolloutService().applyGateway(process, state.getRolloutsList(), now);
        if (state.hasUpstreamsAgeMillis()) {
            gateway.sync().onPeerList(state.getUpstreamsRevision(), state.getUpstreamsAgeMillis());
        }
        gateway.streamOriginService().applyPeer(state, now);
        gateway.links().applyPeer(state, now);
        gateway.clock().update(state.getNode(), state.getWallClockMillis(), now);
        gateway.lease().recordPeerResignation(state.getResignedTerm());
        if (state.getUpstreamsRevision() >= 0) {
            gateway.store().learn(StoreVersion.era(state.getUpstreamsRevision()));
        }
        gateway.zoneTraffic().apply(state, process, now);
        LeavingMarkCodec.applyPeer(
                        state.getLeavingUpstreamsList(),
                        state.getLeavingRemainingMillisList(),
                        gateway.upstreams(),
                        now)
                .forEach(mark -> gateway.log()
                        .add(gateway.log()
                                .line("upstream-leaving")
                                .put("upstream", mark)
                                .put("source", process)));
        UpstreamUseCodec.applyPeerUses(state.getUsesList(), state.getNode(), gateway.upstreams(), now);
        brittleExchange.apply(state.getNode(), state.getBrittleUpstreamsList(), now);
        EngineStatisticsCodec.applyPeer(state.getEnginesList(), process, gateway.engineModels(), now);
        UpstreamSpeedCodec.applyPeer(
                state.getSpeeds(), process, gateway.upstreams().all(), now);
        gateway.promptQuarantine().updatePeer(process, PromptEvidenceCodec.decode(state.getCrashEvidence(), now), now);
        long uptimeMillis = state.getWallClockMillis() - state.getIncarnation();
        state.getCustomersList()
                .forEach(use -> gateway.quota().update(process, uptimeMillis, use.getCustomer(), use.getTokens(), now));
        state.getWindowsList().forEach(count -> gateway.usage()
                .update(process, count.getWindow(), count.getCustomer(), count.getRequests()));
    }

    /** Fetches newer configurations and upstreams from peers that have them. */
    private void fetchMissingState(long nowMillis) {
        Set<String> liveHosts = new HashSet<>();
        for (Peer peer : gateway.peers().livePeers(nowMillis)) {
            GatewayState state = peer.state();
            liveHosts.add(state.getHost());
            fetchMissingState(
                    state.getHost(), state.getConfigurationVersion(), state.getUpstreamsRevision(), nowMillis);
        }
        for (CellState state : cellExchange.otherCellSummaries(nowMillis)) {
            liveHosts.add(state.getSpeakerHost());
            fetchMissingState(
                    state.getSpeakerHost(), state.getConfigurationVersion(), state.getUpstreamsRevision(), nowMillis);
        }
        laggingSinceMillis.keySet().retainAll(liveHosts);
    }

    /** Returns whether a peer has had a newer state for so long that this gateway must watch the store itself. */
    private boolean hasExceededMaxLag(long nowMillis) {
        return laggingSinceMillis.values().stream().anyMatch(since -> nowMillis - since > MAX_LAG_MILLIS);
    }

    private void fetchMissingState(String host, long peerVersion, long peerRevision, long nowMillis) {
        StateSync sync = gateway.sync();
        boolean configurationLags = peerVersion
                > gateway.configuration().map(GatewayConfiguration::version).orElse(-1L);
        boolean upstreamsLag = peerRevision > sync.upstreamsRevision();
        if (!configurationLags && !upstreamsLag) {
            laggingSinceMillis.remove(host);
            return;
        }
        long sinceMillis = laggingSinceMillis.computeIfAbsent(host, key -> nowMillis);
        boolean watchMayDeliver =
                sync.isWatching() && sync.isComplete() && nowMillis - sinceMillis < FETCH_DELAY_MILLIS;
        if (watchMayDeliver || nowMillis < nextFetchMillis) {
            return;
        }
        nextFetchMillis = nowMillis + FETCH_INTERVAL_MILLIS;
        if (configurationLags) {
            fetch(host, PeerPort.CONFIGURATION_URI, bytes -> sync.offerConfiguration(bytes, host));
            sync.onNewerPeerConfiguration();
        }
        boolean storeOutage = !sync.isWatching() || sync.storeHealth().outageMillis(nowMillis) > STORE_OUTAGE_MILLIS;
        if (upstreamsLag && (storeOutage || sync.upstreamsRevision() < 0)) {
            fetch(host, PeerPort.UPSTREAMS_URI, bytes -> sync.offerUpstreams(bytes, host));
        } else if (upstreamsLag) {
            sync.onPeerRevision(peerRevision);
        }
    }

    private void fetch(String host, String uri, Consumer<ByteString> consumer) {
        if (!pendingFetches.add(uri)) {
            return;
        }
        InetSocketAddress address =
                new InetSocketAddress(host, gateway.settings().peerPort());
        PooledHttpClient.Request request = new PooledHttpClient.Request(
                address, HttpMethod.GET, uri, Map.of(), ByteString.EMPTY, FETCH_TIMEOUT_MILLIS);
        httpClient.send(request, reply -> {
            pendingFetches.remove(uri);
            if (reply.status() == HttpResponseStatus.OK.code() && !reply.body().isEmpty()) {
                consumer.accept(reply.body());
            }
        });
    }

    private void logUnreadable(String reason) {
        gateway.log().add(gateway.log().line("peer-state-unreadable").put("reason", reason));
    }
}
