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

/** Starts a node as a process. */
public final class NodeMain {
    /** Exit status after a failure that the node cannot recover from. */
    public static final int FAILED = 1;

    /** Exit status for wrong arguments or settings. */
    public static final int USAGE = 2;

    private NodeMain() {}

    /** Holds the options, which are loaded only when the command line is read. */
    private static final class CommandOptions {
        private static final Options OPTIONS = new Options()
                .addOption(Option.builder()
                        .longOpt("settings")
                        .hasArg()
                        .argName("FILE")
                        .desc("INI file with the settings of the node")
                        .build())
                .addOption(null, "check-settings", false, "checks the settings and exits")
                .addOption(null, "help", false, "shows this help");

        private CommandOptions() {}
    }

    /**
     * Starts the node that the arguments describe, and returns when it has stopped.
     *
     * @param args the arguments of the command line
     * @throws Exception if a port cannot be used
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
            fail(List.of("lovagethread-node: --settings FILE is required, and nothing besides options is allowed"));
        }
        Either<List<String>, Settings> settings =
                SettingsReader.read(Path.of(line.getOptionValue("settings")), NodeKeys.all());
        if (settings.isLeft()) {
            fail(settings.getLeft());
        }
        if (line.hasOption("check-settings")) {
            System.out.println("settings are valid");
            return;
        }
        run(settings.get());
    }

    private static void configureLogs(String node) {
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

    private static void fail(List<String> messages) {
        messages.forEach(System.err::println);
        System.exit(USAGE);
    }

    private static CommandLine parse(String[] args) {
        try {
            return new DefaultParser().parse(CommandOptions.OPTIONS, args);
        } catch (ParseException e) {
            fail(List.of("lovagethread-node: " + e.getMessage()));
            throw new IllegalStateException(e);
        }
    }

    private static void run(Settings settings) throws Exception {
        configureLogs(settings.text(NodeKeys.NAME));
        Node node = start(settings);
        Thread main = Thread.currentThread();
        Thread stopper = new Thread(
                () -> {
                    node.requestStop();
                    joinUninterrupted(main);
                },
                "stop");
        Runtime.getRuntime().addShutdownHook(stopper);
        System.out.println("ready");
        node.stopWhenIdle();
        Runtime.getRuntime().halt(0);
    }

    private static void joinUninterrupted(Thread thread) {
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
            System.err.println("lovagethread-node: the node cannot start: " + e.getMessage());
            Runtime.getRuntime().halt(FAILED);
            throw new IllegalStateException(e);
        }
    }
}
