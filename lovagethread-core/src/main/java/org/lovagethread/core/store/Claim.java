package org.lovagethread.core.store;

import java.util.Objects;
import java.util.Optional;

/**
 * Stored record of the node that may execute the call with an idempotency key.
 *
 * @param token a string unique to the writer and attempt, by which a writer recognizes its own claim
 * @param node the node that owns the claim
 * @param bodyDigest the digest of the operation and body
 * @param state the state of the call
 * @param answer the stored response; present only if the state is {@link ClaimState#ANSWERED}
 */
public record Claim(String token, String node, String bodyDigest, ClaimState state, Optional<StoredAnswer> answer) {

    /** Validates the fields. */
    public Claim {
        Objects.requireNonNull(token, "token");
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(bodyDigest, "body digest");
        Objects.requireNonNull(state, "state");
        if (answer.isPresent() != (state == ClaimState.ANSWERED)) {
            throw new IllegalArgumentException(
                    "a claim must have a response if and only if its state is ANSWERED, but the state was " + state);
        }
    }

    /**
     * Returns a copy with a stored response.
     *
     * @param stored the response
     * @return the claim with the state {@link ClaimState#ANSWERED}
     */
    public Claim withAnswer(StoredAnswer stored) {
        return new Claim(token, node, bodyDigest, ClaimState.ANSWERED, Optional.of(stored));
    }

    /**
     * Returns a copy with another state and without a response.
     *
     * @param newState the new state
     * @return the claim with that state
     * @throws IllegalArgumentException if {@code newState} is {@link ClaimState#ANSWERED}
     */
    public Claim withState(ClaimState newState) {
        return new Claim(token, node, bodyDigest, newState, Optional.empty());
    }
}
