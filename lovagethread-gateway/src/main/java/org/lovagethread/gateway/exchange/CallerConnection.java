package org.lovagethread.gateway.exchange;

/** A connection on which a request has been received and its response is sent. */
public interface CallerConnection extends ResponseWriter {
    /**
     * Sets what processes the current request.
     *
     * @param request the processing of the request
     */
    void attach(ActiveRequest request);
}
