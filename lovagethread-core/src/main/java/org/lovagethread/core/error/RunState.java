package org.lovagethread.core.error;

/** Tells a refused caller whether its call may have run on an upstream. */
public enum RunState {
    /** No upstream has run, or will run, any part of the call. */
    NOT_RUN("not-run"),
    /** Part of the call may have run, or may still run. */
    UNKNOWN("unknown");

    private final String label;

    RunState(String label) {
        this.label = label;
    }

    /**
     * Returns the text used in answers.
     *
     * @return the label, never null
     */
    public String label() {
        return label;
    }
}
