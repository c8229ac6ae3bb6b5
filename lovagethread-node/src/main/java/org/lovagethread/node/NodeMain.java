package org.lovagethread.node;

import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.lovagethread.node.telemetry.JsonLogFormatter;
import org.lovagethread.platform.PlatformNode;
import org.lovagethread.supplier.settings.Settings;
import org.lovagethread.supplier.settings.SettingsReader;

/** The entry point of the node process. */
public final class NodeMain {
    /** Exit status after an unrecoverable failure. */
    public static final int EXIT_FAILURE = 1;

    /** Exit status for invalid arguments or settings. */
    public static final int EXIT_USAGE = 2;

    private NodeMain() {}

    /** The command-line options, initialized only when the command line is parsed. */
    private static final class CommandOptions {
        private static final Options OPTIONS = new Options()
                .addOption(Option.builder()
                        .longOpt("settings")
                        .hasArg()
                        .argName("FILE")
                        .desc("INI file with the settings of the node")
                        .build())
                .addOption(null, "check-settings", false, "validates the settings and exits")
                .addOption(null, "help", false, "shows this help");

        private CommandOptions() {}
    }

    /**
     * Starts the node that the arguments describe and blocks until it has stopped.
     *
     * @param args the command-line arguments
     * @throws Exception if a port cannot be bound
     */
    public static void main(String[] args) throws Exception {
        Optional<Path> platformSettings = PlatformNode.settingsPath();
        if (args.length == 0 && platformSettings.isPresent()) {
            PlatformNode.run(platformSettings.get());
            Runtime.getRuntime().halt(0);
        }
        CommandLine line = parse(args);
        if (line.hasOption("help")) {
            new HelpFormatter().printHelp("lovagethread-node --settings FILE", CommandOptions.OPTIONS);
            return;
        }
        if (!line.hasOption("settings") || !line.getArgList().isEmpty()) {
            exitWithUsageError(
                    List.of("lovagethread-node: --settings FILE is required; positional arguments are not supported"));
        }
        Either<List<String>, Settings> settings =
                SettingsReader.read(Path.of(line.getOptionValue("settings")), NodeSettingKeys.all());
        if (settings.isLeft()) {
            exitWithUsageError(settings.getLeft());
        }
        if (line.hasOption("check-settings")) {
            System.out.println("settings are valid");
            return;
        }
        run(settings.get());
    }

    private static void configureLogging(String node) {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        ConsoleHandler console = new ConsoleHandler();
        console.setFormatter(new JsonLogFormatter(node));
        root.addHandler(console);
        root.setLevel(Level.INFO);
        Logger.getLogger("ratpack").setLevel(Level.WARNING);
        Logger.getLogger("io.netty").setLevel(Level.WARNING);
    }

    private static void exitWithUsageError(List<String> messages) {
        messages.forEach(System.err::println);
        System.exit(EXIT_USAGE);
    }

    private static CommandLine parse(String[] args) {
        try {
            return new DefaultParser().parse(CommandOptions.OPTIONS, args);
        } catch (ParseException e) {
            exitWithUsageError(List.of("lovagethread-node: " + e.getMessage()));
            throw new IllegalStateException(e);
        }
    }

    private static void run(Settings settings) throws Exception {
        configureLogging(settings.text(NodeSettingKeys.NAME));
        Node node = start(settings);
        Thread main = Thread.currentThread();
        Thread shutdownHook = new Thread(
                () -> {
                    node.requestStop();
                    joinPreservingInterrupt(main);
                },
                "stop");
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        System.out.println("ready");
        node.stopWhenIdle();
        Runtime.getRuntime().halt(0);
    }

    private static void joinPreservingInterrupt(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Node start(Settings settings) {
        try {
            Node node = new Node(settings);
            node.start();
            return node;
        } catch (Exception e) {
            System.err.println("lovagethread-node: cannot start the node: " + e.getMessage());
            Runtime.getRuntime().halt(EXIT_FAILURE);
            throw new IllegalStateException(e);
        }
    }
}
