package org.lovagethread.cli;

/** Exit statuses of the command line. */
enum ExitCode {
    /** The command succeeded. */
    OK(0),
    /** The command failed without any effect. */
    FAILED(1),
    /** The arguments, the settings or the sheet are invalid; the command had no effect. */
    USAGE(2),
    /** Another operator applied a revision concurrently; the command had no effect. */
    CONFLICT(3),
    /** The outcome is unknown; the error message describes how to determine it. */
    UNKNOWN(4);

    private final int status;

    ExitCode(int status) {
        this.status = status;
    }

    int status() {
        return status;
    }
}
