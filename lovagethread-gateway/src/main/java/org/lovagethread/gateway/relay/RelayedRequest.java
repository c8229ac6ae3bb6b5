package org.lovagethread.gateway.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;

/**
 * A request of a caller that is passed to a peer.
 *
 * @param id the identifier of the request; an empty string if not stated
 * @param header the request header
 * @param body the complete request body; it is not released
 * @param deadlineMillis the time at which the response must be complete, in milliseconds of the monotonic clock
 */
public record RelayedRequest(String id, HttpRequest header, ByteBuf body, long deadlineMillis) {}
