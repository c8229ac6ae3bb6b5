package org.lovagethread.standins;

import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Command-line entry point that runs one stand-in in its own process. */
public final class StandInMain {
    private static final int EXIT_USAGE = 2;

    private StandInMain() {}

    /**
     * Starts the stand-in that the first argument names, and blocks until its server is closed.
     *
     * @param args {@code object-api}, {@code cloud-api}, {@code instance-list}, {@code weight-store}, {@code engine} or
     *     {@code plain}, followed by options
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    public static void main(String[] args) throws InterruptedException {
        Options options = new Options();
        for (String name : new String[] {"port", "cloud-api", "lag-ms", "step-ms", "bytes-per-second"}) {
            options.addOption(null, name, true, "");
        }
        for (String name : new String[] {"id", "service", "zone", "region", "ledger", "version"}) {
            options.addOption(null, name, true, "");
        }
        options.addOption(null, "check-fencing", false, "");
        try {
            CommandLine commandLine = new DefaultParser().parse(options, args);
            startStandIn(commandLine.getArgList().get(0), commandLine).awaitClose();
        } catch (ParseException | IndexOutOfBoundsException e) {
            System.err.println("stand-in: " + e.getMessage());
            System.exit(EXIT_USAGE);
        }
    }

    private static int intOption(CommandLine commandLine, String name, String defaultValue) {
        return Integer.parseInt(commandLine.getOptionValue(name, defaultValue));
    }

    private static void registerInstance(CommandLine commandLine, int port, String version) {
        String cloudApi = commandLine.getOptionValue("cloud-api");
        if (cloudApi != null) {
            Map<String, String> instance = Map.of(
                    "id", commandLine.getOptionValue("id"),
                    "service", commandLine.getOptionValue("service"),
                    "zone", commandLine.getOptionValue("zone"),
                    "region", commandLine.getOptionValue("region"),
                    "address", "127.0.0.1:" + port,
                    "version", version);
            StandInHttpClient.post(cloudApi + "/instances", instance);
        }
    }

    private static StandInServer startStandIn(String kind, CommandLine commandLine) throws InterruptedException {
        int port = intOption(commandLine, "port", "0");
        return switch (kind) {
            case "object-api" -> new StandInServer(port, new ObjectApi()::handle);
            case "cloud-api" -> new StandInServer(port, new CloudApi()::handle);
            case "instance-list" -> startInstanceList(commandLine, port);
            case "weight-store" -> {
                long rate = intOption(commandLine, "bytes-per-second", "100000000");
                yield new StandInServer(port, new WeightStore(rate)::handle);
            }
            case "engine" -> startEngine(commandLine, port);
            case "plain" -> {
                PlainService service = new PlainService(
                        commandLine.getOptionValue("id", "plain"),
                        Optional.ofNullable(commandLine.getOptionValue("ledger"))
                                .map(Path::of));
                StandInServer server = new StandInServer(port, service::handle);
                registerInstance(commandLine, server.port(), commandLine.getOptionValue("version", ""));
                yield server;
            }
            default -> throw new IndexOutOfBoundsException("unknown stand-in " + kind);
        };
    }

    private static StandInServer startEngine(CommandLine commandLine, int port) throws InterruptedException {
        Engine engine = new Engine(
                intOption(commandLine, "step-ms", "20"),
                commandLine.hasOption("check-fencing"),
                version -> registerInstance(commandLine, port, version));
        StandInServer server = new StandInServer(port, engine::handle);
        engine.start(server);
        registerInstance(commandLine, server.port(), commandLine.getOptionValue("version", ""));
        return server;
    }

    private static StandInServer startInstanceList(CommandLine commandLine, int port) throws InterruptedException {
        InstanceList list =
                new InstanceList(commandLine.getOptionValue("cloud-api"), intOption(commandLine, "lag-ms", "500"));
        StandInServer server = new StandInServer(port, list::handle);
        list.startPolling(server);
        return server;
    }
}
