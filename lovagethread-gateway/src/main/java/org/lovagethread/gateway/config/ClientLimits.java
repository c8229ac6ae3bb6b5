package org.lovagethread.gateway.config;

/**
 * Limits on the size and timing of requests of callers.
 *
 * @param headerBytes the maximum size of a request header in bytes
 * @param bodyBytes the maximum size of a request body in bytes
 * @param headerMillis the maximum time for receiving a request header, in milliseconds
 * @param idleMillis the maximum time for which a connection may be idle, in milliseconds
 */
public record ClientLimits(int headerBytes, int bodyBytes, long headerMillis, long idleMillis) {
    /** Limits that apply until a configuration has been loaded. */
    public static final ClientLimits DEFAULT = new ClientLimits(16_384, 4 * 1024 * 1024, 5_000, 15_000);
}
