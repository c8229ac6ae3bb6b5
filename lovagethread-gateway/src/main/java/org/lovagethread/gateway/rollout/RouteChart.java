package org.lovagethread.gateway.rollout;

import java.util.Arrays;

/**
 * The responses of both versions on one route, and their comparison.
 *
 * <p>The responses of the target version are compared once most requests that were sent to the old version at the same
 * time have got theirs. Otherwise the target version would look slow whenever it responds first while both are slow.
 */
final class RouteChart {
    /** Rate of failures that is assumed of an old version even if it has none. */
    private static final double MIN_FAILURE_RATE = 0.015;

    /** Rate of slow responses that is assumed of an old version even if it has none. */
    private static final double MIN_SLOW_RATE = 0.04;

    /** Number of responses of the old version without which nothing is compared. */
    private static final long MIN_CONTROL_RESPONSES = 8;

    /** Share of the old version's requests that must have got their responses before a comparison. */
    private static final double MIN_COMPLETE_SHARE = 0.85;

    /** Time after which the responses of the old version in the shorter window have half their weight. */
    private static final double SHORT_HALF_LIFE_MILLIS = 300;

    /** The same for the longer window. */
    private static final double LONG_HALF_LIFE_MILLIS = 1_500;

    /** The same for the responses under full load, which end when traffic is shifted. */
    private static final double FULL_LOAD_HALF_LIFE_MILLIS = 10_000;

    /** Time after which a comparison no longer waits for the old version, in milliseconds. */
    private static final long MAX_WAIT_MILLIS = 2_000;

    private final RecentControl shortTerm = new RecentControl(SHORT_HALF_LIFE_MILLIS);
    private final RecentControl longTerm = new RecentControl(LONG_HALF_LIFE_MILLIS);
    private final RecentControl fullLoad = new RecentControl(FULL_LOAD_HALF_LIFE_MILLIS);
    private final EvidenceSums sums = new EvidenceSums();
    private final long[][][] waiting =
            new long[EvidenceSums.REPORTER_GROUPS][VersionStatistics.GROUPS][VersionStatistics.COUNTS];
    private boolean shifting;
    private long waitingMillis;
    private long controlSent;
    private long controlComplete;
    private long targetResponses;
    private long targetFailures;
    private long targetSlow;

    void recordReporters(int reporters) {
        sums.recordReporters(reporters);
    }

    /** Adds the counts of a step, which may be null, to the evidence of this route and of all routes. */
    void evaluate(long[][][] step, long elapsedMillis, boolean isShifting, EvidenceSums all) {
        shifting = isShifting;
        waitingMillis += elapsedMillis;
        if (step != null) {
            addToWaiting(step);
        }
        boolean isResponding = controlComplete >= MIN_CONTROL_RESPONSES && waitingMillis >= MAX_WAIT_MILLIS;
        if (controlComplete < MIN_COMPLETE_SHARE * controlSent && !isResponding) {
            return;
        }
        shortTerm.decay(waitingMillis);
        longTerm.decay(waitingMillis);
        fullLoad.decay(waitingMillis);
        for (long[][] groups : waiting) {
            shortTerm.add(groups[VersionStatistics.CONTROL]);
            longTerm.add(groups[VersionStatistics.CONTROL]);
            fullLoad.add(groups[VersionStatistics.FULL_LOAD]);
        }
        compare(all);
        for (long[][] groups : waiting) {
            for (long[] counts : groups) {
                Arrays.fill(counts, 0);
            }
        }
        waitingMillis = 0;
        controlSent = 0;
        controlComplete = 0;
        sums.limit();
    }

    private void addToWaiting(long[][][] step) {
        for (int reporters = 0; reporters < EvidenceSums.REPORTER_GROUPS; reporters++) {
            for (int group = 0; group < VersionStatistics.GROUPS; group++) {
                long[] counts = step[reporters][group];
                for (int i = 0; counts != null && i < VersionStatistics.COUNTS; i++) {
                    waiting[reporters][group][i] += counts[i];
                }
            }
            long[] control = step[reporters][VersionStatistics.CONTROL];
            if (control != null) {
                controlSent += control[VersionStatistics.SENT];
                controlComplete += sum(control, 0);
            }
        }
    }

    private void compare(EvidenceSums all) {
        int slowBucket =
                Math.max(Math.max(shortTerm.slowBucket(), longTerm.slowBucket()), shifting ? fullLoad.slowBucket() : 0);
        long[] responses = new long[EvidenceSums.SUBSETS];
        long[] failures = new long[EvidenceSums.SUBSETS];
        long[] slow = new long[EvidenceSums.SUBSETS];
        for (int reporters = 0; reporters < EvidenceSums.REPORTER_GROUPS; reporters++) {
            for (int group = 0; group < CanaryPlan.GROUPS; group++) {
                long[] counts = waiting[reporters][group];
                EvidenceSums.addTo(responses, sum(counts, 0), reporters, group);
                EvidenceSums.addTo(failures, counts[0], reporters, group);
                EvidenceSums.addTo(slow, sum(counts, slowBucket), reporters, group);
                if (sum(counts, 0) > 0) {
                    sums.recordUpstreams(group);
                    all.recordUpstreams(group);
                }
            }
        }
        targetResponses += responses[0];
        targetFailures += failures[0];
        targetSlow += slow[0];
        if (longTerm.overallResponses() >= MIN_CONTROL_RESPONSES) {
            double failureRate = rate(0, 1, MIN_FAILURE_RATE);
            double slowRate = rate(slowBucket, VersionStatistics.OUTCOMES, MIN_SLOW_RATE);
            sums.addFailures(responses, failures, failureRate);
            all.addFailures(responses, failures, failureRate);
            sums.addSlow(responses, failures, slow, slowRate);
            all.addSlow(responses, failures, slow, slowRate);
        }
    }

    /**
     * Returns the rate of the old version for a range of outcomes. The higher one of two windows is taken, so that
     * neither the start nor the end of a fault of both versions looks like a fault of the target version. While traffic
     * is shifted, the old version under full load counts as well, since it has no load any more.
     */
    private double rate(int from, int to, double minRate) {
        double recentRate = Math.max(shortTerm.rate(from, to, minRate), longTerm.rate(from, to, minRate));
        return shifting ? Math.max(recentRate, fullLoad.rate(from, to, minRate)) : recentRate;
    }

    private static long sum(long[] counts, int from) {
        long sum = 0;
        for (int i = from; i < VersionStatistics.OUTCOMES; i++) {
            sum += counts[i];
        }
        return sum;
    }

    /** Returns the strength of the evidence on this route; one or more proves the version bad. */
    double evidence() {
        return sums.evidence();
    }

    /** Returns whether the old version has had responses lately. */
    boolean isCompared() {
        return longTerm.recentResponses() >= 1;
    }

    long targetResponses() {
        return targetResponses;
    }

    long targetFailures() {
        return targetFailures;
    }

    long targetSlow() {
        return targetSlow;
    }

    long controlResponses() {
        return (long) longTerm.overallResponses();
    }

    long controlFailures() {
        return (long) longTerm.overallFailures();
    }
}
