package org.lovagethread.gateway.http;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lovagethread.gateway.config.GatewayConfiguration;
import org.lovagethread.gateway.peer.CellTable;
import org.lovagethread.gateway.peer.PeerTable;
import org.lovagethread.gateway.peer.PeerTable.GatewayInstance;
import org.lovagethread.gateway.peer.PeerTable.Peer;
import org.lovagethread.gateway.policy.AddressPolicy.GatewayAddress;
import org.lovagethread.gateway.policy.TokenQuota;
import org.lovagethread.gateway.upstream.LeavingMark;
import org.lovagethread.gateway.upstream.Upstream;
import org.lovagethread.gateway.upstream.UpstreamLoad;
import org.lovagethread.wire.generated.CellState;
import org.lovagethread.wire.generated.CustomerUse;
import org.lovagethread.wire.generated.GatewayDatagram;
import org.lovagethread.wire.generated.GatewayState;
import org.lovagethread.wire.generated.WindowCount;

/**
 * Exchanges summaries of cells while the gateways are in cell mode.
 *
 * <p>A cell consists of the gateways of one availability zone. One of them, the speaker, sends a summary of the cell to
 * the speakers of the other cells and relays their summaries to the members of its own cell. A gateway that receives a
 * summary without being the speaker forwards it to the speaker.
 */
final class CellExchange {
    /** Prefix of the peer names that represent cells, which keeps them distinct from the names of gateways. */
    static final String CELL_PREFIX = TokenQuota.CELL_PREFIX;

    /** Interval between two summaries, in milliseconds. */
    private static final long SEND_INTERVAL_MILLIS = 250;

    /** Number of summaries of which one contains the usage counts. */
    private static final int SUMMARIES_PER_USAGE_COUNT = 4;

    /** Number of summaries of which one contains the statistics of rollouts. */
    private static final int SUMMARIES_PER_ROLLOUT_STATISTICS = 2;

    private final Gateway gateway;
    private final CellTable cells;
    private final BrittleExchange brittleExchange;
    private final UpstreamSpeedCodec speedCodec = new UpstreamSpeedCodec();
    private final Map<String, Integer> contactAttempts = new HashMap<>();
    private long nextSendMillis;
    private long sequence;

    CellExchange(Gateway gateway, String zone, BrittleExchange brittleExchange) {
        this.brittleExchange = brittleExchange;
        this.gateway = gateway;
        this.cells = new CellTable(zone);
    }

    /** Returns whether this gateway is the speaker of its cell. */
    boolean isSpeaker(long nowMillis) {
        return speakerHost(nowMillis).equals(gateway.settings().host());
    }

    /** Returns the IP address of the speaker of this cell. */
    String speakerHost(long nowMillis) {
        return gateway.peers().speakerHost(gateway.isReady(), gateway.sync().canWatch(), nowMillis);
    }

    /** Returns whether this gateway can receive changes from the speaker of its cell instead of watching the store. */
    boolean canRelyOnSpeaker(long nowMillis) {
        if (!gateway.peers().usesCells() || !gateway.sync().isComplete() || isSpeaker(nowMillis)) {
            return false;
        }
        return gateway.peers()
                .find(speakerHost(nowMillis))
                .filter(peer -> peer.isLive(nowMillis))
                .isPresent();
    }

    void tick(long nowMillis) {
        if (nowMillis < nextSendMillis || !gateway.peers().usesCells()) {
            return;
        }
        nextSendMillis = nowMillis + SEND_INTERVAL_MILLIS;
        if (isSpeaker(nowMillis)) {
            sequence++;
            gateway.sendToPeers(
                    GatewayDatagram.newBuilder()
                            .addCells(buildSummary(nowMillis))
                            .build(),
                    summaryTargets(nowMillis));
            List<CellState> others =
                    includesUsageCounts() ? cells.liveSummariesWithUsage(nowMillis) : cells.liveSummaries(nowMillis);
            if (!others.isEmpty()) {
                gateway.sendToPeers(
                        GatewayDatagram.newBuilder().addAllCells(others).build(),
                        gateway.peers().targetHosts());
            }
        }
    }

    /** Sends the next summary at once, because the addresses for callers have changed. */
    void sendSoon() {
        nextSendMillis = 0;
    }

