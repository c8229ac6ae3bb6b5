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

/** Calls the system from several callers for a while, then judges every answer against the ledgers. */
public final class LoadMain {
    private static final int USAGE = 2;

    private LoadMain() {}

    private record Plan(
            List<String> nodes,
            List<String> ledgers,
            String model,
            String plain,
            List<String> customers,
            int callers,
            int tokens,
            int pauseMillis,
            long seed,
            long untilMillis) {}

    /**
     * Runs the load and prints a summary in JSON.
     *
     * @param args the options; see {@code bin/prove}
     * @throws Exception if a ledger cannot be read
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
            CommandLine line = new DefaultParser().parse(options, args);
            System.exit(run(plan(line), line.getOptionValue("kinds", "grb"), line.getOptionValue("no-cuts", "no")));
        } catch (ParseException e) {
            System.err.println("load: " + e.getMessage());
            System.exit(USAGE);
        }
    }

    private static List<String> list(CommandLine line, String name) {
        return Arrays.asList(line.getOptionValue(name, "").split(","));
    }

    private static int number(CommandLine line, String name, int fallback) {
        return Integer.parseInt(line.getOptionValue(name, Integer.toString(fallback)));
    }

    private static Plan plan(CommandLine line) {
        return new Plan(
                list(line, "nodes"),
                list(line, "ledgers"),
                line.getOptionValue("model", "assistant"),
                line.getOptionValue("plain", "pond-desk"),
                list(line, "customers"),
                number(line, "callers", 24),
                number(line, "tokens", 120),
                number(line, "pause-ms", 20),
                number(line, "seed", 1),
                System.currentTimeMillis() + number(line, "seconds", 10) * 1_000L);
    }

    private static int run(Plan plan, String kinds, String noCuts) throws Exception {
        LoadReport report = new LoadReport();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < plan.callers(); i++) {
            int number = i;
            Thread thread = new Thread(() -> callUntilDone(plan, kinds, number, report));
            threads.add(thread);
            thread.start();
        }
        for (Thread thread : threads) {
            thread.join();
        }
        report.judge(ledger(plan.ledgers()));
        if (noCuts.equals("yes")) {
            for (String kind : List.of("streamCut", "readCut", "bookingCut", "bookingUnknown")) {
                if (report.counted(kind) > 0) {
                    report.problem(kind + " " + report.counted(kind) + " times in a round that must cut off nothing");
                }
            }
        }
        print(report);
        return report.counted("problems") == 0 ? 0 : 1;
    }

    private static void callUntilDone(Plan plan, String kinds, int number, LoadReport report) {
        SplittableRandom random = new SplittableRandom(plan.seed() * 1_000 + number);
        String customer = plan.customers().get(number % plan.customers().size());
        String session = "s" + plan.seed() + "-" + number;
        LoadCaller caller = new LoadCaller(plan.nodes(), customer, session, random.nextLong(), report);
        int count = 0;
        try {
            while (System.currentTimeMillis() < plan.untilMillis()) {
                String id = session + "-" + count++;
                switch (kinds.charAt(random.nextInt(kinds.length()))) {
                    case 'g' -> caller.generate(plan.model(), id, 1 + random.nextInt(plan.tokens()));
                    case 'r' -> caller.read(plan.plain(), id);
                    default -> caller.book(plan.plain(), id);
                }
                Thread.sleep(random.nextInt(plan.pauseMillis() + 1));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Map<String, Integer> ledger(List<String> files) throws IOException {
        Map<String, Integer> runs = new HashMap<>();
        for (String file : files) {
            for (String line : Files.readAllLines(Path.of(file))) {
                runs.merge(line, 1, Integer::sum);
            }
        }
        return runs;
    }

    private static void print(LoadReport report) throws JsonProcessingException {
        System.out.println(Exchange.JSON.writerWithDefaultPrettyPrinter().writeValueAsString(report.summary()));
    }
}
