package org.lovagethread.gateway.http;

import java.util.List;
import java.util.Optional;

/** Translates the questions of callers that ask where to connect, and readiness checks. */
public interface DiscoveryProtocol {

    /**
     * A caller's question where to connect.
     *
     * @param host the host that the caller wants to reach
     * @param zone the caller's availability zone; an empty text if it does not tell
     */
    record DirectoryQuery(String host, String zone) {}

    /**
     * Reads a question.
     *
     * @param uri the path with the query
     * @return the question, or empty if it is something else
     */
    Optional<DirectoryQuery> parseDirectoryQuery(String uri);

    /**
     * Encodes an answer.
     *
     * @param addresses the addresses, each as host and port
     * @param ttlMillis how long the answer may be kept, in milliseconds
     * @return the body of the answer
     */
    byte[] encodeDirectoryResponse(List<String> addresses, long ttlMillis);

    /**
     * Tells whether a request is a readiness check.
     *
     * @param uri the path with the query
     * @return true if it asks whether the gateway is ready
     */
    boolean isReadinessCheck(String uri);
}
