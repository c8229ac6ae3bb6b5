package org.lovagethread.gateway.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Sums over the recent streams of a service, from which an {@link EngineEstimate} is calculated.
 *
 * <p>Older samples are forgotten exponentially. The sums of several gateways can be added, so gateways exchange them. Not
 * thread-safe.
 */
public final class EngineStatistics {
    /** Number of recent samples that dominate each sum. */
    private static final double MEMORY_SAMPLES = 64;

    private static final double DECAY = 1 - 1 / MEMORY_SAMPLES;

    /** Relative deviation from the predicted time up to which samples have equal weight. */
    private static final double FULL_WEIGHT_DEVIATION = 0.1;

    // Indexes of the sums, in the order in which they are exchanged.
    private static final int FIRST_EVENTS = 0;
    private static final int WEIGHT = 1;
    private static final int WEIGHTED_TOKENS = 2;
    private static final int WEIGHTED_MILLIS = 3;
    private static final int WEIGHTED_TOKENS_SQUARED = 4;
    private static final int WEIGHTED_TOKENS_MILLIS = 5;
    private static final int PROMPTS = 6;
    private static final int UNREAD_TOKENS = 7;
    private static final int UNREAD_TOKENS_SQUARED = 8;
    private static final int REQUESTED_TOKENS = 9;
    private static final int STREAMS = 10;
    private static final int STREAM_MILLIS = 11;
    private static final int SUMS = 12;

    private final double[] sums = new double[SUMS];

    /**
     * Creates statistics from exchanged values.
     *
     * @param values the values, as returned by {@link #values}
     * @return the statistics, or empty if a gateway of another version sent other values
     */
    public static Optional<EngineStatistics> of(List<Float> values) {
        if (values.size() != SUMS || !values.stream().allMatch(value -> Float.isFinite(value) && value >= 0)) {
            return Optional.empty();
        }
        EngineStatistics statistics = new EngineStatistics();
        for (int i = 0; i < values.size(); i++) {
            statistics.sums[i] = values.get(i);
        }
        return Optional.of(statistics);
    }

    /**
     * Returns the values to exchange with other gateways.
     *
     * @return the values
     */
    public List<Float> values() {
        List<Float> values = new ArrayList<>(sums.length);
        for (double sum : sums) {
            values.add((float) sum);
        }
        return values;
    }

    /**
     * Records that a request was sent to an engine.
     *
     * @param unreadTokens the prompt tokens that the engine probably has to process
     * @param requestedTokens the prompt tokens and the maximum output tokens of the request
     */
    public void recordPrompt(double unreadTokens, double requestedTokens) {
        decay(PROMPTS, REQUESTED_TOKENS);
        add(PROMPTS, 1);
        add(UNREAD_TOKENS, unreadTokens);
        add(UNREAD_TOKENS_SQUARED, unreadTokens * unreadTokens);
        add(REQUESTED_TOKENS, requestedTokens);
    }

    /**
     * Records the time to the first event of a stream.
     *
     * <p>Samples are weighted by the inverse square of their predicted time, since deviations grow with it, and by the
     * inverse of their deviation. The regression thus estimates the median, so prompts that unexpectedly were not cached
     * hardly change it.
     *
     * @param queuedTokens the prompt tokens that the engine had to process until then
     * @param millis the time to the first event in milliseconds
     * @param predictedMillis the time predicted by the current estimate in milliseconds; must be positive
     */
    public void recordFirstEvent(double queuedTokens, double millis, double predictedMillis) {
        decay(FIRST_EVENTS, WEIGHTED_TOKENS_MILLIS);
        add(FIRST_EVENTS, 1);
        double deviation = Math.abs(millis / predictedMillis - 1);
        double deviationWeight = FULL_WEIGHT_DEVIATION / Math.max(FULL_WEIGHT_DEVIATION, deviation);
        addWeighted(queuedTokens, millis, deviationWeight / (predictedMillis * predictedMillis));
    }

