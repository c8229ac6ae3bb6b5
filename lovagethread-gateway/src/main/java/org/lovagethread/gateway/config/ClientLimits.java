package org.lovagethread.gateway.config;

/**
 * Bounds on what a caller may send and how long it may take.
 *
 * @param headerBytes the most bytes of a request's head
 * @param bodyBytes the most bytes of a request's body
 * @param headerMillis the longest time for a request's head, in milliseconds
 * @param idleMillis the longest time for which a connection may be idle, in milliseconds
 */
public record ClientLimits(int headerBytes, int bodyBytes, long headerMillis, long idleMillis) {
    /** Bounds that hold until a configuration is known. */
    public static final ClientLimits DEFAULT = new ClientLimits(16_384, 4 * 1024 * 1024, 5_000, 15_000);
}
