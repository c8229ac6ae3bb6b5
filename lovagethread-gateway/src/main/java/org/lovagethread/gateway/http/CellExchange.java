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
    static final String CELL = "cell:";

    /** Time between two sends of a summary, in milliseconds. */
    private static final long TELL_MILLIS = 250;

    /** Number of summaries of which one has the counts of usage. */
    private static final int SUMMARIES_A_COUNT = 4;

    private final Gateway gateway;
    private final CellTable cells;
    private final Map<String, Integer> attempts = new HashMap<>();
    private long nextTellMillis;
    private long sequence;

    CellExchange(Gateway gateway, String zone) {
        this.gateway = gateway;
        this.cells = new CellTable(zone);
    }

    /** Tells whether this gateway speaks for its cell. */
    boolean speaks(long nowMillis) {
        return speaker(nowMillis).equals(gateway.settings().host());
    }

    /** Returns the address of the speaker of this cell. */
    String speaker(long nowMillis) {
        return gateway.peers().speakerHost(gateway.ready(), gateway.sync().canWatch(), nowMillis);
    }

    /** Tells whether this gateway may leave the watches of the store to the speaker of its cell. */
    boolean followsSpeaker(long nowMillis) {
        if (!gateway.peers().usesCells() || !gateway.sync().isComplete() || speaks(nowMillis)) {
            return false;
        }
        return gateway.peers()
                .find(speaker(nowMillis))
                .filter(peer -> peer.isLive(nowMillis))
                .isPresent();
    }

    void tick(long nowMillis) {
        if (nowMillis < nextTellMillis || !gateway.peers().usesCells()) {
            return;
        }
        nextTellMillis = nowMillis + TELL_MILLIS;
        if (speaks(nowMillis)) {
            sequence++;
            gateway.sendToPeers(
                    GatewayDatagram.newBuilder().addCells(summary(nowMillis)).build(), targets(nowMillis));
            List<CellState> others =
                    tellsCounts() ? cells.liveSummariesWithUsage(nowMillis) : cells.liveSummaries(nowMillis);
            if (!others.isEmpty()) {
                gateway.sendToPeers(
                        GatewayDatagram.newBuilder().addAllCells(others).build(),
                        gateway.peers().targetHosts());
            }
        }
    }

    void heard(List<CellState> summaries, long nowMillis) {
        if (!summaries.isEmpty()) {
            gateway.peers().recordCellSummary(nowMillis);
        }
        for (CellState state : summaries) {
            takeCounts(state);
            if (cells.update(state, nowMillis)) {
                take(state, nowMillis);
                if (summaries.size() == 1 && !speaks(nowMillis)) {
                    GatewayDatagram relayed =
                            GatewayDatagram.newBuilder().addCells(state).build();
                    gateway.sendToPeers(relayed, Set.of(speaker(nowMillis)));
                }
            }
        }
    }

    /** Returns the gateways of other cells that accept requests. */
    List<Entrance> entrances(long nowMillis) {
        List<Entrance> entrances = new ArrayList<>();
        if (gateway.peers().usesCells()) {
            for (CellState state : cells.liveSummaries(nowMillis)) {
                state.getReadyHostsList().forEach(host -> entrances.add(new Entrance(host, state.getZone())));
            }
        }
        return entrances;
    }

    /** Tells whether another cell should do the duties. */
    boolean dutiesElsewhere(long nowMillis) {
        if (!gateway.peers().usesCells()) {
            return false;
        }
        String zone = gateway.settings().zone();
        return cells.liveSummaries(nowMillis).stream()
                .anyMatch(state -> state.getLeader()
                        || (state.getStoreReachable() && state.getZone().compareTo(zone) < 0));
    }

    /** Returns the number of gateways in cells that are not heard any more. */
    int silent(long nowMillis) {
        return gateway.peers().usesCells() ? cells.unreachableCount(nowMillis) : 0;
    }

    /** Returns the speakers of other cells that know a later state, with what they know. */
    List<CellState> live(long nowMillis) {
        return gateway.peers().usesCells() && speaks(nowMillis) ? cells.liveSummaries(nowMillis) : List.of();
    }

    private void take(CellState state, long nowMillis) {
        String cell = CELL + state.getZone();
        state.getLeavingUpstreamsList().forEach(mark -> gateway.upstreams().markLeaving(mark, nowMillis));
        state.getResignedTermsList().forEach(gateway.lease()::peerResigned);
        UpstreamUses.take(state.getUsesList(), cell, gateway.upstreams(), nowMillis);
        state.getCustomersList().forEach(use -> gateway.quota()
                .heard(CELL + state.getSpeaker(), use.getCustomer(), use.getTokens(), nowMillis));
    }

    /** Takes the counts of usage, which only grow, from any summary, since the next ones may have none. */
    private void takeCounts(CellState state) {
        if (!state.getZone().equals(gateway.settings().zone())) {
            state.getWindowsList().forEach(count -> gateway.usage()
                    .heard(CELL + state.getZone(), count.getWindow(), count.getCustomer(), count.getRequests()));
        }
    }

    /** Returns one address for each other zone: its speaker, or in turn one of its instances until one answers. */
    private Set<String> targets(long nowMillis) {
        Set<String> targets = new LinkedHashSet<>();
        for (String zone : gateway.settings().regionByZone().keySet()) {
            if (zone.equals(gateway.settings().zone())) {
                continue;
            }
            var known = cells.find(zone, nowMillis);
            if (known.isPresent()) {
                targets.add(known.get().getSpeakerHost());
                attempts.remove(zone);
                continue;
            }
            List<GatewayInstance> places = gateway.peers().instances(zone);
            if (!places.isEmpty()) {
                int attempt = attempts.merge(zone, 1, Integer::sum);
                targets.add(places.get(attempt % places.size()).host());
            }
        }
        return targets;
    }

    private CellState summary(long nowMillis) {
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
        boolean leader = gateway.lease().holds();
        gateway.lease().resignedTerm().ifPresent(state::addResignedTerms);
        int members = 1;
        boolean reaches = gateway.ready() && gateway.sync().canWatch();
        if (gateway.ready()) {
            state.addReadyHosts(gateway.settings().host());
        }
        for (Peer peer : peers.livePeers(nowMillis)) {
            GatewayState word = peer.state();
            members++;
            leader |= word.getLeader();
            if (!word.getResignedTerm().isEmpty()) {
                state.addResignedTerms(word.getResignedTerm());
            }
            if (word.getReady() && !word.getStopping()) {
                state.addReadyHosts(word.getHost());
                reaches |= word.getStoreReachable();
            }
        }
        state.setLeader(leader).setMembers(members).setStoreReachable(reaches);
        addUses(state, nowMillis);
        gateway.quota()
                .cellTotals(CELL)
                .forEach((customer, tokens) -> state.addCustomers(
                        CustomerUse.newBuilder().setCustomer(customer).setTokens(tokens)));
        if (tellsCounts()) {
            addCounts(state);
        }
        return state.build();
    }

    private boolean tellsCounts() {
        return sequence % SUMMARIES_A_COUNT == 0;
    }

    private void addCounts(CellState.Builder state) {
        gateway.usage()
                .newest(PeerExchange.TOLD_WINDOWS, CELL)
                .forEach((window, counts) ->
                        counts.forEach((customer, requests) -> state.addWindows(WindowCount.newBuilder()
                                .setWindow(window)
                                .setCustomer(customer)
                                .setRequests(requests))));
    }

    private void addUses(CellState.Builder state, long nowMillis) {
        for (Upstream upstream : gateway.upstreams().all()) {
            UpstreamLoad.Work work = upstream.load().totalExcluding(CELL, nowMillis);
            if (work.inFlight() > 0) {
                state.addUses(UpstreamUses.encode(upstream.entry().id(), work));
            }
        }
    }
}
