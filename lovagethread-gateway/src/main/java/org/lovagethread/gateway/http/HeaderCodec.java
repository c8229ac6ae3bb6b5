package org.lovagethread.gateway.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import java.util.Set;
import org.lovagethread.gateway.upstream.BrittleNotice;
import org.lovagethread.gateway.upstream.PauseRequest;
import org.lovagethread.gateway.upstream.UpstreamEntry;

/** Translates between the HTTP headers of callers and upstreams and the types of the gateway. */
public interface HeaderCodec {

    /**
     * Attributes of an attempt that are sent to the upstream.
     *
     * @param upstream the intended recipient
     * @param customer the name of the customer; empty for anonymous requests
     * @param remainingMillis the time until the deadline of the request, in milliseconds
     * @param priority the priority; zero is the highest
     * @param lastEventId the identifier of the last event that the caller has received; negative if none
     */
    record AttemptAttributes(
            UpstreamEntry upstream, Optional<String> customer, long remainingMillis, int priority, long lastEventId) {}

    /** What a response says about the shutdown of the upstream that sent it. */
    enum LeavingNotice {
        /** It says nothing. */
        NONE,
        /** The upstream is leaving. */
        LEAVING,
        /** The notice has a value that is not defined, which counts as none. */
        MALFORMED
    }

    /**
     * Reads the attributes of a request.
     *
     * @param request the request header
     * @return the attributes; malformed ones are treated as absent
     */
    RequestAttributes readAttributes(HttpRequest request);

    /**
     * Creates the headers of a request to an upstream.
     *
     * @param request the header of the caller's request
     * @param attempt the attributes of the attempt
     * @return the headers, without the length and the transfer encoding of the body
     */
    HttpHeaders createUpstreamHeaders(HttpRequest request, AttemptAttributes attempt);

    /**
     * Returns whether an upstream stated that it did not execute a request.
     *
     * @param response the response header
     * @return true if the request has not been executed and never will be
     */
    boolean statesNotRun(HttpResponse response);

    /**
     * Returns whether a response announces that the addressed upstream is leaving.
     *
     * @param response the response header
     * @return the notice; none if the response is from another upstream at the same address
     */
    LeavingNotice leavingNotice(HttpResponse response);

    /**
     * Returns what a response says about how many rejections its upstream survives.
     *
     * @param response the response header
     * @return the notice; none if the response is from another upstream at the same address
     */
    BrittleNotice brittleNotice(HttpResponse response);

    /**
     * Returns the pause that an upstream requests in a response by which it rejects a request.
     *
     * @param response the response header
     * @return the request; empty if the response contains none, or the request may have been executed
     */
    Optional<PauseRequest> pauseRequest(HttpResponse response);

    /**
     * Returns whether callers take a status as the promise that their request has not been executed.
     *
     * @param status the status
     * @return true if only a request that has not been executed may be answered with the status
     */
    boolean promisesNotRun(HttpResponseStatus status);

    /**
     * Returns the proof that a response was created by the upstream.
     *
     * @param headers the headers of the response
     * @return the proof; empty if the response has none
     */
    Optional<String> proofOfOrigin(HttpHeaders headers);

    /**
     * Returns the identifiers of requests that a response states.
     *
     * @param headers the headers of the response
     * @return the distinct identifiers, none of which is blank; a response that belongs to one request states one
     */
    Set<String> responseRequestIds(HttpHeaders headers);
}
