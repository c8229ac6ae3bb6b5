package org.lovagethread.node.caller;

import java.util.Objects;

/**
 * Holds what an upstream receives of a call.
 *
 * @param method the HTTP method
 * @param target the path and query of a plain call; empty for a model call
 * @param body the body; empty if there is none
 * @param contentType the media type of the body
 */
public record CallContent(String method, String target, String body, String contentType) {

    /** Validates the fields. */
    public CallContent {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(body, "body");
        Objects.requireNonNull(contentType, "content type");
    }
}
