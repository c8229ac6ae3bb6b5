package org.lovagethread.cli;

/** Lists the exit statuses of the command line. */
enum ExitCode {
    /** The command did what was asked. */
    OK(0),
    /** The command failed, and nothing of it took effect. */
    FAILED(1),
    /** The arguments, the settings or the sheet are wrong; nothing took effect. */
    USAGE(2),
    /** Another operator's revision came first; nothing took effect. */
    CONFLICT(3),
    /** The outcome cannot be told; the message says how to find out. */
    UNKNOWN(4);

    private final int status;

    ExitCode(int status) {
        this.status = status;
    }

    int status() {
        return status;
    }
}
