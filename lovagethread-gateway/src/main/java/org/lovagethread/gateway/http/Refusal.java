package org.lovagethread.gateway.http;

import org.lovagethread.core.error.ErrorKind;

/**
 * A request that is not admitted.
 *
 * @param kind what is wrong
 * @param retryAfterMillis when the caller should come back, in milliseconds; zero if that is not told
 */
record Refusal(ErrorKind kind, long retryAfterMillis) {}
