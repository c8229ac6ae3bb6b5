package org.lovagethread.gateway.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import org.lovagethread.gateway.upstream.Upstream;

/** A rollout as this gateway knows it: its stage, the requests of this gateway, and the reports of its peers. */
final class ServiceRollout {
    /** Share of the repeatable requests that stay with the old version for comparison while traffic is shifted. */
    private static final double CONTROL_SHARE = 0.1;

    /** Time for which the end of a rollout is reported to peers, in milliseconds. */
    private static final long END_REPORT_MILLIS = 60_000;

    /**
     * Share of the gateways whose conclusion a gateway adopts that has not come to it. A gateway that starts late sees
     * the responses of a version that turned bad only in total, where the earlier good ones hide the bad ones.
     */
    private static final double ADOPTED_SHARE = 1.0 / 3;

    private final CanaryLimiter limiter;
    private final DoubleSupplier random;
    private final VersionStatistics local = new VersionStatistics();
    private final Map<String, VersionStatistics> reports = new HashMap<>();
    private final Map<String, Integer> stoppedByReporter = new HashMap<>();
    private final RolloutJudge judge = new RolloutJudge();
    private final long firstRevision;
    private Rollout rollout;
    private RolloutStage stage;
    private long stageMillis;
    private boolean burst;
    private boolean confirmed;
    private List<Upstream> plannedTargets = List.of();
    private List<Upstream> canaries = List.of();

    /**
     * Creates a rollout.
     *
     * @param confirmed whether the stage is known; false if the rollout was already running when the order was read
     */
    ServiceRollout(
            Rollout rollout,
            RolloutStage stage,
            boolean confirmed,
            CanaryLimiter limiter,
            DoubleSupplier random,
            long nowMillis) {
        this.confirmed = confirmed;
        this.stageMillis = nowMillis;
        this.rollout = rollout;
        this.stage = stage;
        this.limiter = limiter;
        this.random = random;
        this.firstRevision = rollout.revision();
    }

    Rollout rollout() {
        return rollout;
    }

    RolloutStage stage() {
        return stage;
    }

    RolloutJudge judge() {
        return judge;
    }

    CanaryLimiter limiter() {
        return limiter;
    }

    /** Returns whether a report about the same target belongs to this order, not to an earlier one. */
    boolean isAsNew(Rollout other) {
        return other.revision() >= firstRevision;
    }

    void merge(long revision, long deadlineMillis) {
        rollout = rollout.merge(revision, deadlineMillis);
    }

    /** Records that a peer or the stored decision states the stage of this rollout. */
    void confirm() {
        confirmed = true;
    }

    /** Returns the time since which the stage is known, in milliseconds. */
    long stageMillis() {
        return stageMillis;
    }

    /** Enters a stage; returns false if this is not possible from the current one. */
    boolean advance(RolloutStage next, long nowMillis) {
        if (!stage.mayBecome(next)) {
            return false;
        }
        stage = next;
        stageMillis = nowMillis;
        if (next.isEnded()) {
            reports.clear();
            stoppedByReporter.clear();
            judge.forgetReports();
        }
        return true;
    }

    /** Returns whether requests may be sent to the target version, within the limits of the stage. */
    boolean isTargetPermitted(long nowMillis) {
        if (stage.isEnded()) {
            return stage == RolloutStage.COMPLETED;
        }
        return confirmed && !judge.isBad() && nowMillis < rollout.deadlineMillis();
    }

    /** Returns the candidates for a request if both versions have upstreams. */
    RolloutTable.Candidates candidates(
            List<Upstream> old, List<Upstream> targets, RolloutTable.RequestKind kind, long nowMillis) {
        burst = false;
        if (!isTargetPermitted(nowMillis)) {
            return new RolloutTable.Candidates(old, List.of());
        }
        if (stage == RolloutStage.SHIFTING) {
            burst = rollout.progress(nowMillis) < RolloutDecision.LAST_CONTROL;
            boolean isControl =
                    burst && kind.isRepeatable() && kind.isFirstAttempt() && random.getAsDouble() < CONTROL_SHARE;
            List<Upstream> others = kind.isRepeatable() ? old : List.of();
            return isControl ? new RolloutTable.Candidates(old, targets) : new RolloutTable.Candidates(targets, others);
        }
        planCanaries(targets);
        double burstShare = CanaryPlan.burstShare(canaries.size(), old.size());
        double share = limiter.share(rollout.progress(nowMillis) / RolloutDecision.EARLIEST_SHIFT);
        burst = CanaryPlan.isBurst(rollout, share, burstShare, nowMillis);
        boolean isCanary = burst && kind.isFirstAttempt() && random.getAsDouble() < burstShare && limiter.permits();
        return isCanary ? new RolloutTable.Candidates(canaries, old) : new RolloutTable.Candidates(old, List.of());
    }

