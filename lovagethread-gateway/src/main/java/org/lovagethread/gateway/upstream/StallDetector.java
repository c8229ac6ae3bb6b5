package org.lovagethread.gateway.upstream;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Detects that an upstream is temporarily slower than its lasting speed. Not thread-safe.
 *
 * <p>There are two signs: recent responses took longer than predicted, and a response is overdue. The first is forgotten
 * some seconds after the latest response, the second ends with the response, so new requests return without any probe.
 */
public final class StallDetector {
    /** Maximum slowdown. */
    private static final double MAX_SLOWDOWN = 4;

    /** Weight of the latest response in the moving average. */
    private static final double SAMPLE_WEIGHT = 0.15;

    /**
     * Time after the latest response for which the moving average counts in full, in milliseconds. In an overload, an
     * upstream that is avoided has a longer queue than is known, and earlier forgetting made more responses late.
     */
    private static final double HOLD_MILLIS = 20_000;

    /** Time in which the moving average then forgets most of a deviation, in milliseconds. */
    private static final double MEMORY_MILLIS = 3_000;

    /**
     * Time to the first event as a multiple of the predicted time from which it is overdue. With 2, prompts that
     * unexpectedly were not cached diverted requests, and equal engines served half a percentage point less in time.
     */
    private static final double OVERDUE_FACTOR = 3;

    /** Time in addition to the predicted time that does not count, for the network and scheduling, in milliseconds. */
    private static final double OVERDUE_ALLOWANCE_MILLIS = 30;

    private final PriorityQueue<Expectation> expected =
            new PriorityQueue<>(Comparator.comparingDouble(Expectation::dueMillis));
    private double averageDeviation = 1;
    private long sampledMillis;

    /** A response that is expected from the upstream. */
    public static final class Expectation {
        private final double sentMillis;
        private final double expectedMillis;

        private Expectation(double sentMillis, double expectedMillis) {
            this.sentMillis = sentMillis;
            this.expectedMillis = expectedMillis;
        }

        private double dueMillis() {
            return sentMillis + OVERDUE_FACTOR * expectedMillis;
        }
    }

    /**
     * Records that a request was sent.
     *
     * @param predictedMillis the predicted time to its response or first event in milliseconds
     * @param nowMillis the current time in milliseconds
     * @return the expectation, for {@link #end}
     */
    public Expectation start(double predictedMillis, long nowMillis) {
        Expectation expectation = new Expectation((double) nowMillis, predictedMillis + OVERDUE_ALLOWANCE_MILLIS);
        expected.add(expectation);
        return expectation;
    }

    /**
     * Records that the response or first event has arrived or is no longer expected.
     *
     * @param expectation the expectation; it may have ended before
     */
    public void end(Expectation expectation) {
        expected.remove(expectation);
    }

    /**
     * Records the time of one response.
     *
     * @param relativeMillis the time as a multiple of the time that was expected at the lasting speed
     * @param nowMillis the current time in milliseconds
     */
    public void record(double relativeMillis, long nowMillis) {
        double weight = Math.max(SAMPLE_WEIGHT, 1 - remaining(nowMillis));
        averageDeviation += weight * (Math.min(MAX_SLOWDOWN, relativeMillis) - averageDeviation);
        sampledMillis = nowMillis;
    }

    /**
     * Returns the moving average of the times of responses relative to the expected times.
     *
     * @return the average; one if no response has been recorded
     */
    public double averageDeviation() {
        return averageDeviation;
    }

    /**
     * Returns the slowdown that recent responses show.
     *
     * @param medianDeviation the median of the averages of the upstreams of the service
     * @param nowMillis the current time in milliseconds
     * @return the time of responses relative to the median; close to one if none has been recorded recently
     */
    public double recentSlowdown(double medianDeviation, long nowMillis) {
        return 1 + (averageDeviation / medianDeviation - 1) * remaining(nowMillis);
    }

    private double remaining(long nowMillis) {
        double forgettingMillis = nowMillis - sampledMillis - HOLD_MILLIS;
        return forgettingMillis <= 0 ? 1 : Math.exp(-forgettingMillis / MEMORY_MILLIS);
    }

    /**
     * Returns the slowdown that the most overdue response shows.
     *
     * @param nowMillis the current time in milliseconds
     * @return the time for which it has been expected as a multiple of the predicted time; one if none is overdue
     */
    public double overdueSlowdown(long nowMillis) {
        Expectation first = expected.peek();
        if (first == null || nowMillis < first.dueMillis()) {
            return 1;
        }
        return Math.min(MAX_SLOWDOWN, (nowMillis - first.sentMillis) / first.expectedMillis);
    }
}
