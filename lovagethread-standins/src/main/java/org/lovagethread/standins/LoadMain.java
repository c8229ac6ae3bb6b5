package org.lovagethread.standins;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Command-line entry point of the load generator: runs concurrent callers, then verifies all outcomes. */
public final class LoadMain {
    private static final int EXIT_USAGE = 2;

    private LoadMain() {}

    private record LoadOptions(
            List<String> nodes,
            List<String> ledgers,
            String modelService,
            String plainService,
            List<String> customers,
            int callers,
            int tokens,
            int pauseMillis,
            long seed,
            long untilMillis) {}

    /**
     * Runs the load, prints a summary in JSON and exits with status 1 if any check failed.
     *
     * @param args the command-line options; see {@code bin/prove}
     * @throws Exception if a ledger cannot be read or the thread is interrupted
     */
    public static void main(String[] args) throws Exception {
        Options options = new Options();
        for (String name : new String[] {"nodes", "ledgers", "model", "plain", "customers", "callers"}) {
            options.addOption(null, name, true, "");
        }
        for (String name : new String[] {"tokens", "pause-ms", "seed", "seconds", "kinds", "no-cuts"}) {
            options.addOption(null, name, true, "");
        }
        try {
            CommandLine commandLine = new DefaultParser().parse(options, args);
            System.exit(run(
                    parseOptions(commandLine),
                    commandLine.getOptionValue("kinds", "grb"),
                    commandLine.getOptionValue("no-cuts", "no")));
        } catch (ParseException e) {
            System.err.println("load: " + e.getMessage());
            System.exit(EXIT_USAGE);
        }
    }

    private static List<String> listOption(CommandLine commandLine, String name) {
        return Arrays.asList(commandLine.getOptionValue(name, "").split(","));
    }

    private static int intOption(CommandLine commandLine, String name, int defaultValue) {
        return Integer.parseInt(commandLine.getOptionValue(name, Integer.toString(defaultValue)));
    }

    private static LoadOptions parseOptions(CommandLine commandLine) {
        return new LoadOptions(
                listOption(commandLine, "nodes"),
                listOption(commandLine, "ledgers"),
                commandLine.getOptionValue("model", "assistant"),
                commandLine.getOptionValue("plain", "pond-desk"),
                listOption(commandLine, "customers"),
                intOption(commandLine, "callers", 24),
                intOption(commandLine, "tokens", 120),
                intOption(commandLine, "pause-ms", 20),
                intOption(commandLine, "seed", 1),
                System.currentTimeMillis() + intOption(commandLine, "seconds", 10) * 1_000L);
    }

    private static int run(LoadOptions options, String callKinds, String noCuts) throws Exception {
        LoadReport report = new LoadReport();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < options.callers(); i++) {
            int callerIndex = i;
            Thread thread = new Thread(() -> runCaller(options, callKinds, callerIndex, report));
            threads.add(thread);
            thread.start();
        }
        for (Thread thread : threads) {
            thread.join();
        }
        report.verifyExecutions(countExecutions(options.ledgers()));
        if (noCuts.equals("yes")) {
            for (String kind : List.of("streamCut", "readCut", "bookingCut", "bookingUnknown")) {
                if (report.getCount(kind) > 0) {
                    report.recordProblem(
                            kind + " " + report.getCount(kind) + " times in a round that must not interrupt any call");
                }
            }
        }
        printSummary(report);
        return report.getCount("problems") == 0 ? 0 : 1;
    }

    private static void runCaller(LoadOptions options, String callKinds, int callerIndex, LoadReport report) {
        SplittableRandom random = new SplittableRandom(options.seed() * 1_000 + callerIndex);
        String customer =
                options.customers().get(callerIndex % options.customers().size());
        String session = "s" + options.seed() + "-" + callerIndex;
        LoadCaller caller = new LoadCaller(options.nodes(), customer, session, random.nextLong(), report);
        int sequence = 0;
        try {
            while (System.currentTimeMillis() < options.untilMillis()) {
                String id = session + "-" + sequence++;
                // Each letter of callKinds is a kind of call: g is a generation, r a read and b a booking.
                switch (callKinds.charAt(random.nextInt(callKinds.length()))) {
                    case 'g' -> caller.generate(options.modelService(), id, 1 + random.nextInt(options.tokens()));
                    case 'r' -> caller.read(options.plainService(), id);
                    default -> caller.book(options.plainService(), id);
                }
                Thread.sleep(random.nextInt(options.pauseMillis() + 1));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Map<String, Integer> countExecutions(List<String> files) throws IOException {
        Map<String, Integer> executionsByKey = new HashMap<>();
        for (String file : files) {
            for (String key : Files.readAllLines(Path.of(file))) {
                executionsByKey.merge(key, 1, Integer::sum);
            }
        }
        return executionsByKey;
    }

    private static void printSummary(LoadReport report) throws JsonProcessingException {
        System.out.println(Exchange.JSON.writerWithDefaultPrettyPrinter().writeValueAsString(report.summary()));
    }
}
