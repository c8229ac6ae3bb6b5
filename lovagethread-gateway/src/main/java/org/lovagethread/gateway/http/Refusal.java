package org.lovagethread.gateway.http;

import org.lovagethread.core.error.ErrorKind;

/**
 * The reason for which a request is refused.
 *
 * @param kind the kind of error
 * @param retryAfterMillis the time after which the caller should retry, in milliseconds; zero if unspecified
 */
record Refusal(ErrorKind kind, long retryAfterMillis) {}
