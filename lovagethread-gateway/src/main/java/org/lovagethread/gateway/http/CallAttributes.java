package org.lovagethread.gateway.http;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.lovagethread.gateway.policy.PromptPrefix;

/**
 * What a request says of itself besides method, path and body.
 *
 * @param requestId the id of the request; an empty text if it has none
 * @param key the key of the customer
 * @param waitMillis how long the caller waits, in milliseconds
 * @param promptTokens the length of the prompt in tokens; empty if not stated
 * @param outputTokens the most tokens to generate; zero if not stated
 * @param prefix the parts of the prompt
 * @param lastEventId the last event that the caller already has; empty if it starts from the beginning
 */
public record CallAttributes(
        String requestId,
        Optional<String> key,
        OptionalLong waitMillis,
        OptionalInt promptTokens,
        int outputTokens,
        PromptPrefix prefix,
        OptionalLong lastEventId) {}