    /** Returns the upstreams of the target version that may continue a stream which began there. */
    List<Upstream> continuing(List<Upstream> targets, long nowMillis) {
        burst = false;
        if (!isTargetPermitted(nowMillis)) {
            return List.of();
        }
        if (stage != RolloutStage.CANARY) {
            return targets;
        }
        planCanaries(targets);
        return limiter.permits() ? canaries : List.of();
    }

    private void planCanaries(List<Upstream> targets) {
        if (!targets.equals(plannedTargets)) {
            plannedTargets = List.copyOf(targets);
            canaries = CanaryPlan.canaries(rollout, targets);
        }
    }

    /** Records a sent request; returns the sample for its outcome if it is counted for one of the versions. */
    Optional<RolloutSample> recordSent(String route, Upstream upstream, long networkMillis, boolean isFirstAttempt) {
        boolean isTarget = upstream.entry().version().equals(rollout.target());
        if (isFirstAttempt) {
            limiter.recordRequest();
        }
        if (isTarget && stage == RolloutStage.CANARY) {
            limiter.recordTargetRequest();
        }
        boolean isCompared = isTarget || (isFirstAttempt && (burst || stage == RolloutStage.CANARY));
        if (stage.isEnded() || !isCompared) {
            return Optional.empty();
        }
        int oldGroup = burst ? VersionStatistics.CONTROL : VersionStatistics.FULL_LOAD;
        int group = isTarget ? CanaryPlan.group(rollout, upstream) : oldGroup;
        local.recordSent(route, group);
        return Optional.of(new RolloutSample(local, route, group, networkMillis));
    }

    /** Raises the totals that a peer reported, and the number of gateways that have found the version bad. */
    void recordReport(String reporter, int stoppedGateways, VersionStatistics statistics) {
        if (stage.isEnded()) {
            return;
        }
        stoppedByReporter.merge(reporter, stoppedGateways, Math::max);
        VersionStatistics totals = reports.computeIfAbsent(reporter, name -> new VersionStatistics());
        statistics.countsByRoute().forEach((route, groups) -> {
            for (int group = 0; group < VersionStatistics.GROUPS; group++) {
                totals.raise(route, group, groups[group]);
            }
        });
    }

    /** Evaluates the statistics of all gateways; returns whether they have just proved the version bad. */
    boolean evaluate(String self, int gatewayCount, long nowMillis) {
        if (stage.isEnded() || judge.isBad()) {
            return false;
        }
        Map<String, VersionStatistics> totals = new HashMap<>(reports);
        totals.put(self, local);
        judge.evaluate(totals, stage == RolloutStage.SHIFTING, nowMillis);
        long stopped = stopped(reporter -> true);
        if (stopped > 0 && stopped >= ADOPTED_SHARE * gatewayCount) {
            judge.adoptConclusion();
        }
        return judge.isBad();
    }

    private long stopped(Predicate<String> included) {
        long stopped = judge.isBad() ? 1 : 0;
        for (Map.Entry<String, Integer> entry : stoppedByReporter.entrySet()) {
            stopped += included.test(entry.getKey()) ? entry.getValue() : 0;
        }
        return stopped;
    }

    Optional<RolloutStage> nextStage(long nowMillis) {
        return RolloutDecision.next(rollout, stage, stageMillis, judge, nowMillis);
    }

    /** Returns the report for peers; empty some time after the end, or while the stage is not known. */
    Optional<RolloutReport> report(Predicate<String> included, long nowMillis) {
        if (stage.isEnded()) {
            return nowMillis - stageMillis > END_REPORT_MILLIS
                    ? Optional.empty()
                    : Optional.of(new RolloutReport(rollout, stage, 0, new VersionStatistics()));
        }
        if (!confirmed) {
            return Optional.empty();
        }
        VersionStatistics totals = new VersionStatistics();
        totals.add(local);
        reports.forEach((reporter, statistics) -> {
            if (included.test(reporter)) {
                totals.add(statistics);
            }
        });
        return Optional.of(new RolloutReport(rollout, stage, (int) stopped(included), totals));
    }
}
