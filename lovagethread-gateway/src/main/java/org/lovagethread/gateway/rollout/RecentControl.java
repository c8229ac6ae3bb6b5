package org.lovagethread.gateway.rollout;

/** Counts of the old version's responses in a window in which older ones weigh less, and since the order. */
final class RecentControl {
    /** Weight of the rate since the order beside the recent responses, as a number of responses. */
    private static final double PRIOR_RESPONSES = 10;

    /** Number of recent responses from which their quantiles are used instead of those since the order. */
    private static final double MIN_QUANTILE_RESPONSES = 15;

    /** Half octaves above the median from which a response is slow: twice as long. */
    private static final int SLOW_DISTANCE = 2;

    /** Share of the responses that do not count as slow in any case. */
    private static final double SLOW_QUANTILE = 0.9;

    /** Maximum of a rate, above which no excess can be measured. */
    private static final double MAX_RATE = 0.95;

    private final double halfLifeMillis;
    private final double[] recent = new double[VersionStatistics.OUTCOMES];
    private final double[] overall = new double[VersionStatistics.OUTCOMES];
    private double recentResponses;
    private double overallResponses;

    /** Creates a window without responses. */
    RecentControl(double halfLifeMillis) {
        this.halfLifeMillis = halfLifeMillis;
    }

    void decay(long elapsedMillis) {
        double factor = Math.pow(0.5, elapsedMillis / halfLifeMillis);
        recentResponses *= factor;
        for (int i = 0; i < recent.length; i++) {
            recent[i] *= factor;
        }
    }

    void add(long[] counts) {
        for (int i = 0; i < recent.length; i++) {
            recent[i] += counts[i];
            overall[i] += counts[i];
            recentResponses += counts[i];
            overallResponses += counts[i];
        }
    }

    /** Returns the weight of the recent responses. */
    double recentResponses() {
        return recentResponses;
    }

    /** Returns the number of responses since the order. */
    double overallResponses() {
        return overallResponses;
    }

    /** Returns the number of failures since the order. */
    double overallFailures() {
        return overall[0];
    }

    /** Returns the share of the responses in a range of counts, at least the given rate. */
    double rate(int from, int to, double minRate) {
        double recentSum = 0;
        double overallSum = 0;
        for (int i = from; i < to; i++) {
            recentSum += recent[i];
            overallSum += overall[i];
        }
        double overallRate = (overallSum + PRIOR_RESPONSES * minRate) / (overallResponses + PRIOR_RESPONSES);
        double rate = (recentSum + PRIOR_RESPONSES * overallRate) / (recentResponses + PRIOR_RESPONSES);
        return Math.min(MAX_RATE, Math.max(minRate, rate));
    }

    /** Returns the index of the first count of slow responses. */
    int slowBucket() {
        double[] counts = recentResponses >= MIN_QUANTILE_RESPONSES ? recent : overall;
        int threshold = Math.max(quantile(counts, SLOW_QUANTILE), quantile(counts, 0.5) + SLOW_DISTANCE);
        return Math.min(VersionStatistics.OUTCOMES, threshold + 1);
    }

    private static int quantile(double[] counts, double share) {
        double total = 0;
        for (int i = 1; i < counts.length; i++) {
            total += counts[i];
        }
        double sum = 0;
        for (int i = 1; i < counts.length; i++) {
            sum += counts[i];
            if (sum >= share * total) {
                return i;
            }
        }
        return counts.length - 1;
    }
}
