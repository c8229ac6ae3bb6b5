package org.lovagethread.gateway.store;

/** Provides a monotonic clock and runs delayed actions on the event loop of the gateway. */
public interface Scheduler {
    /**
     * Returns the current time of a monotonic clock.
     *
     * @return the milliseconds since an arbitrary origin
     */
    long nowMillis();

    /**
     * Runs an action once after a delay.
     *
     * @param delayMillis the delay in milliseconds
     * @param action the action
     */
    void schedule(long delayMillis, Runnable action);
}
