package org.lovagethread.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.lovagethread.core.error.ErrorKind;

/** The caller's side of one request. */
interface ResponseWriter {
    /**
     * Sends a whole answer.
     *
     * @param status the status
     * @param headers the headers, without those that frame the body
     * @param body the body; it is not released
     */
    void sendResponse(HttpResponseStatus status, HttpHeaders headers, ByteBuf body);

    /**
     * Sends an answer of the gateway's own.
     *
     * @param kind what went wrong
     * @param retryAfterMillis when the caller should come back, in milliseconds; zero if that is not told
     */
    void sendError(ErrorKind kind, long retryAfterMillis);

    /**
     * Starts a streamed answer.
     *
     * @param status the status
     * @param headers the headers, without those that frame the body
     */
    void startStream(HttpResponseStatus status, HttpHeaders headers);

    /**
     * Sends part of a streamed answer.
     *
     * @param bytes the bytes; they are copied
     * @return false if the caller reads too slowly and no more should be sent for now
     */
    boolean sendStreamData(ByteBuf bytes);

    /** Ends a streamed answer as complete. */
    void endStream();

    /** Breaks a streamed answer off, so that it does not look complete. */
    void abort();
}
