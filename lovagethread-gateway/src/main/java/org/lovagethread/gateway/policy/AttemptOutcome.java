package org.lovagethread.gateway.policy;

import org.lovagethread.core.error.ErrorKind;
import org.lovagethread.gateway.config.Route;

/** Ways in which one send of a request fails. */
public enum AttemptOutcome {
    /** No byte left the gateway. */
    NOT_SENT(false, false, ErrorKind.NO_UPSTREAM),
    /** The upstream stated that it did not run the request. */
    REJECTED(true, false, ErrorKind.OVERLOADED),
    /** The upstream answered with an error of its own. */
    FAILED(true, true, ErrorKind.UPSTREAM_FAILED),
    /** The answer ended before it was complete. */
    BROKEN(true, true, ErrorKind.UPSTREAM_FAILED),
    /** Nothing came for too long. */
    SILENT(true, true, ErrorKind.DEADLINE_AFTER_SEND);

    private final boolean arrived;
    private final boolean mayHaveRun;
    private final ErrorKind errorKind;

    AttemptOutcome(boolean arrived, boolean mayHaveRun, ErrorKind errorKind) {
        this.arrived = arrived;
        this.mayHaveRun = mayHaveRun;
        this.errorKind = errorKind;
    }

    /**
     * Tells whether the send counts against the retry budget.
     *
     * @return true if the request may have arrived
     */
    public boolean arrived() {
        return arrived;
    }

    /**
     * Tells whether the request may have run.
     *
     * @return false only if that is certain
     */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /**
     * Returns the error that the caller gets if nothing else can be done.
     *
     * @return the kind of error
     */
    public ErrorKind errorKind() {
        return errorKind;
    }

    /**
     * Tells whether the request may be sent again after this outcome.
     *
     * @param route the route of the request
     * @param runs the sends so far, with this one, that may have run
     * @return true if another send is allowed
     */
    public boolean allowsAnother(Route route, int runs) {
        if (!mayHaveRun && runs == 0) {
            return true;
        }
        return route.repeatable() && runs < route.mostUpstreams();
    }
}
