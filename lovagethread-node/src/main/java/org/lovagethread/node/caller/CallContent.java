package org.lovagethread.node.caller;

import java.util.Objects;

/**
 * The parts of a caller's HTTP request that are forwarded to an upstream.
 *
 * @param method the HTTP method
 * @param target the path and query of a plain call, or an empty string for a model call
 * @param body the body, or an empty string if there is none
 * @param contentType the media type of the body
 */
public record CallContent(String method, String target, String body, String contentType) {

    /** Checks that no component is null. */
    public CallContent {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(body, "body");
        Objects.requireNonNull(contentType, "content type");
    }
}
