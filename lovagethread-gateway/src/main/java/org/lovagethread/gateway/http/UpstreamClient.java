package org.lovagethread.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.lovagethread.gateway.upstream.UpstreamEntry;

/** Sends requests to upstreams. */
public interface UpstreamClient {

    /** Receives what becomes of one send. All calls come on the thread of the gateway. */
    interface Listener {
        /** Called when no byte of the request left the gateway. */
        void onNotSent();

        /**
         * Called with the head of the answer.
         *
         * @param response the head
         */
        void onHeader(HttpResponse response);

        /**
         * Called with bytes of the body.
         *
         * @param bytes the bytes; valid only during the call
         */
        void onData(ByteBuf bytes);

        /** Called when the answer is complete. */
        void onEnd();

        /**
         * Called when the answer ends before it is complete, or is no answer.
         *
         * @param reason what was seen, for logs
         */
        void onFailure(String reason);
    }

    /** One send in progress. */
    interface RequestHandle {
        /** Ends the send; the connection is closed and the listener is not called again. */
        void cancel();

        /**
         * Stops or starts reading the answer.
         *
         * @param reading whether to read
         */
        void setReading(boolean reading);
    }

    /**
     * Sends a request.
     *
     * @param upstream the upstream
     * @param request method and path of the caller's request
     * @param headers the headers, without those that frame the body
     * @param body the whole body; it is not released
     * @param requireFresh whether a connection that was idle for long must not be used
     * @param listener receives what becomes of the send
     * @return the send in progress
     */
    RequestHandle send(
            UpstreamEntry upstream,
            HttpRequest request,
            HttpHeaders headers,
            ByteBuf body,
            boolean requireFresh,
            Listener listener);
}
