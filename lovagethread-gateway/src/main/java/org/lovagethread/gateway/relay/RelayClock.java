package org.lovagethread.gateway.relay;

/** The clocks of the gateway. */
public interface RelayClock {
    /**
     * Returns the current time of the monotonic clock.
     *
     * @return the time in milliseconds
     */
    long nowMillis();

    /**
     * Returns the time during which the event loop could have read data, so that a delay of this gateway does not look
     * like the silence of a peer.
     *
     * @return the time in milliseconds
     */
    long observedMillis();
}
