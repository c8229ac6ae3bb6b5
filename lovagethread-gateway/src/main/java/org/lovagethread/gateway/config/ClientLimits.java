package org.lovagethread.gateway.config;

/**
 * Limits on the size and timing of requests of callers.
 *
 * @param maxHeaderBytes the maximum size of a request header in bytes
 * @param maxBodyBytes the maximum size of a request body in bytes
 * @param headerTimeoutMillis the maximum time for receiving a request header, in milliseconds
 * @param idleTimeoutMillis the maximum time for which a connection may be idle, in milliseconds
 */
public record ClientLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Limits that apply until a configuration has been loaded. */
    public static final ClientLimits DEFAULT = new ClientLimits(16_384, 4 * 1024 * 1024, 5_000, 15_000);
}
