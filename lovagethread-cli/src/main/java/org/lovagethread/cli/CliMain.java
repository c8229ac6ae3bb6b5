package org.lovagethread.cli;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Entry point of the command line. */
public final class CliMain {
    /** Version printed by the command {@code version}. */
    static final String VERSION = "0.1.0";

    private CliMain() {}

    /**
     * Runs the command that the first argument names, and exits with its status.
     *
     * @param args the command-line arguments
     */
    public static void main(String[] args) {
        System.exit(run(args, System.out, System.err));
    }

    /**
     * Runs the command that the first argument names.
     *
     * @param args the command-line arguments
     * @param out receives the output
     * @param err receives error messages
     * @return the exit status
     */
    public static int run(String[] args, PrintStream out, PrintStream err) {
        if (args.length == 0 || args[0].equals("--help") || args[0].equals("help")) {
            printHelp(out);
            return args.length == 0 ? ExitCode.USAGE.status() : ExitCode.OK.status();
        }
        Optional<Command> command = Command.find(args[0]);
        if (command.isEmpty()) {
            err.println("lovagethread: unknown command \"" + args[0] + "\"; see lovagethread --help");
            return ExitCode.USAGE.status();
        }
        return run(command.get(), Arrays.copyOfRange(args, 1, args.length), out, err);
    }

    private static int run(Command command, String[] args, PrintStream out, PrintStream err) {
        try {
            CommandLine commandLine = new DefaultParser().parse(options(), args);
            if (commandLine.hasOption("help")) {
                printHelp(command, out);
                return ExitCode.OK.status();
            }
            command.run(new CommandContext(commandLine, out));
            return ExitCode.OK.status();
        } catch (ParseException e) {
            err.println("lovagethread " + command.commandName() + ": " + e.getMessage());
            return ExitCode.USAGE.status();
        } catch (CliException e) {
            err.println("lovagethread " + command.commandName() + ": " + e.getMessage());
            return e.exitCode().status();
        }
    }

    private static Options options() {
        Options options = new Options();
        for (String name : new String[] {"settings", "base", "author", "output", "expect", "seconds"}) {
            options.addOption(Option.builder().longOpt(name).hasArg().build());
        }
        options.addOption(null, "no-wait", false, "");
        options.addOption(null, "help", false, "");
        return options;
    }

    private static void printHelp(PrintStream out) {
        out.println("usage: lovagethread COMMAND [ARGUMENTS] [OPTIONS]");
        out.println();
        for (Command command : Command.values()) {
            out.printf("  %-12s %s%n", command.commandName(), command.summary());
        }
        out.println();
        out.println("options: --settings FILE (or LOVAGETHREAD_SETTINGS), --output table|json, --help");
        out.println("exit status: 0 success, 1 failure, 2 invalid input, 3 conflict, 4 outcome unknown");
    }

    private static void printHelp(Command command, PrintStream out) {
        out.println("usage: lovagethread " + command.commandName() + " " + command.arguments());
        out.println();
        out.println(command.summary());
        out.println();
        out.println("example: lovagethread " + command.commandName() + " "
                + command.arguments().replaceAll("\\[.*?]", "").strip() + " --settings operator.ini");
    }
}
