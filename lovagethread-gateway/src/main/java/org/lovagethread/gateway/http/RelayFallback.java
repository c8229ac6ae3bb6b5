package org.lovagethread.gateway.http;

/** Passes a request to a peer that this gateway could not send to any upstream, and that has certainly not run. */
interface RelayFallback {
    /** Passes no request on. */
    RelayFallback NONE = (noConnections, deadlineMillis) -> false;

    /**
     * Passes the request to a peer if this gateway seems to have no links to upstreams and a peer may have some.
     *
     * @param noConnections whether each upstream that was tried could not be connected to
     * @param deadlineMillis the time at which the response must be complete, in milliseconds
     * @return whether the request was passed on; if so, its caller must not be answered in another way
     */
    boolean tryRelay(boolean noConnections, long deadlineMillis);
}