    void receive(List<CellState> summaries, long nowMillis) {
        if (!summaries.isEmpty()) {
            gateway.peers().recordCellSummary(nowMillis);
        }
        for (CellState state : summaries) {
            applyUsageCounts(state);
            if (cells.update(state, nowMillis)) {
                apply(state, nowMillis);
                if (summaries.size() == 1 && !isSpeaker(nowMillis)) {
                    GatewayDatagram relayed =
                            GatewayDatagram.newBuilder().addCells(state).build();
                    gateway.sendToPeers(relayed, Set.of(speakerHost(nowMillis)));
                }
            }
        }
    }

    /** Returns the addresses of the gateways in other cells that accept requests. */
    List<GatewayAddress> readyGateways(long nowMillis) {
        List<GatewayAddress> addresses = new ArrayList<>();
        if (gateway.peers().usesCells()) {
            for (CellState state : cells.liveSummaries(nowMillis)) {
                state.getReadyHostsList().forEach(host -> addresses.add(new GatewayAddress(host, state.getZone())));
            }
        }
        return addresses;
    }

    /** Returns whether a gateway of another cell holds the duty lease or has precedence in acquiring it. */
    boolean dutiesBelongToOtherCell(long nowMillis) {
        if (!gateway.peers().usesCells()) {
            return false;
        }
        String zone = gateway.settings().zone();
        return cells.liveSummaries(nowMillis).stream()
                .anyMatch(state -> state.getLeader()
                        || (state.getStoreReachable() && state.getZone().compareTo(zone) < 0));
    }

    /** Returns the number of gateways in cells whose summaries no longer arrive. */
    int unreachableGateways(long nowMillis) {
        return gateway.peers().usesCells() ? cells.unreachableCount(nowMillis) : 0;
    }

    /** Returns the current summaries of other cells; empty if this gateway is not the speaker of its cell. */
    List<CellState> otherCellSummaries(long nowMillis) {
        return gateway.peers().usesCells() && isSpeaker(nowMillis) ? cells.liveSummaries(nowMillis) : List.of();
    }

    private void apply(CellState state, long nowMillis) {
        String cell = CELL_PREFIX + state.getZone();
        gateway.zoneTraffic().apply(state, nowMillis);
        gateway.links().applyCell(cell, state, nowMillis);
        gateway.rolloutService().applyCell(cell, state.getMembers(), state.getRolloutsList(), nowMillis);
        LeavingMarkCodec.applyPeer(
                state.getLeavingUpstreamsList(), state.getLeavingRemainingMillisList(), gateway.upstreams(), nowMillis);
        state.getResignedTermsList().forEach(gateway.lease()::recordPeerResignation);
        UpstreamUseCodec.applyPeerUses(state.getUsesList(), cell, gateway.upstreams(), nowMillis);
        brittleExchange.apply(cell, state.getBrittleUpstreamsList(), nowMillis);
        EngineStatisticsCodec.applyPeer(state.getEnginesList(), cell, gateway.engineModels(), nowMillis);
        UpstreamSpeedCodec.applyPeer(
                state.getSpeeds(), cell, gateway.upstreams().all(), nowMillis);
        gateway.promptQuarantine()
                .updatePeer(cell, PromptEvidenceCodec.decode(state.getCrashEvidence(), nowMillis), nowMillis);
        state.getCustomersList().forEach(use -> gateway.quota()
                .update(
                        CELL_PREFIX + state.getSpeaker(),
                        Long.MAX_VALUE,
                        use.getCustomer(),
                        use.getTokens(),
                        nowMillis));
    }

    /**
     * Applies the usage counts of a summary, even if it arrives out of order. Counts never decrease, and the next
     * summaries may contain none.
     */
    private void applyUsageCounts(CellState state) {
        if (!state.getZone().equals(gateway.settings().zone())) {
            state.getWindowsList().forEach(count -> gateway.usage()
                    .update(
                            CELL_PREFIX + state.getZone(),
                            count.getWindow(),
                            count.getCustomer(),
                            count.getRequests()));
        }
    }

    /**
     * Returns one address for each other availability zone: its speaker if known, otherwise one of its instances, a
     * different one on each call until a summary arrives.
     */
    private Set<String> summaryTargets(long nowMillis) {
        Set<String> targets = new LinkedHashSet<>();
        for (String zone : gateway.settings().regionByZone().keySet()) {
            if (zone.equals(gateway.settings().zone())) {
                continue;
            }
            var summary = cells.find(zone, nowMillis);
            if (summary.isPresent()) {
                targets.add(summary.get().getSpeakerHost());
                contactAttempts.remove(zone);
                continue;
            }
            List<GatewayInstance> instances = gateway.peers().instances(zone);
            if (!instances.isEmpty()) {
                int contactAttempt = contactAttempts.merge(zone, 1, Integer::sum);
                targets.add(instances.get(contactAttempt % instances.size()).host());
            }
        }
        return targets;
    }

