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
import org.lovagethread.gateway.peer.PeerTable.Peer;
import org.lovagethread.gateway.peer.PeerTable.Place;
import org.lovagethread.gateway.policy.AddressPolicy.Entrance;
import org.lovagethread.gateway.upstream.Upstream;
import org.lovagethread.gateway.upstream.UpstreamLoad;
import org.lovagethread.wire.generated.CellState;
import org.lovagethread.wire.generated.CustomerUse;
import org.lovagethread.wire.generated.GatewayDatagram;
import org.lovagethread.wire.generated.GatewayState;
import org.lovagethread.wire.generated.WindowCount;

/**
 * Exchanges summaries between cells when there are many gateways.
 *
 * <p>The speaker of a cell sends its summary to the speakers of other cells and relays theirs to its members. A gateway
 * that gets a summary without being the speaker passes it to the speaker.
 */
final class CellExchange {
    /** Prefix of the names under which cells are charged, so that they are no gateways' names. */
    static final String CELL_PREFIX = "cell:";

    /** Time between two sends of a summary, in milliseconds. */
    private static final long SEND_INTERVAL_MILLIS = 250;

    /** Number of summaries of which one has the counts of usage. */
    private static final int SUMMARIES_PER_USAGE_COUNT = 4;

    private final Gateway gateway;
    private final CellTable cells;
    private final Map<String, Integer> contactAttempts = new HashMap<>();
    private long nextSendMillis;
    private long sequence;

    CellExchange(Gateway gateway, String zone) {
        this.gateway = gateway;
        this.cells = new CellTable(zone);
    }

    /** Tells whether this gateway speaks for its cell. */
    boolean isSpeaker(long nowMillis) {
        return speakerHost(nowMillis).equals(gateway.settings().host());
    }

    /** Returns the address of the speaker of this cell. */
    String speakerHost(long nowMillis) {
        return gateway.peers().speaker(gateway.isReady(), gateway.sync().mayFollow(), nowMillis);
    }

    /** Tells whether this gateway may leave the watches of the store to the speaker of its cell. */
    boolean canRelyOnSpeaker(long nowMillis) {
        if (!gateway.peers().celled() || !gateway.sync().complete() || isSpeaker(nowMillis)) {
            return false;
        }
        return gateway.peers()
                .find(speakerHost(nowMillis))
                .filter(peer -> peer.live(nowMillis))
                .isPresent();
    }

    void tick(long nowMillis) {
        if (nowMillis < nextSendMillis || !gateway.peers().celled()) {
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
            List<CellState> others = includesUsageCounts() ? cells.liveWithCounts(nowMillis) : cells.live(nowMillis);
            if (!others.isEmpty()) {
                gateway.sendToPeers(
                        GatewayDatagram.newBuilder().addAllCells(others).build(),
                        gateway.peers().hosts());
            }
        }
    }

    void receive(List<CellState> summaries, long nowMillis) {
        if (!summaries.isEmpty()) {
            gateway.peers().summaryHeard(nowMillis);
        }
        for (CellState state : summaries) {
            applyUsageCounts(state);
            if (cells.heard(state, nowMillis)) {
                apply(state, nowMillis);
                if (summaries.size() == 1 && !isSpeaker(nowMillis)) {
                    GatewayDatagram relayed =
                            GatewayDatagram.newBuilder().addCells(state).build();
                    gateway.sendToPeers(relayed, Set.of(speakerHost(nowMillis)));
                }
            }
        }
    }

    /** Returns the gateways of other cells that accept requests. */
    List<Entrance> readyGateways(long nowMillis) {
        List<Entrance> addresses = new ArrayList<>();
        if (gateway.peers().celled()) {
            for (CellState state : cells.live(nowMillis)) {
                state.getReadyHostsList().forEach(host -> addresses.add(new Entrance(host, state.getZone())));
            }
        }
        return addresses;
    }

    /** Tells whether another cell should do the duties. */
    boolean dutiesBelongToOtherCell(long nowMillis) {
        if (!gateway.peers().celled()) {
            return false;
        }
        String zone = gateway.settings().zone();
        return cells.live(nowMillis).stream()
                .anyMatch(state -> state.getLeader()
                        || (state.getStoreReachable() && state.getZone().compareTo(zone) < 0));
    }

    /** Returns the number of gateways in cells that are not heard any more. */
    int unreachableGateways(long nowMillis) {
        return gateway.peers().celled() ? cells.silent(nowMillis) : 0;
    }

