package org.lovagethread.core.store;

import java.util.Objects;

/**
 * Stored response of a plain service to a non-idempotent call.
 *
 * @param status the HTTP status
 * @param contentType the media type of the body
 * @param body the complete body as text
 */
public record StoredAnswer(int status, String contentType, String body) {

    /** Validates the fields. */
    public StoredAnswer {
        Objects.requireNonNull(contentType, "content type");
        Objects.requireNonNull(body, "body");
    }
}