    private CellState buildSummary(long nowMillis) {
        PeerTable peers = gateway.peers();
        Map<LeavingMark, Long> leavingMarks = gateway.upstreams().leavingMarks(nowMillis);
        CellState.Builder state = CellState.newBuilder()
                .setZone(gateway.settings().zone())
                .setSpeaker(gateway.settings().node() + '#' + gateway.incarnation())
                .setSpeakerHost(gateway.settings().host())
                .setSequence(sequence)
                .setConfigurationVersion(gateway.configuration()
                        .map(GatewayConfiguration::version)
                        .orElse(-1L))
                .setUpstreamsRevision(gateway.sync().upstreamsRevision())
                .addAllLeavingUpstreams(LeavingMarkCodec.texts(leavingMarks))
                .addAllLeavingRemainingMillis(LeavingMarkCodec.lifetimes(leavingMarks));
        boolean leaderPresent = gateway.lease().isHeld();
        gateway.lease().resignedTerm().ifPresent(state::addResignedTerms);
        int members = 1;
        boolean storeReachable = gateway.isReady() && gateway.sync().canWatch();
        if (gateway.isReady() && !gateway.links().isIsolated()) {
            state.addReadyHosts(gateway.settings().host());
        }
        for (Peer peer : peers.livePeers(nowMillis)) {
            GatewayState peerState = peer.state();
            members++;
            leaderPresent |= peerState.getLeader();
            if (!peerState.getResignedTerm().isEmpty()) {
                state.addResignedTerms(peerState.getResignedTerm());
            }
            if (peerState.getReady() && !peerState.getStopping()) {
                if (!peerState.getLinks().getIsolated()) {
                    state.addReadyHosts(peerState.getHost());
                }
                storeReachable |= peerState.getStoreReachable();
            }
        }
        state.setLeader(leaderPresent).setMembers(members).setStoreReachable(storeReachable);
        addUpstreamUses(state, nowMillis);
        gateway.links().addTo(state, nowMillis);
        gateway.quota()
                .totalsExcept(CELL_PREFIX)
                .forEach((customer, tokens) -> state.addCustomers(
                        CustomerUse.newBuilder().setCustomer(customer).setTokens(tokens)));
        if (includesUsageCounts()) {
            addUsageCounts(state);
        }
        state.addAllRollouts(
                gateway.rolloutService().cellSummaries(sequence % SUMMARIES_PER_ROLLOUT_STATISTICS == 0, nowMillis));
        return state.addAllZoneFlows(gateway.zoneTraffic().reportForCells(nowMillis))
                .addAllBrittleUpstreams(brittleExchange.claimsOfCell(nowMillis))
                .setCrashEvidence(PromptEvidenceCodec.encode(
                        gateway.promptQuarantine().combinedEvidence(peer -> !peer.startsWith(CELL_PREFIX), nowMillis),
                        nowMillis))
                .build();
    }

    private boolean includesUsageCounts() {
        return sequence % SUMMARIES_PER_USAGE_COUNT == 0;
    }

    private void addUsageCounts(CellState.Builder state) {
        state.addAllEngines(EngineStatisticsCodec.encode(
                gateway.engineModels(), model -> model.totalExcept(peer -> peer.startsWith(CELL_PREFIX))));
        speedCodec
                .encode(gateway.upstreams().all(), speed -> speed.totalExcept(peer -> peer.startsWith(CELL_PREFIX)))
                .ifPresent(state::setSpeeds);
        gateway.usage()
                .latestExcept(PeerExchange.REPORTED_WINDOWS, CELL_PREFIX)
                .forEach((window, counts) ->
                        counts.forEach((customer, requests) -> state.addWindows(WindowCount.newBuilder()
                                .setWindow(window)
                                .setCustomer(customer)
                                .setRequests(requests))));
    }

    private void addUpstreamUses(CellState.Builder state, long nowMillis) {
        for (Upstream upstream : gateway.upstreams().all()) {
            UpstreamLoad.Work work = upstream.load().totalExcluding(CELL_PREFIX, nowMillis);
            if (work.inFlight() > 0) {
                state.addUses(UpstreamUseCodec.encode(upstream.entry().id(), work));
            }
        }
    }
}
