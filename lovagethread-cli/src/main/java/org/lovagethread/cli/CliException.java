package org.lovagethread.cli;

/** Ends a command with a message for the user and an exit status. */
final class CliException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ExitCode code;

    CliException(ExitCode code, String message) {
        super(message);
        this.code = code;
    }

    ExitCode code() {
        return code;
    }
}
