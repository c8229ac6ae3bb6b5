package org.lovagethread.core.upstream;

/** Lists the ways to rank the upstreams that could take an attempt; the lowest cost is chosen. */
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
    /** Ranks by the number of attempts in flight, this node's own and those that its peers reported. */
    LEAST_IN_FLIGHT {
        @Override
        double cost(Candidate candidate) {
            return candidate.upstream().inFlight() + candidate.upstream().peersInFlight();
        }
    },
    /** Ranks by a hash of the prompt prefix, so that the same prefix meets the same upstream. */
    PREFIX_HASH {
        @Override
        double cost(Candidate candidate) {
            return (candidate.prefixKey() + candidate.upstream().id()).hashCode() & Integer.MAX_VALUE;
        }
    },
    /** Takes the upstream that this node used the longest time ago. */
    ROUND_ROBIN {
        @Override
        double cost(Candidate candidate) {
            return candidate.upstream().lastAttemptNumber();
        }
    },
    /** Takes the one with fewer attempts in flight of two that are drawn at random. */
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
    private static final double CACHED_ELSEWHERE_SHARE = 0.1;
    private static final double UNKNOWN_AT_PREFERRED_SHARE = 0.3;
    private static final double NOT_DRAWN_PENALTY = 1e9;

    /**
     * One upstream that could take an attempt.
     *
     * @param upstream the upstream
     * @param prefixKey the digest of the prompt prefix; empty for plain calls
     * @param prefixCached whether the upstream probably holds the prefix in its cache
     * @param preferred whether the prefix belongs to the upstream by hash, so that all nodes send it there
     * @param promptTokens the length of the prompt
     * @param networkCostMillis the cost of the way to the upstream, in milliseconds
     * @param randomIndex the position in a random order of the candidates, from 0
     */
    record Candidate(
            Upstream upstream,
            String prefixKey,
            boolean prefixCached,
            boolean preferred,
            int promptTokens,
            double networkCostMillis,
            int randomIndex) {

        /** Estimates the share of the prompt that the upstream has to process. */
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
