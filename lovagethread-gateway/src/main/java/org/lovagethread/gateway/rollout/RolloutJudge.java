package org.lovagethread.gateway.rollout;

import java.util.HashMap;
import java.util.Map;
import org.lovagethread.core.RendezvousHash;

/**
 * Judges a version by a sequential test of its failures and slow responses against those of the old version.
 *
 * <p>For each route, a cumulative sum of log-likelihood ratios compares the hypothesis that the target version fails as
 * often as the old one in the same seconds with the hypothesis that it fails clearly more often. The sum does not fall
 * below zero, so a version that turns bad late is noticed as soon as one that is bad at once. The sums are kept also
 * without each group of target upstreams and without each group of reporting gateways; all of them must prove the
 * version bad, so neither one faulty upstream nor one extreme report can.
 */
public final class RolloutJudge {
    /** Factor by which the evidence is divided while there is no old version left to compare with. */
    private static final double UNCOMPARED_FACTOR = 1.5;

    /** Time from the first evaluation within which nothing is concluded, until all gateways have reported. */
    private static final long FIRST_REPORTS_MILLIS = 800;

    /** Maximum responses of one reporter, group and route in one evaluation; limits the weight of extreme reports. */
    private static final long MAX_STEP = 200;

    /** Evidence, as a part of what proves a version bad, from which it is not acceptable. */
    private static final double DOUBTFUL_EVIDENCE = 0.5;

    private final Map<String, VersionStatistics> seenByReporter = new HashMap<>();
    private final Map<String, RouteChart> charts = new HashMap<>();
    private final EvidenceSums all = new EvidenceSums();
    private long startedMillis = Long.MIN_VALUE;
    private long evaluatedMillis;
    private double evidence;
    private boolean bad;

    /**
     * Evaluates the responses that were reported since the last evaluation.
     *
     * @param totals the totals of each reporting gateway since the order
     * @param isShifting whether the target upstreams have the whole load
     * @param nowMillis the current time in milliseconds
     */
    public void evaluate(Map<String, VersionStatistics> totals, boolean isShifting, long nowMillis) {
        Map<String, long[][][]> steps = new HashMap<>();
        totals.forEach((reporter, total) -> addSteps(reporter, total, steps));
        if (startedMillis == Long.MIN_VALUE) {
            startedMillis = nowMillis;
            evaluatedMillis = nowMillis;
        }
        long elapsedMillis = Math.max(0, nowMillis - evaluatedMillis);
        evaluatedMillis = nowMillis;
        steps.keySet().forEach(route -> charts.computeIfAbsent(route, name -> new RouteChart()));
        charts.forEach((route, chart) -> chart.evaluate(steps.get(route), elapsedMillis, isShifting, all));
        all.limit();
        evidence = charts.values().stream().mapToDouble(RouteChart::evidence).reduce(all.evidence(), Math::max);
        if (charts.values().stream().noneMatch(RouteChart::isCompared)) {
            evidence /= UNCOMPARED_FACTOR;
        }
        bad |= evidence >= 1 && nowMillis - startedMillis >= FIRST_REPORTS_MILLIS;
    }

    /**
     * Returns whether the version has been proved bad. Once true, this does not change.
     *
     * @return true if it must not receive requests
     */
    public boolean isBad() {
        return bad;
    }

    /**
     * Returns whether there are enough good responses to conclude that the version is not clearly worse.
     *
     * @return false if it cannot be judged
     */
    public boolean isAcceptable() {
        return !bad && evidence < DOUBTFUL_EVIDENCE && all.areAcceptable();
    }

    /** Concludes that the version is bad, because many other gateways did before this one received their reports. */
    public void adoptConclusion() {
        bad = true;
    }

    /**
     * Returns the strength of the evidence against the version.
     *
     * @return one or more if it proves the version bad, zero if there is none
     */
    public double evidence() {
        return evidence;
    }

    /**
     * Returns the number of responses and failures of the target version.
     *
     * @return the number
     */
    public long targetResponses() {
        return charts.values().stream().mapToLong(RouteChart::targetResponses).sum();
    }

    /**
     * Returns the number of failures of the target version.
     *
     * @return the number
     */
    public long targetFailures() {
        return charts.values().stream().mapToLong(RouteChart::targetFailures).sum();
    }

    /**
     * Returns the number of slow responses of the target version.
     *
     * @return the number
     */
    public long targetSlow() {
        return charts.values().stream().mapToLong(RouteChart::targetSlow).sum();
    }

    /**
     * Returns the number of compared responses and failures of the old version.
     *
     * @return the number
     */
    public long controlResponses() {
        return charts.values().stream().mapToLong(RouteChart::controlResponses).sum();
    }

    /**
     * Returns the number of failures of the old version.
     *
     * @return the number
     */
    public long controlFailures() {
        return charts.values().stream().mapToLong(RouteChart::controlFailures).sum();
    }

    private void addSteps(String reporter, VersionStatistics total, Map<String, long[][][]> steps) {
        int reporterGroup = (int) Math.floorMod(RendezvousHash.rank("", reporter), (long) EvidenceSums.REPORTER_GROUPS);
        all.recordReporters(reporterGroup);
        charts.values().forEach(chart -> chart.recordReporters(reporterGroup));
        VersionStatistics seen = seenByReporter.computeIfAbsent(reporter, name -> new VersionStatistics());
        total.countsByRoute().forEach((route, groups) -> {
            long[][] before = seen.countsByRoute().getOrDefault(route, new long[VersionStatistics.GROUPS][]);
            long[][] step = steps.computeIfAbsent(
                            route, name -> new long[EvidenceSums.REPORTER_GROUPS][VersionStatistics.GROUPS][])[
                    reporterGroup];
            for (int group = 0; group < VersionStatistics.GROUPS; group++) {
                addStep(step, group, groups[group], before[group]);
                seen.raise(route, group, groups[group]);
            }
        });
    }

    private static void addStep(long[][] step, int group, long[] total, long[] before) {
        if (step[group] == null) {
            step[group] = new long[VersionStatistics.COUNTS];
        }
        long left = MAX_STEP;
        for (int i = 0; i < VersionStatistics.OUTCOMES; i++) {
            long increase = Math.min(left, Math.max(0, total[i] - (before == null ? 0 : before[i])));
            step[group][i] += increase;
            left -= increase;
        }
        long sent = total[VersionStatistics.SENT] - (before == null ? 0 : before[VersionStatistics.SENT]);
        step[group][VersionStatistics.SENT] += Math.min(MAX_STEP, Math.max(0, sent));
    }
}
