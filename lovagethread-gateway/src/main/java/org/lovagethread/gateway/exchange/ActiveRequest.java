package org.lovagethread.gateway.exchange;

/** The processing of one request, which ends when the response is complete. */
public interface ActiveRequest {
    /** Ends the processing because the caller closed its connection. */
    void onCallerDisconnected();

    /** Resumes reading the response after the caller's connection has become writable. */
    void onCallerWritable();

    /**
     * Checks the deadline of the request and other timeouts.
     *
     * @param nowMillis the current time in milliseconds
     */
    void tick(long nowMillis);

    /**
     * Ends the processing because the gateway is about to stop.
     *
     * @param nowMillis the current time in milliseconds
     */
    void onShutdown(long nowMillis);

    /**
     * Ends the processing after an exception. The request may have been executed.
     *
     * @param error the exception
     */
    void onInternalError(RuntimeException error);
}