    /** Returns the speakers of other cells that know a later state, with what they know. */
    List<CellState> otherCellSummaries(long nowMillis) {
        return gateway.peers().celled() && isSpeaker(nowMillis) ? cells.live(nowMillis) : List.of();
    }

    private void apply(CellState state, long nowMillis) {
        String cell = CELL_PREFIX + state.getZone();
        state.getLeavingUpstreamsList().forEach(mark -> gateway.upstreams().leaving(mark, nowMillis));
        state.getResignedTermsList().forEach(gateway.lease()::peerResigned);
        UpstreamUseCodec.applyPeerUses(state.getUsesList(), cell, gateway.upstreams(), nowMillis);
        state.getCustomersList().forEach(use -> gateway.quota()
                .heard(CELL_PREFIX + state.getSpeaker(), use.getCustomer(), use.getTokens(), nowMillis));
    }

    /** Takes the counts of usage, which only grow, from any summary, since the next ones may have none. */
    private void applyUsageCounts(CellState state) {
        if (!state.getZone().equals(gateway.settings().zone())) {
            state.getWindowsList().forEach(count -> gateway.usage()
                    .heard(CELL_PREFIX + state.getZone(), count.getWindow(), count.getCustomer(), count.getRequests()));
        }
    }

    /** Returns one address for each other zone: its speaker, or in turn one of its instances until one answers. */
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
            List<Place> places = gateway.peers().places(zone);
            if (!places.isEmpty()) {
                int contactAttempt = contactAttempts.merge(zone, 1, Integer::sum);
                targets.add(places.get(contactAttempt % places.size()).host());
            }
        }
        return targets;
    }

    private CellState buildSummary(long nowMillis) {
        PeerTable peers = gateway.peers();
        CellState.Builder state = CellState.newBuilder()
                .setZone(gateway.settings().zone())
                .setSpeaker(gateway.settings().node() + '#' + gateway.incarnation())
                .setSpeakerHost(gateway.settings().host())
                .setSequence(sequence)
                .setConfigurationVersion(gateway.configuration()
                        .map(GatewayConfiguration::version)
                        .orElse(-1L))
                .setUpstreamsRevision(gateway.sync().upstreamsRevision())
                .addAllLeavingUpstreams(gateway.upstreams().leavingMarks());
        boolean leaderPresent = gateway.lease().holds();
        gateway.lease().resignedTerm().ifPresent(state::addResignedTerms);
        int members = 1;
        boolean storeReachable = gateway.isReady() && gateway.sync().mayFollow();
        if (gateway.isReady()) {
            state.addReadyHosts(gateway.settings().host());
        }
        for (Peer peer : peers.live(nowMillis)) {
            GatewayState peerState = peer.state();
            members++;
            leaderPresent |= peerState.getLeader();
            if (!peerState.getResignedTerm().isEmpty()) {
                state.addResignedTerms(peerState.getResignedTerm());
            }
            if (peerState.getReady() && !peerState.getStopping()) {
                state.addReadyHosts(peerState.getHost());
                storeReachable |= peerState.getStoreReachable();
            }
        }
        state.setLeader(leaderPresent).setMembers(members).setStoreReachable(storeReachable);
        addUpstreamUses(state, nowMillis);
        gateway.quota()
                .cellTotals(CELL_PREFIX)
                .forEach((customer, tokens) -> state.addCustomers(
                        CustomerUse.newBuilder().setCustomer(customer).setTokens(tokens)));
        if (includesUsageCounts()) {
            addUsageCounts(state);
        }
        return state.build();
    }

    private boolean includesUsageCounts() {
        return sequence % SUMMARIES_PER_USAGE_COUNT == 0;
    }

    private void addUsageCounts(CellState.Builder state) {
        gateway.usage()
                .newest(PeerExchange.REPORTED_WINDOWS, CELL_PREFIX)
                .forEach((window, counts) ->
                        counts.forEach((customer, requests) -> state.addWindows(WindowCount.newBuilder()
                                .setWindow(window)
                                .setCustomer(customer)
                                .setRequests(requests))));
    }

    private void addUpstreamUses(CellState.Builder state, long nowMillis) {
        for (Upstream upstream : gateway.upstreams().all()) {
            UpstreamLoad.Work work = upstream.load().totalExcept(CELL_PREFIX, nowMillis);
            if (work.inFlight() > 0) {
                state.addUses(UpstreamUseCodec.encode(upstream.entry().id(), work));
            }
        }
    }
}
