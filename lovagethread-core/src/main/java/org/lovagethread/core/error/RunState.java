package org.lovagethread.core.error;

/** Indicates in an error response whether the call may have been executed by an upstream. */
public enum RunState {
    /** No upstream has executed, or will execute, any part of the call. */
    NOT_RUN("not-run"),
    /** All or part of the call may have been executed, or may still be executed. */
    UNKNOWN("unknown");

    private final String label;

    RunState(String label) {
        this.label = label;
    }

    /**
     * Returns the label used in error responses.
     *
     * @return the label, never null
     */
    public String label() {
        return label;
    }
}
