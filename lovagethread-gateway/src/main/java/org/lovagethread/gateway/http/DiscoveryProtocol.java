package org.lovagethread.gateway.http;

import java.util.List;
import java.util.Optional;

/** Translates the directory queries of callers and the readiness checks of the platform. */
public interface DiscoveryProtocol {

    /**
     * A directory query, by which a caller requests the addresses of gateways.
     *
     * @param host the host name to resolve
     * @param zone the caller's availability zone; an empty string if not stated
     */
    record DirectoryQuery(String host, String zone) {}

    /**
     * Parses a directory query.
     *
     * @param uri the path with the query
     * @return the query; empty if the URI is not a directory query
     */
    Optional<DirectoryQuery> parseDirectoryQuery(String uri);

    /**
     * Encodes the response to a directory query.
     *
     * @param addresses the addresses, each in the form {@code host:port}
     * @param ttlMillis the time for which callers may cache the response, in milliseconds
     * @return the body of the response
     */
    byte[] encodeDirectoryResponse(List<String> addresses, long ttlMillis);

    /**
     * Returns whether a request is a readiness check.
     *
     * @param uri the path with the query
     * @return true if the URI is that of the readiness check
     */
    boolean isReadinessCheck(String uri);
}
