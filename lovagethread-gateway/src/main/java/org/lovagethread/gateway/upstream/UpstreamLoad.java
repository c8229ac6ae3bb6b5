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
     * @param unreadTokens the prompt tokens of requests without a first event
     * @param memoryTokens the tokens in memory for requests in progress
     */
    public record Work(int inFlight, long unreadTokens, long memoryTokens) {
        /** No work. */
        public static final Work NONE = new Work(0, 0, 0);

        private Work plus(int requests, long unread, long memory) {
            return new Work(inFlight + requests, unreadTokens + unread, memoryTokens + memory);
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
        own = own.plus(1, promptTokens, memoryTokens);
    }

    /**
     * Notes that a request of this gateway produced its first event.
     *
     * @param promptTokens the tokens given when it was started
     */
    public void promptRead(long promptTokens) {
        own = own.plus(0, -promptTokens, 0);
    }

    /**
     * Notes that a request of this gateway ended.
     *
     * @param unreadTokens the tokens given when it was started, or zero if its prompt was read
     * @param memoryTokens the tokens given when it was started
     */
    public void ended(long unreadTokens, long memoryTokens) {
        own = own.plus(-1, -unreadTokens, -memoryTokens);
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
                Work work = entry.getValue().work();
                sum = sum.plus(work.inFlight(), work.unreadTokens(), work.memoryTokens());
            }
        }
        return sum;
    }
}
