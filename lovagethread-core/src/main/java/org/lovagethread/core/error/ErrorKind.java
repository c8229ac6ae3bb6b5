package org.lovagethread.core.error;

import java.util.Locale;

/**
 * Error that a caller can receive, with its HTTP status code and message.
 *
 * <p>This enum is the only definition of the error responses; a test compares {@code docs/API.md} with it.
 */
public enum ErrorKind {
    /** The request is malformed or a required field is missing. */
    BAD_REQUEST(400, RunState.NOT_RUN, false, "The request is malformed."),
    /** The active configuration contains no customer with this name. */
    UNKNOWN_CUSTOMER(403, RunState.NOT_RUN, false, "The customer is not declared."),
    /** The active configuration contains no service with this name. */
    UNKNOWN_SERVICE(404, RunState.NOT_RUN, false, "The service is not declared."),
    /** The API key belongs to no customer of the active configuration. */
    UNKNOWN_KEY(401, RunState.NOT_RUN, false, "The key belongs to no customer."),
    /** No route of the active configuration matches the request. */
    UNKNOWN_ROUTE(404, RunState.NOT_RUN, false, "No route takes the request."),
    /** A non-idempotent call has no idempotency key. */
    KEY_REQUIRED(400, RunState.NOT_RUN, false, "A non-idempotent call needs an Idempotency-Key header."),
    /** The idempotency key has already been used with a different body. */
    KEY_REUSED(409, RunState.NOT_RUN, false, "The idempotency key belongs to a call with another body."),
    /** The request body exceeds the size limit. */
    BODY_TOO_LARGE(413, RunState.NOT_RUN, false, "The body exceeds the size limit."),
    /** The request line and headers exceed the size limit. */
    HEADERS_TOO_LARGE(431, RunState.NOT_RUN, false, "The head of the request exceeds the size limit."),
    /** The customer has exceeded its rate limit. */
    RATE_LIMITED(429, RunState.NOT_RUN, true, "The customer's rate is used up."),
    /** A queue of the node is full. */
    OVERLOADED(503, RunState.NOT_RUN, true, "The node is overloaded."),
    /** The node has not received a configuration yet. */
    NOT_READY(503, RunState.NOT_RUN, true, "The node has no configuration yet."),
    /** The node is shutting down and could not finish the request in time. */
    STOPPING(503, RunState.NOT_RUN, true, "The node is stopping."),
    /** No upstream is available for the call. */
    NO_UPSTREAM(503, RunState.NOT_RUN, true, "No upstream can take the call."),
    /**
     * A part of the prompt has crashed several upstreams, and no prompt with it is sent to another one for some time.
     */
    PROMPT_QUARANTINED(
            503, RunState.NOT_RUN, true, "A part of the prompt crashed upstreams; it is not sent to more of them."),
    /** No upstream of the software version that began the stream is available, or the version is not known. */
    VERSION_UNAVAILABLE(
            503, RunState.NOT_RUN, true, "No upstream of the version that began the stream can continue it."),
    /** The claim required for the call could not be written to the Object API. */
    STORE_UNAVAILABLE(503, RunState.NOT_RUN, true, "The claim of the idempotency key cannot be recorded."),
    /** The deadline passed before any part of the call was sent to an upstream. */
    DEADLINE_BEFORE_SEND(504, RunState.NOT_RUN, true, "The deadline passed before the call was sent."),
    /** The deadline passed after the call, or part of it, was sent to an upstream. */
    DEADLINE_AFTER_SEND(504, RunState.UNKNOWN, true, "The deadline passed while the call was running."),
    /** All permitted attempts failed after the call, or part of it, was sent to an upstream. */
    UPSTREAM_FAILED(502, RunState.UNKNOWN, true, "The upstreams failed to give a whole answer."),
    /** The outcome of a non-idempotent call cannot be determined. */
    OUTCOME_UNKNOWN(504, RunState.UNKNOWN, false, "The outcome of the call is not known; do not assume it ran or not.");

    private final int status;
    private final RunState runState;
    private final boolean retryable;
    private final String message;

    ErrorKind(int status, RunState runState, boolean retryable, String message) {
        this.status = status;
        this.runState = runState;
        this.retryable = retryable;
        this.message = message;
    }

    /**
     * Returns the machine-readable label of the error.
     *
     * @return the name in lower case with hyphens, for example {@code "key-reused"}
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Returns the human-readable description of the error.
     *
     * @return the message, never null
     */
    public String message() {
        return message;
    }

    /**
     * Returns whether the same request may succeed later.
     *
     * @return true if the response states the earliest time for a retry
     */
    public boolean isRetryable() {
        return retryable;
    }

    /**
     * Returns whether the call may have been executed.
     *
     * @return the run state, never null
     */
    public RunState runState() {
        return runState;
    }

    /**
     * Returns the HTTP status code of the error response.
     *
     * @return a status from 400 to 599
     */
    public int status() {
        return status;
    }
}
