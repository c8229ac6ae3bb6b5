package org.lovagethread.gateway.store;

/** Tells the time and runs actions later, on the thread of the gateway. */
public interface Scheduler {
    /**
     * Returns the present time of a clock that never jumps.
     *
     * @return milliseconds since an arbitrary origin
     */
    long nowMillis();

    /**
     * Runs an action later.
     *
     * @param delayMillis the delay in milliseconds
     * @param action the action
     */
    void after(long delayMillis, Runnable action);
}
