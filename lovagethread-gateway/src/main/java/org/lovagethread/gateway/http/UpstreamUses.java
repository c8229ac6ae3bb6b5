package org.lovagethread.gateway.http;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lovagethread.gateway.upstream.Upstream;
import org.lovagethread.gateway.upstream.UpstreamLoad.Work;
import org.lovagethread.gateway.upstream.UpstreamTable;
import org.lovagethread.wire.generated.UpstreamUse;

/** Translates the work in progress at upstreams to and from messages between gateways. */
final class UpstreamUses {
    private UpstreamUses() {}

    /**
     * Encodes the work at one upstream.
     *
     * @param upstream the id of the upstream
     * @param work the work
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
     * Takes what a peer tells; an upstream that it does not name has no work of it.
     *
     * @param uses the messages
     * @param peer the name of the peer
     * @param upstreams the upstreams that take the work
     * @param nowMillis the present time in milliseconds
     */
    static void take(List<UpstreamUse> uses, String peer, UpstreamTable upstreams, long nowMillis) {
        Map<String, Work> works = new HashMap<>();
        for (UpstreamUse use : uses) {
            works.put(
                    use.getUpstream(),
                    new Work(use.getInFlight(), use.getGenerating(), use.getUnreadTokens(), use.getMemoryTokens()));
        }
        for (Upstream upstream : upstreams.all()) {
            Work work = works.getOrDefault(upstream.entry().id(), Work.NONE);
            upstream.load().updatePeer(peer, work, nowMillis);
        }
    }
}
