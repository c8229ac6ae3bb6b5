package org.lovagethread.gateway.engine;

/**
 * Estimated performance of the engines of a service, and the mean size of its requests.
 *
 * @param overheadMillis the time to the first event in addition to processing prompts, in milliseconds
 * @param tokensPerMilli the prompt tokens that an engine processes per millisecond
 * @param unreadTokens the mean number of prompt tokens of a request that an engine has to process
 * @param unreadTokensSquared the mean square of that number
 * @param requestedTokens the mean number of prompt tokens and maximum output tokens of a request
 * @param streamMillis the mean time from the first event of a stream to its end, in milliseconds
 * @param samples the number of recent first events on which the estimate is based
 */
public record EngineEstimate(
        double overheadMillis,
        double tokensPerMilli,
        double unreadTokens,
        double unreadTokensSquared,
        double requestedTokens,
        double streamMillis,
        double samples) {
    /** The estimate before any sample. */
    public static final EngineEstimate PRIOR = builder().build();

    /** Minimum estimated overhead, in milliseconds. */
    static final double MIN_OVERHEAD_MILLIS = 1;

    /** Maximum estimated prompt tokens per millisecond. */
    static final double MAX_TOKENS_PER_MILLI = 10_000;

    /** Number of samples that weigh as much as the prior. */
    private static final double PRIOR_SAMPLES = 4;

    private static final double PRIOR_OVERHEAD_MILLIS = 50;
    private static final double PRIOR_TOKENS_PER_MILLI = 100;
    private static final double PRIOR_UNREAD_TOKENS = 4_000;
    private static final double PRIOR_REQUESTED_TOKENS = 7_000;
    private static final double PRIOR_STREAM_MILLIS = 1_000;

    /**
     * Returns the time in which an engine processes a number of prompt tokens.
     *
     * @param tokens the number of tokens
     * @return the time in milliseconds
     */
    public double processingMillis(double tokens) {
        return tokens / tokensPerMilli;
    }

    /**
     * Returns the predicted time to the first event.
     *
     * @param queuedTokens the prompt tokens that the engine has to process until then
     * @return the time in milliseconds
     */
    public double firstEventMillis(double queuedTokens) {
        return overheadMillis + processingMillis(queuedTokens);
    }

    /**
     * Returns the share of the requested tokens that engines have to process as prompt.
     *
     * @return the share
     */
    public double unreadShare() {
        return unreadTokens / requestedTokens;
    }

    /**
     * Returns the mean remaining processing time of the prompt that an arriving request finds in process.
     *
     * @return the time in milliseconds
     */
    public double residualMillis() {
        return processingMillis(unreadTokensSquared / (2 * unreadTokens));
    }

    /**
     * Returns the estimated performance of an engine of another speed.
     *
     * @param speed the speed as a multiple of that of the engines of this estimate
     * @return the estimate
     */
    public EngineEstimate atSpeed(double speed) {
        return new EngineEstimate(
                overheadMillis / speed,
                tokensPerMilli * speed,
                unreadTokens,
                unreadTokensSquared,
                requestedTokens,
                streamMillis / speed,
                samples);
    }

    /**
     * Creates a builder with the values of the prior, which lies between those of slow and fast engines.
     *
     * @return the new builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the statistics that represent this estimate as a prior. */
    EngineStatistics asStatistics() {
        EngineStatistics statistics = new EngineStatistics();
        statistics.addPoint(0, overheadMillis, PRIOR_SAMPLES / 2);
        statistics.addPoint(2 * unreadTokens, firstEventMillis(2 * unreadTokens), PRIOR_SAMPLES / 2);
        statistics.addMeans(this, PRIOR_SAMPLES);
        return statistics;
    }

    /** Builder of an estimate. */
    public static final class Builder {
        private double overheadMillis = PRIOR_OVERHEAD_MILLIS;
        private double tokensPerMilli = PRIOR_TOKENS_PER_MILLI;
        private double unreadTokens = PRIOR_UNREAD_TOKENS;
        // The mean square of exponentially distributed numbers is twice the square of their mean.
        private double unreadTokensSquared = 2 * PRIOR_UNREAD_TOKENS * PRIOR_UNREAD_TOKENS;
        private double requestedTokens = PRIOR_REQUESTED_TOKENS;
        private double streamMillis = PRIOR_STREAM_MILLIS;
        private double samples;

        private Builder() {}

        /**
         * Sets the time to the first event in addition to processing prompts.
         *
         * @param millis the time in milliseconds
         * @return this builder
         */
        public Builder overheadMillis(double millis) {
            overheadMillis = millis;
            return this;
        }

        /**
         * Sets the speed of prompt processing.
         *
         * @param tokens the prompt tokens per millisecond
         * @return this builder
         */
        public Builder tokensPerMilli(double tokens) {
            tokensPerMilli = tokens;
            return this;
        }

        /**
         * Sets the mean number of prompt tokens of a request that an engine has to process.
         *
         * @param tokens the number of tokens
         * @return this builder
         */
        public Builder unreadTokens(double tokens) {
            unreadTokens = tokens;
            return this;
        }

        /**
         * Sets the mean square of the number of prompt tokens of a request that an engine has to process.
         *
         * @param square the mean square
         * @return this builder
         */
        public Builder unreadTokensSquared(double square) {
            unreadTokensSquared = square;
            return this;
        }

        /**
         * Sets the mean number of prompt tokens and maximum output tokens of a request.
         *
         * @param tokens the number of tokens
         * @return this builder
         */
        public Builder requestedTokens(double tokens) {
            requestedTokens = tokens;
            return this;
        }

        /**
         * Sets the mean time from the first event of a stream to its end.
         *
         * @param millis the time in milliseconds
         * @return this builder
         */
        public Builder streamMillis(double millis) {
            streamMillis = millis;
            return this;
        }

        /**
         * Sets the number of samples.
         *
         * @param number the number of recent first events
         * @return this builder
         */
        public Builder samples(double number) {
            samples = number;
            return this;
        }

        /**
         * Builds the estimate.
         *
         * @return the estimate
         */
        public EngineEstimate build() {
            return new EngineEstimate(
                    overheadMillis,
                    tokensPerMilli,
                    unreadTokens,
                    unreadTokensSquared,
                    requestedTokens,
                    streamMillis,
                    samples);
        }
    }
}
