package org.lovagethread.bench;

/** Command-line entry point of the benchmarks. */
public final class BenchMain {
    private static final int EXIT_USAGE = 2;

    private BenchMain() {}

    /**
     * Runs the benchmark that the first argument names and prints its results as a table.
     *
     * @param args {@code core}, {@code policy}, {@code control}, or {@code latency} followed by the address of a node, the
     *     address of a plain stand-in, the rate in requests per second, the seconds per measurement, a service and a
     *     customer
     * @throws Exception if the benchmark fails
     */
    public static void main(String[] args) throws Exception {
        String name = args.length == 0 ? "" : args[0];
        switch (name) {
            case "core" -> CoreBench.run();
            case "policy" -> PolicyBench.run();
            case "control" -> ControlBench.run();
            case "latency" -> LatencyBench.run(args);
            default -> {
                System.err.println(
                        "bench: invalid benchmark \"" + name + "\", expected core, policy, control or latency");
                System.exit(EXIT_USAGE);
            }
        }
    }
}
