package org.lovagethread.gateway.http;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.lovagethread.gateway.policy.PromptPrefix;

/**
 * What a request says of itself besides method, path and body.
 *
 * @param requestId the id of the request; an empty text if it has none
 * @param apiKey the key of the customer
 * @param callerTimeoutMillis how long the caller waits, in milliseconds
 * @param promptTokens the length of the prompt in tokens; empty if not stated
 * @param maxOutputTokens the most tokens to generate; zero if not stated
 * @param prefix the parts of the prompt
 * @param lastEventId the last event that the caller already has; empty if it starts from the beginning
 */
public record RequestAttributes(
        String requestId,
        Optional<String> apiKey,
        OptionalLong callerTimeoutMillis,
        OptionalInt promptTokens,
        int maxOutputTokens,
        PromptPrefix prefix,
        OptionalLong lastEventId) {}
