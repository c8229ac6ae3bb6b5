package org.lovagethread.gateway.http;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lovagethread.gateway.upstream.Upstream;
import org.lovagethread.gateway.upstream.UpstreamLoad.Work;
import org.lovagethread.gateway.upstream.UpstreamTable;
import org.lovagethread.wire.generated.UpstreamUse;

/** Encodes and decodes the load of upstreams in messages between gateways. */
final class UpstreamUseCodec {
    private UpstreamUseCodec() {}

    /**
     * Encodes the load of one upstream.
     *
     * @param upstream the identifier of the upstream
     * @param work the work in progress
     * @return the message
     */
    static UpstreamUse encode(String upstream, Work work) {
        return UpstreamUse.newBuilder()
                .setUpstream(upstream)
                .setInFlight(work.inFlight())
                .setGenerating(work.generating())
                .setUnreadTokens((int) Math.min(Integer.MAX_VALUE, work.unreadTokens()))
                .setMemoryTokens((int) Math.min(Integer.MAX_VALUE, work.memoryTokens()))
                .build();
    }

    /**
     * Replaces the load reported by a peer. The peer has no work at upstreams missing from its message.
     *
     * @param uses the loads reported by the peer
     * @param peer the name of the peer
     * @param upstreams the upstreams to update
     * @param nowMillis the current time in milliseconds
     */
    static void applyPeerUses(List<UpstreamUse> uses, String peer, UpstreamTable upstreams, long nowMillis) {
        Map<String, Work> workByUpstream = new HashMap<>();
        for (UpstreamUse use : uses) {
            workByUpstream.put(
                    use.getUpstream(),
                    new Work(use.getInFlight(), use.getGenerating(), use.getUnreadTokens(), use.getMemoryTokens()));
        }
        for (Upstream upstream : upstreams.all()) {
            Work work = workByUpstream.getOrDefault(upstream.entry().id(), Work.NONE);
            upstream.load().updatePeer(peer, work, nowMillis);
        }
    }
}
