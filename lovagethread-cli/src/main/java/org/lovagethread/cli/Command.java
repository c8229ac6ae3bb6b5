package org.lovagethread.cli;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** The commands of the command line. */
enum Command {
    /** Resolves the nodes that a caller is directed to. */
    ADDRESS("SERVICE CUSTOMER [SESSION]", "shows the nodes that a caller is directed to") {
        @Override
        void run(CommandContext context) throws CliException {
            NodeCommands.address(context);
        }
    },
    /** Applies a sheet as the active configuration. */
    APPLY("SHEET [--base N] [--author NAME] [--no-wait]", "validates a sheet and applies it on all nodes") {
        @Override
        void run(CommandContext context) throws CliException {
            ConfigurationCommands.apply(context);
        }
    },
    /** Validates a sheet. */
    CHECK("SHEET", "validates a sheet without applying it") {
        @Override
        void run(CommandContext context) throws CliException {
            ConfigurationCommands.check(context);
        }
    },
    /** Compares a sheet with the active configuration. */
    DIFF("SHEET", "shows how a sheet differs from the active configuration") {
        @Override
        void run(CommandContext context) throws CliException {
            ConfigurationCommands.diff(context);
        }
    },
    /** Stops a node gracefully. */
    DRAIN("NODE", "stops a node after its unfinished calls have completed") {
        @Override
        void run(CommandContext context) throws CliException {
            NodeCommands.drain(context);
        }
    },
    /** Explains the handling of a request. */
    EXPLAIN("REQUEST-ID", "shows the decisions that nodes made for a request, and the reasons") {
        @Override
        void run(CommandContext context) throws CliException {
            NodeCommands.explain(context);
        }
    },
    /** Lists the revisions of the configuration. */
    HISTORY("", "lists the configuration revisions, newest first") {
        @Override
        void run(CommandContext context) throws CliException {
            ConfigurationCommands.history(context);
        }
    },
    /** Replays a recorded trace. */
    REPLAY("TRACE [--expect OUTCOMES]", "replays a recorded trace and compares the outcomes") {
        @Override
        void run(CommandContext context) throws CliException {
            ReplayCommand.run(context);
        }
    },
    /** Applies the sheet of an earlier revision as a new revision. */
    ROLLBACK_TO("REVISION [--author NAME] [--no-wait]", "applies the sheet of an earlier revision as a new one") {
        @Override
        void run(CommandContext context) throws CliException {
            ConfigurationCommands.rollbackTo(context);
        }
    },
    /** Shows the state of the nodes and upstreams. */
    STATUS("", "shows nodes, upstreams and the active revision of each node") {
        @Override
        void run(CommandContext context) throws CliException {
            NodeCommands.status(context);
        }
    },
    /** Shows the version of the program. */
    VERSION("", "shows the version") {
        @Override
        void run(CommandContext context) {
            context.print("lovagethread " + CliMain.VERSION);
        }
    };

    private final String arguments;
    private final String summary;

    Command(String arguments, String summary) {
        this.arguments = arguments;
        this.summary = summary;
    }

    static Optional<Command> find(String name) {
        return Arrays.stream(values())
                .filter(command -> command.commandName().equals(name))
                .findFirst();
    }

    String arguments() {
        return arguments;
    }

    String summary() {
        return summary;
    }

    String commandName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    abstract void run(CommandContext context) throws CliException;
}
