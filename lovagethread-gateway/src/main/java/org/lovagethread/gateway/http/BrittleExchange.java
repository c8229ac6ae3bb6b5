package org.lovagethread.gateway.http;

import java.util.List;
import org.lovagethread.gateway.log.LogRateLimiter;
import org.lovagethread.gateway.upstream.BrittleUpstreams;
import org.lovagethread.wire.generated.BrittleUpstream;

/** Exchanges the claims to the room of brittle upstreams with the peers, and reports their changes. */
final class BrittleExchange {
    /** Minimum interval between two messages of which the first is sent early, in milliseconds. */
    private static final long MIN_SEND_INTERVAL_MILLIS = 60;

    /** Time in which a message reaches all peers even if one is lost, while each gateway sends to all others. */
    private static final long NOTICE_MILLIS = 150;

    /** The same time in cell mode, in which a message is relayed twice. */
    private static final long CELL_NOTICE_MILLIS = 800;

    private static final int MAX_LINES_PER_SECOND = 20;

    private final Gateway gateway;
    private final LogRateLimiter lines = new LogRateLimiter(MAX_LINES_PER_SECOND);
    private long earliestSendMillis;

    BrittleExchange(Gateway gateway) {
        this.gateway = gateway;
    }

    /** Calls the requests that wait, and reports the changes since the last call. */
    void tick(long nowMillis) {
        gateway.roomQueue().callAll();
        for (BrittleUpstreams.Change change : brittle().takeUnreported()) {
            if (lines.tryAcquire(nowMillis)) {
                gateway.log()
                        .add(gateway.log()
                                .line("upstream-brittle")
                                .put("change", change.kind().label())
                                .put("upstream", change.upstream().id())
                                .put("service", change.upstream().service())
                                .put("incarnation", change.upstream().startedAtMillis())
                                .put("max_rejections", change.maxRejections())
                                .put("room", change.room())
                                .put("omitted_before", lines.resetOmitted()));
            }
        }
    }

    /** Returns whether the next message to the peers should be sent early. */
    boolean isUrgent(long nowMillis) {
        return brittle().isUrgent() && nowMillis >= earliestSendMillis;
    }

    /** Divides the room of the upstreams, and returns the claims of this gateway for the next message. */
    List<BrittleUpstream> nextClaims(long nowMillis) {
        earliestSendMillis = nowMillis + MIN_SEND_INTERVAL_MILLIS;
        boolean usesCells = gateway.peers().usesCells();
        var cluster = new BrittleUpstreams.Cluster(
                gateway.settings().node(),
                gateway.gatewayCount(),
                usesCells ? CELL_NOTICE_MILLIS : NOTICE_MILLIS,
                gateway.clusterMillis());
        brittle().divide(gateway.upstreams().all(), cluster, gateway.roomQueue()::waiting, nowMillis);
        return BrittleUpstreamCodec.encode(brittle().reports(nowMillis));
    }

    /** Returns the claims of the gateways of this cell. */
    List<BrittleUpstream> claimsOfCell(long nowMillis) {
        return BrittleUpstreamCodec.encode(
                brittle().reports(peer -> !peer.startsWith(CellExchange.CELL_PREFIX), nowMillis));
    }

    /** Applies the claims of a peer or a cell. */
    void apply(String peer, List<BrittleUpstream> claims, long nowMillis) {
        brittle().applyPeer(peer, BrittleUpstreamCodec.decode(claims), gateway.upstreams(), nowMillis);
    }

    private BrittleUpstreams brittle() {
        return gateway.upstreams().brittle();
    }
}
