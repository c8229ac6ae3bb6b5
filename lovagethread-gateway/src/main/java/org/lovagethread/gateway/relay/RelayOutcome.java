package org.lovagethread.gateway.relay;

import java.util.Locale;

/** How a request that was to be passed to a peer has ended. */
public enum RelayOutcome {
    /** The caller received a complete response of an upstream. */
    ANSWERED,
    /** The caller received the error that the peer generated. */
    PEER_ERROR,
    /** No peer has accepted the request, which has not been run. */
    NOT_ACCEPTED,
    /** The connection to the peer broke before a response, so that the request may have been run. */
    BROKEN,
    /** The response stream was cut. */
    STREAM_CUT,
    /** The deadline passed before a response. */
    DEADLINE,
    /** The caller closed its connection. */
    CALLER_LEFT,
    /** This gateway stopped. */
    STOPPED;

    /**
     * Returns the label in logs and metrics.
     *
     * @return the name in lower case with hyphens
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
