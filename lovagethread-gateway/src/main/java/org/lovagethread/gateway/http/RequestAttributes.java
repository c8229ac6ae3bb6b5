package org.lovagethread.gateway.http;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.lovagethread.gateway.policy.PromptPrefix;

/**
 * Attributes of a request, read from its headers.
 *
 * @param requestId the identifier of the request; an empty string if not stated
 * @param apiKey the API key of the customer; empty if not stated
 * @param callerTimeoutMillis the time for which the caller waits for the response, in milliseconds; empty if not stated
 * @param promptTokens the length of the prompt in tokens; empty if not stated
 * @param maxOutputTokens the maximum number of tokens to generate; zero if not stated
 * @param prefix the parts of the prompt
 * @param lastEventId the identifier of the last event that the caller has received; empty for a new stream
 * @param resumedRequestId the identifier of the request that brought the first event of the stream; empty if not stated
 */
public record RequestAttributes(
        String requestId,
        Optional<String> apiKey,
        OptionalLong callerTimeoutMillis,
        OptionalInt promptTokens,
        int maxOutputTokens,
        PromptPrefix prefix,
        OptionalLong lastEventId,
        Optional<String> resumedRequestId) {

    /**
     * Returns the same attributes with another time for which the caller waits.
     *
     * @param millis the time in milliseconds
     * @return the attributes
     */
    RequestAttributes withCallerTimeout(long millis) {
        return new RequestAttributes(
                requestId,
                apiKey,
                OptionalLong.of(millis),
                promptTokens,
                maxOutputTokens,
                prefix,
                lastEventId,
                resumedRequestId);
    }
}
