package org.lovagethread.cli;

/** Signals that a command failed, with an error message for the user and an exit status. */
final class CliException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ExitCode exitCode;

    CliException(ExitCode exitCode, String message) {
        super(message);
        this.exitCode = exitCode;
    }

    ExitCode exitCode() {
        return exitCode;
    }
}
