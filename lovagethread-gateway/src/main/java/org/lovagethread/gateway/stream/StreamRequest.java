package org.lovagethread.gateway.stream;

import java.util.Optional;

/**
 * What matters of a request for the stream that it begins or takes up again.
 *
 * @param service the name of the service
 * @param streamId the identifier under which the stream can be taken up again; empty if it is unknown
 * @param isResumable whether the stream can be taken up again
 * @param isResumption whether the request takes up a stream that was interrupted before
 * @param isSplit whether requests of its route go to several services
 * @param timeoutMillis the longest time that its route allows for a response, in milliseconds
 */
public record StreamRequest(
        String service,
        Optional<String> streamId,
        boolean isResumable,
        boolean isResumption,
        boolean isSplit,
        long timeoutMillis) {}
