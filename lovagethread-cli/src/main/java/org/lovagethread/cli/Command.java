package org.lovagethread.cli;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** Lists the commands of the command line, each with its behaviour. */
enum Command {
    /** Asks the system which node to use. */
    ADDRESS("SERVICE CUSTOMER [SESSION]", "shows which nodes a caller would be told to use") {
        @Override
        void run(Invocation invocation) throws CliException {
            NodeCommands.address(invocation);
        }
    },
    /** Puts a sheet into force. */
    APPLY("SHEET [--base N] [--author NAME] [--no-wait]", "checks a sheet and puts it into force on all nodes") {
        @Override
        void run(Invocation invocation) throws CliException {
            ConfigurationCommands.apply(invocation);
        }
    },
    /** Checks a sheet. */
    CHECK("SHEET", "checks a sheet without applying it") {
        @Override
        void run(Invocation invocation) throws CliException {
            ConfigurationCommands.check(invocation);
        }
    },
    /** Compares a sheet with the configuration in force. */
    DIFF("SHEET", "shows how a sheet differs from the configuration in force") {
        @Override
        void run(Invocation invocation) throws CliException {
            ConfigurationCommands.diff(invocation);
        }
    },
    /** Stops a node gracefully. */
    DRAIN("NODE", "asks a node to stop once its work has ended") {
        @Override
        void run(Invocation invocation) throws CliException {
            NodeCommands.drain(invocation);
        }
    },
    /** Explains a request. */
    EXPLAIN("REQUEST-ID", "shows the decisions that were taken for a request, and why") {
        @Override
        void run(Invocation invocation) throws CliException {
            NodeCommands.explain(invocation);
        }
    },
    /** Lists revisions. */
    HISTORY("", "lists the revisions, newest first") {
        @Override
        void run(Invocation invocation) throws CliException {
            ConfigurationCommands.history(invocation);
        }
    },
    /** Replays a trace. */
    REPLAY("TRACE [--expect OUTCOMES]", "replays a recorded trace and compares the outcomes") {
        @Override
        void run(Invocation invocation) throws CliException {
            ReplayCommand.run(invocation);
        }
    },
    /** Puts an earlier sheet into force as a new revision. */
    ROLLBACK_TO(
            "REVISION [--author NAME] [--no-wait]", "puts the sheet of an earlier revision into force as a new one") {
        @Override
        void run(Invocation invocation) throws CliException {
            ConfigurationCommands.rollbackTo(invocation);
        }
    },
    /** Shows the state of the system. */
    STATUS("", "shows nodes, upstreams and the revision in force on each node") {
        @Override
        void run(Invocation invocation) throws CliException {
            NodeCommands.status(invocation);
        }
    },
    /** Shows the version. */
    VERSION("", "shows the version") {
        @Override
        void run(Invocation invocation) {
            invocation.print("lovagethread " + CliMain.VERSION);
        }
    };

    private final String arguments;
    private final String summary;

    Command(String arguments, String summary) {
        this.arguments = arguments;
        this.summary = summary;
    }

    static Optional<Command> find(String word) {
        return Arrays.stream(values())
                .filter(command -> command.word().equals(word))
                .findFirst();
    }

    String arguments() {
        return arguments;
    }

    String summary() {
        return summary;
    }

    String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    abstract void run(Invocation invocation) throws CliException;
}
