package org.lovagethread.gateway.emulator;

import java.util.Arrays;
import java.util.List;
import java.util.function.Predicate;
import org.lovagethread.gateway.config.Route;
import org.lovagethread.gateway.config.RouteKind;

/** Figures of one run of {@link FairnessEmulation}, for the requests that arrived within a fixed period. */
final class FairnessResult {
    static final long TARGET_MILLIS = 1_000;
    static final int HOT = 5;
    static final int OTHERS = 5;
    static final Route URGENT = route("urgent", 0);
    static final Route LESS_URGENT = route("less-urgent", 1);

    /** Requests per second of the customers, relative to each other. */
    private static final double[] SIZES = {1, 2, 3, 4, 5, 5};

    private static final long SEED = 7;
    private static final double INCREASE_MILLIS = 4_000;

    /** Start of the period, by which the queue of the first second after the increase has been processed. */
    private static final double FROM_MILLIS = 16_000;

    private static final double TO_MILLIS = 24_000;

    /** End of the run, at which all requests of the period have been served or refused. */
    private static final double END_MILLIS = 36_000;

    private static final double LONGEST_SHARE = 0.1;

    private final List<FairnessEmulation.Sample> samples;

    private FairnessResult(List<FairnessEmulation.Sample> samples) {
        this.samples = samples;
    }

    private static Route route(String name, int priority) {
        return Route.builder(name)
                .match("h", "/" + name + "/")
                .kind(RouteKind.EVENT_STREAM, true, 2)
                .times(15_000, TARGET_MILLIS, 400)
                .access(priority, false)
                .services(List.of(new Route.WeightedService(FairnessEmulation.SERVICE, 1)))
                .build();
    }

    static FairnessResult of(double usualPerSecond, double factor, List<Route> routes, boolean fair, int cutOff) {
        double unit = usualPerSecond / Arrays.stream(SIZES).sum();
        List<Double> rates = Arrays.stream(SIZES).mapToObj(size -> size * unit).toList();
        return new FairnessResult(new FairnessEmulation(
                        new FairnessEmulation.Config(rates, HOT, factor, INCREASE_MILLIS, routes, fair, cutOff, SEED))
                .run(END_MILLIS));
    }

    private List<FairnessEmulation.Sample> arrived(Predicate<FairnessEmulation.Sample> filter) {
        return samples.stream()
                .filter(sample -> sample.startedMillis() >= FROM_MILLIS && sample.startedMillis() < TO_MILLIS)
                .filter(filter)
                .toList();
    }

    private static double share(
            List<FairnessEmulation.Sample> selected, Predicate<FairnessEmulation.Sample> condition) {
        return (double) selected.stream().filter(condition).count() / selected.size();
    }

    private static boolean isServed(FairnessEmulation.Sample sample) {
        return Double.isFinite(sample.actualMillis());
    }

    /** Returns the 95th percentile of the time to the first event, in which refusals count as infinite. */
    double percentile95(int customer) {
        double[] times = arrived(sample -> sample.customer() == customer).stream()
                .mapToDouble(FairnessEmulation.Sample::actualMillis)
                .sorted()
                .toArray();
        return times[(int) (times.length * 0.95)];
    }

    double servedShare(int customer) {
        return share(arrived(sample -> sample.customer() == customer), FairnessResult::isServed);
    }

    double servedShare(Route route) {
        return share(arrived(sample -> sample.route().equals(route)), FairnessResult::isServed);
    }

    /** Returns how often the longest tenth of the prompts is served, relative to the others. */
    double longPromptsServed() {
        int[] lengths = samples.stream()
                .mapToInt(FairnessEmulation.Sample::promptTokens)
                .sorted()
                .toArray();
        int limit = lengths[(int) (lengths.length * (1 - LONGEST_SHARE))];
        return share(arrived(sample -> sample.promptTokens() > limit), FairnessResult::isServed)
                / share(arrived(sample -> sample.promptTokens() <= limit), FairnessResult::isServed);
    }

    /** Returns the tokens per second of all requests that were served. */
    double throughput() {
        return tokensPerSecond(Double.MAX_VALUE);
    }

    /** Returns the tokens per second of the requests that were served within the target latency. */
    double inTimeThroughput() {
        return tokensPerSecond(TARGET_MILLIS);
    }

    private double tokensPerSecond(double maxMillis) {
        return samples.stream()
                        .filter(sample -> sample.firstEventMillis() >= FROM_MILLIS
                                && sample.firstEventMillis() < TO_MILLIS
                                && sample.actualMillis() <= maxMillis)
                        .mapToDouble(FairnessEmulation.Sample::work)
                        .sum()
                * 1_000
                / (TO_MILLIS - FROM_MILLIS);
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder("p95 ms, served share:");
        for (int customer = 0; customer <= OTHERS; customer++) {
            text.append(' ')
                    .append(Math.round(percentile95(customer)))
                    .append(", ")
                    .append(Math.round(100 * servedShare(customer)) / 100.0)
                    .append(';');
        }
        return text.append(" tokens/s ")
                .append(Math.round(throughput()))
                .append(", in time ")
                .append(Math.round(inTimeThroughput()))
                .append("; long prompts ")
                .append(longPromptsServed())
                .toString();
    }
}
