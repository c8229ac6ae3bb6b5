package org.lovagethread.gateway.upstream;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/** The work in progress at one upstream: that of this gateway and that which its peers reported. Not thread-safe. */
public final class UpstreamLoad {
    /** Age from which the report of a peer is discarded, in milliseconds. */
    private static final long PEER_REPORT_TIMEOUT_MILLIS = 1_500;

    private final Map<String, PeerReport> reportByPeer = new HashMap<>();
    private Work local = Work.NONE;

    /**
     * An amount of work.
     *
     * @param inFlight the requests in progress
     * @param generating the requests in progress that have produced an event
     * @param unreadTokens the prompt tokens of the requests that have not produced an event
     * @param memoryTokens the tokens that the requests in progress hold in memory
     */
    public record Work(int inFlight, int generating, long unreadTokens, long memoryTokens) {
        /** No work. */
        public static final Work NONE = new Work(0, 0, 0, 0);

        private Work plus(Work other) {
            return new Work(
                    inFlight + other.inFlight,
                    generating + other.generating,
                    unreadTokens + other.unreadTokens,
                    memoryTokens + other.memoryTokens);
        }
    }

    private record PeerReport(Work work, long expiryMillis) {}

    /**
     * Records that this gateway started a request.
     *
     * @param promptTokens the prompt tokens that the upstream has to process
     * @param memoryTokens the tokens that the request holds in memory
     */
    public void recordStart(long promptTokens, long memoryTokens) {
        local = local.plus(new Work(1, 0, promptTokens, memoryTokens));
    }

    /**
     * Records that a request of this gateway produced its first event.
     *
     * @param promptTokens the prompt tokens passed to {@link #recordStart}
     */
    public void recordFirstEvent(long promptTokens) {
        local = local.plus(new Work(0, 1, -promptTokens, 0));
    }

    /**
     * Records that a request of this gateway ended.
     *
     * @param hasProducedEvent whether the request had produced an event
     * @param promptTokens the prompt tokens passed to {@link #recordStart}
     * @param memoryTokens the memory tokens passed to {@link #recordStart}
     */
    public void recordEnd(boolean hasProducedEvent, long promptTokens, long memoryTokens) {
        local = local.plus(
                hasProducedEvent ? new Work(-1, -1, 0, -memoryTokens) : new Work(-1, 0, -promptTokens, -memoryTokens));
    }

    /**
     * Replaces the report of a peer.
     *
     * @param peer the name of the peer
     * @param work the work of the peer at this upstream
     * @param nowMillis the current time in milliseconds
     */
    public void updatePeer(String peer, Work work, long nowMillis) {
        reportByPeer.put(peer, new PeerReport(work, nowMillis + PEER_REPORT_TIMEOUT_MILLIS));
    }

    /**
     * Returns the work of this gateway alone.
     *
     * @return the work
     */
    public Work local() {
        return local;
    }

    /**
     * Returns the total work of this gateway and of all peers with a recent report.
     *
     * @param nowMillis the current time in milliseconds
     * @return the sum
     */
    public Work total(long nowMillis) {
        return sum(peer -> true, nowMillis);
    }

    /**
     * Returns the total work of this gateway and of the peers with a recent report, except peers with a name prefix.
     *
     * @param prefix the prefix of the names of the excluded peers
     * @param nowMillis the current time in milliseconds
     * @return the sum
     */
    public Work totalExcluding(String prefix, long nowMillis) {
        return sum(peer -> !peer.startsWith(prefix), nowMillis);
    }

    private Work sum(Predicate<String> peerFilter, long nowMillis) {
        reportByPeer.values().removeIf(report -> report.expiryMillis() <= nowMillis);
        Work sum = local;
        for (Map.Entry<String, PeerReport> entry : reportByPeer.entrySet()) {
            if (peerFilter.test(entry.getKey())) {
                sum = sum.plus(entry.getValue().work());
            }
        }
        return sum;
    }
}
