package org.lovagethread.gateway.upstream;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/** Work in progress at one upstream: what this gateway has sent, and what its peers last told. */
public final class UpstreamLoad {
    /** Age from which a peer's word no longer counts, in milliseconds. */
    private static final long PEER_WORD_MILLIS = 1_500;

    private final Map<String, PeerWord> peers = new HashMap<>();
    private Work own = Work.NONE;

    /**
     * An amount of work.
     *
     * @param inFlight the requests in progress
     * @param generating those of them that have produced an event
     * @param unreadTokens the prompt tokens of requests without a first event
     * @param memoryTokens the tokens in memory for requests in progress
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

    private record PeerWord(Work work, long deadlineMillis) {}

    /**
     * Notes that this gateway started a request.
     *
     * @param promptTokens the tokens that the upstream has to read
     * @param memoryTokens the tokens that the request keeps in memory
     */
    public void started(long promptTokens, long memoryTokens) {
        own = own.plus(new Work(1, 0, promptTokens, memoryTokens));
    }

    /**
     * Notes that a request of this gateway produced its first event.
     *
     * @param promptTokens the tokens given when it was started
     */
    public void promptRead(long promptTokens) {
        own = own.plus(new Work(0, 1, -promptTokens, 0));
    }

    /**
     * Notes that a request of this gateway ended.
     *
     * @param promptRead whether it had produced an event
     * @param promptTokens the tokens given when it was started
     * @param memoryTokens the tokens given when it was started
     */
    public void ended(boolean promptRead, long promptTokens, long memoryTokens) {
        own = own.plus(promptRead ? new Work(-1, -1, 0, -memoryTokens) : new Work(-1, 0, -promptTokens, -memoryTokens));
    }

    /**
     * Replaces what a peer told.
     *
     * @param peer the name of the peer
     * @param work the work of the peer at this upstream
     * @param nowMillis the present time in milliseconds
     */
    public void heard(String peer, Work work, long nowMillis) {
        peers.put(peer, new PeerWord(work, nowMillis + PEER_WORD_MILLIS));
    }

    /**
     * Returns the work of this gateway.
     *
     * @return the work
     */
    public Work own() {
        return own;
    }

    /**
     * Returns the work of this gateway and all peers lately heard.
     *
     * @param nowMillis the present time in milliseconds
     * @return the sum
     */
    public Work total(long nowMillis) {
        return sum(peer -> true, nowMillis);
    }

    /**
     * Returns the work of this gateway and the peers lately heard whose names do not begin with a prefix.
     *
     * @param prefix the prefix
     * @param nowMillis the present time in milliseconds
     * @return the sum
     */
    public Work totalExcept(String prefix, long nowMillis) {
        return sum(peer -> !peer.startsWith(prefix), nowMillis);
    }

    private Work sum(Predicate<String> counted, long nowMillis) {
        peers.values().removeIf(word -> word.deadlineMillis() <= nowMillis);
        Work sum = own;
        for (Map.Entry<String, PeerWord> entry : peers.entrySet()) {
            if (counted.test(entry.getKey())) {
                sum = sum.plus(entry.getValue().work());
            }
        }
        return sum;
    }
}
