package org.lovagethread.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.lovagethread.gateway.upstream.UpstreamEntry;

/** Sends requests to upstreams. */
public interface UpstreamClient {

    /** Receives the response to one request. All methods are called on the gateway's event loop. */
    interface Listener {
        /** Called if no byte of the request was sent. */
        void onNotSent();

        /**
         * Called when the response header has been received.
         *
         * @param response the response header
         */
        void onHeader(HttpResponse response);

        /**
         * Called when a part of the response body has been received.
         *
         * @param bytes the bytes; valid only during the call
         */
        void onData(ByteBuf bytes);

        /** Called after {@link #onData} when all bytes that have been read from the connection are processed. */
        void onReadComplete();

        /** Called when the response is complete. */
        void onEnd();

        /**
         * Called when the response ends prematurely or is invalid.
         *
         * @param reason the reason, for logs
         */
        void onFailure(String reason);
    }

    /** Controls a request in progress. */
    interface RequestHandle {
        /** Cancels the request: closes its connection and stops calling the listener. */
        void cancel();

        /**
         * Pauses or resumes reading the response.
         *
         * @param reading whether to read
         */
        void setReading(boolean reading);
    }

    /**
     * Sends a request.
     *
     * @param upstream the upstream
     * @param request the caller's request, of which the method and the URI are used
     * @param headers the headers, without the length and the transfer encoding of the body
     * @param body the complete body; it is not released
     * @param requireFresh whether to avoid connections that were idle for long, since the upstream may have closed them
     * @param listener receives the response
     * @return the request in progress
     */
    RequestHandle send(
            UpstreamEntry upstream,
            HttpRequest request,
            HttpHeaders headers,
            ByteBuf body,
            boolean requireFresh,
            Listener listener);
}
