package org.lovagethread.core.upstream;

/** Policy that ranks the candidate upstreams of an attempt; the candidate with the lowest cost is selected. */
public enum RoutingPolicy {
    /** Ranks by the predicted time to the first token. */
    PREDICTED {
        @Override
        double cost(Candidate candidate) {
            Upstream upstream = candidate.upstream();
            double prefill = candidate.promptTokens() * MILLIS_PER_PROMPT_TOKEN * candidate.uncachedShare();
            double backlog = upstream.pendingPromptTokens() * MILLIS_PER_PROMPT_TOKEN;
            double contention = (upstream.inFlight() + upstream.peersInFlight()) * MILLIS_PER_STREAM;
            return prefill + backlog + contention + candidate.networkCostMillis();
        }
    },
    /** Ranks by the number of attempts in flight, those of this node and those reported by its peers. */
    LEAST_IN_FLIGHT {
        @Override
        double cost(Candidate candidate) {
            return candidate.upstream().inFlight() + candidate.upstream().peersInFlight();
        }
    },
    /** Ranks by a hash of the prompt prefix, which sends the same prefix to the same upstream. */
    PREFIX_HASH {
        @Override
        double cost(Candidate candidate) {
            return (candidate.prefixKey() + candidate.upstream().id()).hashCode() & Integer.MAX_VALUE;
        }
    },
    /** Selects the upstream that this node used least recently. */
    ROUND_ROBIN {
        @Override
        double cost(Candidate candidate) {
            return candidate.upstream().lastAttemptNumber();
        }
    },
    /** Draws two upstreams at random and selects the one with fewer attempts in flight. */
    TWO_CHOICES {
        @Override
        double cost(Candidate candidate) {
            boolean drawn = candidate.randomIndex() < 2;
            double load = candidate.upstream().inFlight() + candidate.upstream().peersInFlight();
            return drawn ? load : load + NOT_DRAWN_PENALTY;
        }
    };

    private static final double MILLIS_PER_PROMPT_TOKEN = 0.1;
    private static final double MILLIS_PER_STREAM = 6.0;

    /** Uncached share of a prompt at an upstream that is not preferred but probably has the prefix in its cache. */
    private static final double CACHED_ELSEWHERE_SHARE = 0.1;

    /** Uncached share of a prompt at the preferred upstream if this node has not sent the prefix there. */
    private static final double UNKNOWN_AT_PREFERRED_SHARE = 0.3;

    private static final double NOT_DRAWN_PENALTY = 1e9;

    /**
     * Upstream that is eligible for an attempt.
     *
     * @param upstream the upstream
     * @param prefixKey the digest of the prompt prefix; empty for plain calls
     * @param prefixCached whether the upstream probably has the prefix in its cache
     * @param preferred whether the upstream is the one that all nodes prefer for the prefix by hash
     * @param promptTokens the length of the prompt in tokens
     * @param networkCostMillis the network cost of calling the upstream, in milliseconds
     * @param randomIndex the position of the candidate in a random order, from 0
     */
    record Candidate(
            Upstream upstream,
            String prefixKey,
            boolean prefixCached,
            boolean preferred,
            int promptTokens,
            double networkCostMillis,
            int randomIndex) {

        /** Estimates the share of the prompt that the upstream has to compute because it is not cached. */
        double uncachedShare() {
            if (prefixCached) {
                return preferred ? 0 : CACHED_ELSEWHERE_SHARE;
            }
            return preferred ? UNKNOWN_AT_PREFERRED_SHARE : 1;
        }
    }

    /** Returns the cost of a candidate. */
    abstract double cost(Candidate candidate);
}
