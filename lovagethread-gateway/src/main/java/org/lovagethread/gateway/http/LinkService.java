package org.lovagethread.gateway.http;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import org.lovagethread.gateway.link.LinkChange;
import org.lovagethread.gateway.link.LinkMonitor;
import org.lovagethread.gateway.link.LinkStatement;
import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.log.GatewayMetrics;
import org.lovagethread.gateway.log.LogLine;
import org.lovagethread.gateway.peer.PeerTable;
import org.lovagethread.gateway.upstream.Upstream;
import org.lovagethread.gateway.upstream.UpstreamEntry;
import org.lovagethread.wire.generated.CellState;
import org.lovagethread.wire.generated.GatewayState;

/** Connects the judgement of the gateway's links to all upstreams with its connections, its peers and the log. */
final class LinkService {
    /** Interval between two judgements, in milliseconds. */
    private static final long INTERVAL_MILLIS = 50;

    /** Maximum time that the summary of another cell spends at the speakers that pass it on, in milliseconds. */
    private static final long MAX_CELL_DELAY_MILLIS = 600;

    private final Gateway gateway;
    private final LinkMonitor monitor = new LinkMonitor(Math::random);
    private final LinkReporter reporter;
    private final LinkProber prober;
    private long losses;
    private long nextTickMillis;

    LinkService(Gateway gateway, EventLoop loop) {
        this.gateway = gateway;
        this.reporter = new LinkReporter(monitor, gateway::nowMillis);
        this.prober = new LinkProber(loop, reporter);
    }

    /** Returns what connections to upstreams report to. */
    LinkReporter reporter() {
        return reporter;
    }

    /** Returns whether this gateway is cut off from all upstreams although others should be reachable. */
    boolean isIsolated() {
        return monitor.isIsolated();
    }

    /** Returns whether callers are better served by other gateways, so that their connections are to be closed. */
    boolean leadsCallersAway() {
        return monitor.isIsolated() && monitor.isPeerConnected(gateway.nowMillis());
    }

    /** Draws conclusions, begins probes, and returns whether peers must learn of a change at once. */
    boolean tick(long nowMillis) {
        if (nowMillis < nextTickMillis) {
            return false;
        }
        nextTickMillis = nowMillis + INTERVAL_MILLIS;
        List<UpstreamEntry> candidates = new ArrayList<>();
        boolean requestsUnderWay = false;
        for (Upstream upstream : gateway.upstreams().all()) {
            requestsUnderWay |= upstream.load().local().inFlight() > 0;
            if (!upstream.entry().leaving()) {
                candidates.add(upstream.entry());
            }
        }
        monitor.tick(candidates, requestsUnderWay, nowMillis);
        monitor.beginProbes(nowMillis).forEach(prober::probe);
        return monitor.takeChange().map(this::onChange).isPresent();
    }

    /** Adds what this gateway knows about its links to its state. */
    void addTo(GatewayState.Builder state, long nowMillis) {
        state.setLinks(LinkStateCodec.encode(monitor.statement(nowMillis)).toBuilder()
                .setRelayedRequests(gateway.relays().server().activeRequests()));
    }

    /** Applies the state of a peer. */
    void applyPeer(GatewayState state, long nowMillis) {
        monitor.recordPeer(state.getNode(), LinkStateCodec.decode(state.getLinks()), nowMillis);
    }

    /** Adds what the gateways of this cell know about their links to the summary of the cell. */
    void addTo(CellState.Builder summary, long nowMillis) {
        List<LinkStatement> statements = new ArrayList<>();
        statements.add(monitor.statement(nowMillis));
        for (PeerTable.Peer peer : gateway.peers().livePeers(nowMillis)) {
            statements.add(LinkStateCodec.decode(peer.state().getLinks()).delayedBy(nowMillis - peer.receivedMillis()));
        }
        summary.setLinks(LinkStateCodec.encode(LinkStatement.combine(statements)));
    }

    /** Applies the summary of another cell, named by the cell. */
    void applyCell(String cell, CellState summary, long nowMillis) {
        LinkStatement statement = LinkStateCodec.decode(summary.getLinks());
        monitor.recordPeer(cell, statement.delayedBy(MAX_CELL_DELAY_MILLIS), nowMillis);
    }

    /** Sets the gauges of the links. */
    void publish(GatewayMetrics metrics) {
        metrics.setState("links_isolated", monitor.isIsolated() ? 1 : 0);
        metrics.setState("links_lost", losses);
        metrics.setState("link_probes", prober.probes());
    }

    private LinkChange onChange(LinkChange change) {
        EventLog log = gateway.log();
        if (change instanceof LinkChange.Lost lost) {
            losses++;
            log.add(log.line("links-lost")
                    .put("failed_upstreams", lost.failedUpstreams())
                    .put("known_upstreams", lost.knownUpstreams())
                    .put("reaching_peers", lost.reachingPeers())
                    .put("trouble_ms", lost.troubleMillis()));
        } else if (change instanceof LinkChange.Restored restored) {
            gateway.upstreams().all().forEach(upstream -> upstream.failureDetector()
                    .forget());
            LogLine line = log.line("links-restored");
            log.add(line.put("answered_upstreams", restored.answeredUpstreams())
                    .put("isolated_ms", restored.isolatedMillis()));
        }
        return change;
    }
}
