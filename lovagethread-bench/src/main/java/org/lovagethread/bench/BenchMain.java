package org.lovagethread.bench;

/** Runs the benchmark that the first argument names. */
public final class BenchMain {
    private static final int USAGE = 2;

    private BenchMain() {}

    /**
     * Runs a benchmark and prints a table.
     *
     * @param args {@code core}, {@code policy}, {@code control}, or {@code latency} with two addresses, a rate and a number of seconds
     * @throws Exception if an address gives no answer
     */
    public static void main(String[] args) throws Exception {
        String name = args.length == 0 ? "" : args[0];
        switch (name) {
            case "core" -> CoreBench.run();
            case "policy" -> PolicyBench.run();
            case "control" -> ControlBench.run();
            case "latency" -> LatencyBench.run(args);
            default -> {
                System.err.println("bench: found \"" + name + "\", allowed core, policy, control or latency");
                System.exit(USAGE);
            }
        }
    }
}
