package org.lovagethread.gateway.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lovagethread.gateway.upstream.LeavingMark;
import org.lovagethread.gateway.upstream.UpstreamTable;

/** Encodes and decodes leaving marks with their lifetimes in messages between gateways. */
final class LeavingMarkCodec {
    private LeavingMarkCodec() {}

    /**
     * Encodes the lifetimes of marks.
     *
     * @param marks the remaining lifetimes in milliseconds by mark
     * @return the lifetimes in the order of the marks
     */
    static List<Integer> lifetimes(Map<LeavingMark, Long> marks) {
        return marks.values().stream().map(Long::intValue).toList();
    }

    /**
     * Encodes marks.
     *
     * @param marks the remaining lifetimes in milliseconds by mark
     * @return the text forms of the marks
     */
    static List<String> texts(Map<LeavingMark, Long> marks) {
        return marks.keySet().stream().map(LeavingMark::text).toList();
    }

    /**
     * Applies the marks of a peer.
     *
     * @param marks the marks
     * @param lifetimes their lifetimes in milliseconds; empty if the peer runs a version that does not send them
     * @param upstreams the upstreams to update
     * @param nowMillis the current time in milliseconds
     * @return the marks of available upstreams that became leaving
     */
    static List<String> applyPeer(
            List<String> marks, List<Integer> lifetimes, UpstreamTable upstreams, long nowMillis) {
        List<String> changed = new ArrayList<>();
        for (int i = 0; i < marks.size(); i++) {
            long remainingMillis = i < lifetimes.size() ? lifetimes.get(i) : UpstreamTable.LEAVING_MARK_MILLIS;
            Optional<LeavingMark> mark = LeavingMark.parse(marks.get(i));
            if (mark.isPresent() && upstreams.markLeaving(mark.get(), remainingMillis, nowMillis)) {
                changed.add(marks.get(i));
            }
        }
        return changed;
    }
}
