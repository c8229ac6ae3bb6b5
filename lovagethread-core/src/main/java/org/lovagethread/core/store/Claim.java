package org.lovagethread.core.store;

import java.util.Objects;
import java.util.Optional;

/**
 * Records who may run the call that belongs to an idempotency key.
 *
 * @param token a text unique to the writer and attempt, by which a writer recognises its own claim
 * @param node the node that owns the claim
 * @param bodyDigest the digest of operation and body
 * @param state the state of the call
 * @param answer the recorded answer; present only when the state is {@link ClaimState#ANSWERED}
 */
public record Claim(String token, String node, String bodyDigest, ClaimState state, Optional<StoredAnswer> answer) {

    /** Validates the fields. */
    public Claim {
        Objects.requireNonNull(token, "token");
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(bodyDigest, "body digest");
        Objects.requireNonNull(state, "state");
        if (answer.isPresent() != (state == ClaimState.ANSWERED)) {
            throw new IllegalArgumentException("a claim has an answer only when ANSWERED but was " + state);
        }
    }

    /**
     * Returns a copy with the answer recorded.
     *
     * @param stored the answer to record
     * @return a claim in state {@link ClaimState#ANSWERED}
     */
    public Claim withAnswer(StoredAnswer stored) {
        return new Claim(token, node, bodyDigest, ClaimState.ANSWERED, Optional.of(stored));
    }

    /**
     * Returns a copy in a state that has no answer.
     *
     * @param next the next state
     * @return the claim in that state
     * @throws IllegalArgumentException if {@code next} is {@link ClaimState#ANSWERED}
     */
    public Claim withState(ClaimState next) {
        return new Claim(token, node, bodyDigest, next, Optional.empty());
    }
}
