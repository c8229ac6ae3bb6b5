package org.lovagethread.core.error;

import java.util.Locale;

/**
 * Lists every kind of error that a caller can receive, with the answer that belongs to it.
 *
 * <p>This enum is the only table from kind to answer; {@code docs/API.md} is checked against it.
 */
public enum ErrorKind {
    /** The request is malformed or lacks a required field. */
    BAD_REQUEST(400, RunState.NOT_RUN, false, "The request is malformed."),
    /** No customer with this name is in the configuration in force. */
    UNKNOWN_CUSTOMER(403, RunState.NOT_RUN, false, "The customer is not declared."),
    /** No service with this name is in the configuration in force. */
    UNKNOWN_SERVICE(404, RunState.NOT_RUN, false, "The service is not declared."),
    /** The key belongs to no customer of the configuration in force. */
    UNKNOWN_KEY(401, RunState.NOT_RUN, false, "The key belongs to no customer."),
    /** No route of the configuration in force takes the request. */
    UNKNOWN_ROUTE(404, RunState.NOT_RUN, false, "No route takes the request."),
    /** A call that is not idempotent carries no idempotency key. */
    KEY_REQUIRED(400, RunState.NOT_RUN, false, "A non-idempotent call needs an Idempotency-Key header."),
    /** The idempotency key was used before with another body. */
    KEY_REUSED(409, RunState.NOT_RUN, false, "The idempotency key belongs to a call with another body."),
    /** The body is larger than the limit. */
    BODY_TOO_LARGE(413, RunState.NOT_RUN, false, "The body exceeds the size limit."),
    /** The head of the request is larger than the limit. */
    HEADERS_TOO_LARGE(431, RunState.NOT_RUN, false, "The head of the request exceeds the size limit."),
    /** The customer has used up its rate. */
    RATE_LIMITED(429, RunState.NOT_RUN, true, "The customer's rate is used up."),
    /** A queue of the node is full. */
    OVERLOADED(503, RunState.NOT_RUN, true, "The node is overloaded."),
    /** The node has no configuration yet. */
    NOT_READY(503, RunState.NOT_RUN, true, "The node has no configuration yet."),
    /** The node is stopping and could not end the request in time. */
    STOPPING(503, RunState.NOT_RUN, true, "The node is stopping."),
    /** No upstream can take the call. */
    NO_UPSTREAM(503, RunState.NOT_RUN, true, "No upstream can take the call."),
    /** The platform's Object API cannot record the claim that the call needs. */
    STORE_UNAVAILABLE(503, RunState.NOT_RUN, true, "The claim of the idempotency key cannot be recorded."),
    /** The deadline passed before anything was sent to an upstream. */
    DEADLINE_BEFORE_SEND(504, RunState.NOT_RUN, true, "The deadline passed before the call was sent."),
    /** The deadline passed after something was sent to an upstream. */
    DEADLINE_AFTER_SEND(504, RunState.UNKNOWN, true, "The deadline passed while the call was running."),
    /** Every permitted attempt failed after something was sent to an upstream. */
    UPSTREAM_FAILED(502, RunState.UNKNOWN, true, "The upstreams failed to give a whole answer."),
    /** The outcome of a non-idempotent call cannot be told. */
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
     * Returns the machine-readable label of the kind.
     *
     * @return the name in lower case with hyphens, for example {@code "key-reused"}
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Returns the sentence shown to people.
     *
     * @return the message, never null
     */
    public String message() {
        return message;
    }

    /**
     * Tests whether the same request may succeed later.
     *
     * @return true if the answer carries a retry deadline
     */
    public boolean retryable() {
        return retryable;
    }

    /**
     * Returns what the caller may conclude about execution.
     *
     * @return the run state, never null
     */
    public RunState runState() {
        return runState;
    }

    /**
     * Returns the HTTP status code of the answer.
     *
     * @return a status from 400 to 599
     */
    public int status() {
        return status;
    }
}
