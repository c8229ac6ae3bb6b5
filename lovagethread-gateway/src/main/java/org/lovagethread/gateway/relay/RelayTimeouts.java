package org.lovagethread.gateway.relay;

import org.lovagethread.gateway.SilenceTimeouts;

/**
 * Decides how soon an end of a relay connection notices that the other end is gone. Both ends send heartbeats.
 *
 * @param handshakeMillis the time within which a peer must have accepted or refused an offer, in milliseconds
 * @param heartbeatMillis the interval between two heartbeats, in milliseconds
 * @param silenceMillis the time without data after which the other end counts as gone, in milliseconds
 */
public record RelayTimeouts(long handshakeMillis, long heartbeatMillis, long silenceMillis) {
    /** Heartbeats within the time after which an end counts as gone. */
    private static final long HEARTBEATS = 5;

    /** Peers that can be asked in turn within the time of a call. */
    private static final long HANDSHAKES_PER_CALL = 2;

    /**
     * Derives the timeouts from those for other connections.
     *
     * @param timeouts how soon the loss of connections must be noticed
     * @return the timeouts
     */
    public static RelayTimeouts of(SilenceTimeouts timeouts) {
        long silenceMillis = timeouts.maxQuietMillis();
        return new RelayTimeouts(
                timeouts.callMillis() / HANDSHAKES_PER_CALL, silenceMillis / HEARTBEATS, silenceMillis);
    }
}
