package org.lovagethread.gateway.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import java.util.Optional;
import org.lovagethread.gateway.exchange.CallerConnection;
import org.lovagethread.wire.generated.RelayRefusalReason;

/** Runs requests of peers like requests of the gateway's own callers. */
public interface RelayTarget {
    /**
     * Returns the reason for which the gateway runs no requests of peers at present.
     *
     * @return the reason; empty if it runs them
     */
    Optional<RelayRefusalReason> refusal();

    /**
     * Returns the maximum size of a request body.
     *
     * @return the size in bytes
     */
    int maxBodyBytes();

    /**
     * Runs a request.
     *
     * @param caller receives the response, and what processes the request
     * @param header the request header
     * @param body the complete request body
     * @param deadlineMillis the time at which the response must be complete, in milliseconds of the monotonic clock
     */
    void run(CallerConnection caller, HttpRequest header, ByteBuf body, long deadlineMillis);
}
