package org.lovagethread.gateway.policy;

import org.lovagethread.core.error.ErrorKind;
import org.lovagethread.gateway.config.Route;

/** Outcomes of a failed attempt to send a request to an upstream. */
public enum AttemptOutcome {
    /** No byte was sent. */
    NOT_SENT(false, false, ErrorKind.NO_UPSTREAM),
    /** The upstream stated that it did not execute the request. */
    REJECTED(true, false, ErrorKind.OVERLOADED),
    /** The upstream returned an error response. */
    FAILED(true, true, ErrorKind.UPSTREAM_FAILED),
    /** The response ended prematurely. */
    BROKEN(true, true, ErrorKind.UPSTREAM_FAILED),
    /** The upstream sent no bytes within the timeout. */
    SILENT(true, true, ErrorKind.DEADLINE_AFTER_SEND);

    private final boolean mayHaveArrived;
    private final boolean mayHaveRun;
    private final ErrorKind errorKind;

    AttemptOutcome(boolean arrived, boolean mayHaveRun, ErrorKind errorKind) {
        this.mayHaveArrived = arrived;
        this.mayHaveRun = mayHaveRun;
        this.errorKind = errorKind;
    }

    /**
     * Returns whether a retry after this outcome counts against the retry budget.
     *
     * @return true if the request may have reached the upstream
     */
    public boolean mayHaveArrived() {
        return mayHaveArrived;
    }

    /**
     * Returns whether the request may have been executed.
     *
     * @return false only if the request was certainly not executed
     */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /**
     * Returns the error that is reported to the caller if the request is not retried.
     *
     * @return the kind of error
     */
    public ErrorKind errorKind() {
        return errorKind;
    }

    /**
     * Returns whether the request may be retried after this outcome.
     *
     * @param route the route of the request
     * @param possibleRuns the number of attempts, including this one, that may have executed the request
     * @return true if a retry is allowed
     */
    public boolean allowsRetry(Route route, int possibleRuns) {
        if (!mayHaveRun && possibleRuns == 0) {
            return true;
        }
        return route.isRetryable() && possibleRuns < route.maxUpstreams();
    }
}
