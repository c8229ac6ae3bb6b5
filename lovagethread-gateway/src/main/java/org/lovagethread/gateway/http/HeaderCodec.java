package org.lovagethread.gateway.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.lovagethread.gateway.upstream.UpstreamEntry;

/** Translates between the headers that callers and upstreams use and the gateway's types. */
public interface HeaderCodec {

    /**
     * What the gateway tells an upstream about one send of a request.
     *
     * @param upstream the upstream that is meant
     * @param customer the name of the customer; empty for anonymous requests
     * @param remainingMillis how long an answer is still of use, in milliseconds
     * @param priority the urgency; zero is the most urgent
     * @param lastEventId the last event that the caller has; negative if none
     */
    record AttemptAttributes(
            UpstreamEntry upstream, Optional<String> customer, long remainingMillis, int priority, long lastEventId) {}

    /**
     * Reads what a request says of itself.
     *
     * @param request the head of the request
     * @return its attributes; malformed ones count as absent
     */
    RequestAttributes readAttributes(HttpRequest request);

    /**
     * Returns the headers with which a request goes to an upstream.
     *
     * @param request the head of the caller's request
     * @param attempt what the gateway tells the upstream
     * @return the headers, without those that frame the body
     */
    HttpHeaders createUpstreamHeaders(HttpRequest request, AttemptAttributes attempt);

    /**
     * Tells whether an upstream stated that it did not run a request.
     *
     * @param response the head of its answer
     * @return true if the request has not run and never will
     */
    boolean statesNotRun(HttpResponse response);

    /**
     * Returns the upstream's proof that an answer is its own.
     *
     * @param headers the headers of the answer
     * @return the proof, or empty if there is none
     */
    Optional<String> proofOfOrigin(HttpHeaders headers);

    /**
     * Returns the id of the request that an answer belongs to.
     *
     * @param headers the headers of the answer
     * @return the id, or empty if it is not stated
     */
    Optional<String> responseRequestId(HttpHeaders headers);
}
