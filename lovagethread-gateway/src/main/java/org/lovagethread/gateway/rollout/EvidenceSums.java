package org.lovagethread.gateway.rollout;

/**
 * Cumulative sums of log-likelihood ratios for failures and slow responses, for all data and for subsets of it.
 *
 * <p>Each subset lacks one group of target upstreams or one group of reporting gateways. A sum does not fall below
 * zero.
 */
final class EvidenceSums {
    /** Number of groups of reporters. */
    static final int REPORTER_GROUPS = 8;

    /** Subsets of the data: all, without each upstream group, without each reporter group. */
    static final int SUBSETS = 1 + CanaryPlan.GROUPS + REPORTER_GROUPS;

    /** Sum that proves a version bad by failures: at most one false alarm in e^9 responses. */
    private static final double FAILURE_THRESHOLD = 9;

    /** The same for slow responses, which come in clusters and so are less independent of each other. */
    private static final double SLOWNESS_THRESHOLD = 12;

    /**
     * Logarithm of the likelihood ratio for the highest excess rate from which a version is acceptable: about 20 good
     * responses, without those of any one group.
     */
    private static final double ACCEPTANCE = -8;

    /** Excess rates of bad responses that are tested for. */
    private static final double[] EXCESS_RATES = {0.1, 0.35};

    /** Maximum of a sum, so that it remains comparable after extreme reports. */
    private static final double LIMIT = 1e6;

    private final double[][] failureSums = new double[EXCESS_RATES.length][SUBSETS];
    private final double[][] slownessSums = new double[EXCESS_RATES.length][SUBSETS];
    private final double[] failureTotals = new double[SUBSETS];
    private final double[] slownessTotals = new double[SUBSETS];
    private final boolean[] usedSubsets = new boolean[SUBSETS];

    /** Adds a value to all subsets that contain a group of reporters and a group of upstreams. */
    static void addTo(long[] values, long value, int reporters, int group) {
        for (int subset = 0; subset < SUBSETS; subset++) {
            if (subset != 1 + group && subset != 1 + CanaryPlan.GROUPS + reporters) {
                values[subset] += value;
            }
        }
    }

    /** Records that a group of upstreams has responses. */
    void recordUpstreams(int group) {
        usedSubsets[1 + group] = true;
    }

    /** Records that a group of reporters has sent reports, even if it has sent no requests. */
    void recordReporters(int reporters) {
        usedSubsets[1 + CanaryPlan.GROUPS + reporters] = true;
    }

    /** Adds failures among responses, by subset, given the rate of failures of the old version. */
    void addFailures(long[] responses, long[] failures, double rate) {
        for (int subset = 0; subset < SUBSETS; subset++) {
            failureTotals[subset] += add(failureSums, subset, responses[subset], failures[subset], rate);
        }
    }

    /** Adds slow responses among those that did not fail, given the rate of slow ones of the old version. */
    void addSlow(long[] responses, long[] failures, long[] slow, double rate) {
        for (int subset = 0; subset < SUBSETS; subset++) {
            slownessTotals[subset] +=
                    add(slownessSums, subset, responses[subset] - failures[subset], slow[subset], rate);
        }
    }

    /** Adds to the sums; returns the logarithm of the likelihood ratio for the highest excess rate. */
    private static double add(double[][] sums, int subset, long responses, long badOnes, double rate) {
        double ratio = 0;
        for (int i = 0; i < EXCESS_RATES.length; i++) {
            double badRate = rate + EXCESS_RATES[i] * (1 - rate);
            ratio = badOnes * Math.log(badRate / rate) + (responses - badOnes) * Math.log((1 - badRate) / (1 - rate));
            sums[i][subset] += ratio;
        }
        return ratio;
    }

    /** Limits the sums after all data of one evaluation has been added. */
    void limit() {
        limit(failureSums);
        limit(slownessSums);
    }

    private static void limit(double[][] sums) {
        for (double[] row : sums) {
            for (int subset = 0; subset < SUBSETS; subset++) {
                row[subset] = Math.min(LIMIT, Math.max(0, row[subset]));
            }
        }
    }

    /** Returns the strength of the evidence; one or more proves the version bad. */
    double evidence() {
        double strongest = 0;
        for (int i = 0; i < EXCESS_RATES.length; i++) {
            strongest = Math.max(strongest, weakest(failureSums[i]) / FAILURE_THRESHOLD);
            strongest = Math.max(strongest, weakest(slownessSums[i]) / SLOWNESS_THRESHOLD);
        }
        return strongest;
    }

    /** Returns whether there are enough good responses to conclude that the version is not clearly worse. */
    boolean areAcceptable() {
        return Math.max(weakest(failureTotals), weakest(slownessTotals)) <= ACCEPTANCE;
    }

    /** Returns the smallest sum of all data and of the subsets that lack one of several groups with data. */
    private double weakest(double[] sums) {
        double withoutUpstreams = weakest(sums, 1, CanaryPlan.GROUPS, 2);
        double withoutReporters = weakest(sums, 1 + CanaryPlan.GROUPS, REPORTER_GROUPS, 3);
        return Math.min(sums[0], Math.min(withoutUpstreams, withoutReporters));
    }

    private double weakest(double[] sums, int from, int count, int minUsed) {
        int used = 0;
        double weakest = Double.MAX_VALUE;
        for (int subset = from; subset < from + count; subset++) {
            if (usedSubsets[subset]) {
                used++;
                weakest = Math.min(weakest, sums[subset]);
            }
        }
        return used >= minUsed ? weakest : Double.MAX_VALUE;
    }
}