    /**
     * Records that a stream was completed.
     *
     * @param millis the time from its first event to its end in milliseconds
     */
    public void recordStream(double millis) {
        decay(STREAMS, STREAM_MILLIS);
        add(STREAMS, 1);
        add(STREAM_MILLIS, millis);
    }

    /**
     * Adds the sums of other statistics.
     *
     * @param other the statistics to add
     */
    public void add(EngineStatistics other) {
        for (int i = 0; i < sums.length; i++) {
            sums[i] += other.sums[i];
        }
    }

    /**
     * Returns whether nothing has been recorded.
     *
     * @return true if there is no sample
     */
    public boolean isEmpty() {
        return sum(PROMPTS) == 0;
    }

    /**
     * Calculates an estimate from the sums and a prior, whose weight is that of a few samples.
     *
     * @param prior the estimate without any sample
     * @return the estimate
     */
    EngineEstimate estimate(EngineEstimate prior) {
        EngineStatistics total = prior.asStatistics();
        total.add(this);
        double weight = total.sum(WEIGHT);
        double tokens = total.sum(WEIGHTED_TOKENS);
        double millis = total.sum(WEIGHTED_MILLIS);
        double tokensSquared = total.sum(WEIGHTED_TOKENS_SQUARED);
        double tokensMillis = total.sum(WEIGHTED_TOKENS_MILLIS);
        double millisPerToken = (weight * tokensMillis - tokens * millis) / (weight * tokensSquared - tokens * tokens);
        double overheadMillis = (millis - millisPerToken * tokens) / weight;
        if (overheadMillis < EngineEstimate.MIN_OVERHEAD_MILLIS) {
            overheadMillis = EngineEstimate.MIN_OVERHEAD_MILLIS;
            millisPerToken = (tokensMillis - overheadMillis * tokens) / tokensSquared;
        }
        double prompts = total.sum(PROMPTS);
        return EngineEstimate.builder()
                .overheadMillis(overheadMillis)
                .tokensPerMilli(1 / Math.max(millisPerToken, 1 / EngineEstimate.MAX_TOKENS_PER_MILLI))
                .unreadTokens(total.sum(UNREAD_TOKENS) / prompts)
                .unreadTokensSquared(total.sum(UNREAD_TOKENS_SQUARED) / prompts)
                .requestedTokens(total.sum(REQUESTED_TOKENS) / prompts)
                .streamMillis(total.sum(STREAM_MILLIS) / total.sum(STREAMS))
                .samples(sum(FIRST_EVENTS))
                .build();
    }

    /** Adds prompts and streams of the given number with the given means. */
    void addMeans(EngineEstimate means, double samples) {
        add(PROMPTS, samples);
        add(UNREAD_TOKENS, samples * means.unreadTokens());
        add(UNREAD_TOKENS_SQUARED, samples * means.unreadTokensSquared());
        add(REQUESTED_TOKENS, samples * means.requestedTokens());
        add(STREAMS, samples);
        add(STREAM_MILLIS, samples * means.streamMillis());
    }

    /** Adds samples of the given number at the given point of the regression. */
    void addPoint(double queuedTokens, double millis, double samples) {
        addWeighted(queuedTokens, millis, samples / (millis * millis));
    }

    private void addWeighted(double queuedTokens, double millis, double weight) {
        add(WEIGHT, weight);
        add(WEIGHTED_TOKENS, weight * queuedTokens);
        add(WEIGHTED_MILLIS, weight * millis);
        add(WEIGHTED_TOKENS_SQUARED, weight * queuedTokens * queuedTokens);
        add(WEIGHTED_TOKENS_MILLIS, weight * queuedTokens * millis);
    }

    private double sum(int index) {
        return sums[index];
    }

    private void add(int index, double value) {
        sums[index] += value;
    }

    private void decay(int first, int last) {
        for (int i = first; i <= last; i++) {
            sums[i] *= DECAY;
        }
    }
}
