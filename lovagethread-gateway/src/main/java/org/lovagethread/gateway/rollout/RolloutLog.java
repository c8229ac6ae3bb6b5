package org.lovagethread.gateway.rollout;

import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.log.LogLine;

/** Writes log lines about rollouts. */
public final class RolloutLog implements RolloutTable.Observer {
    /** Maximum length of names and reasons that come from the store. */
    private static final int MAX_CHARS = 200;

    private static final double PER_CENT = 100;

    private final EventLog log;

    /**
     * Creates a log.
     *
     * @param log receives the lines
     */
    public RolloutLog(EventLog log) {
        this.log = log;
    }

    @Override
    public void onStage(Rollout rollout, RolloutStage stage, RolloutJudge judge) {
        String reason = stage == RolloutStage.ROLLED_BACK ? reason(judge) : "";
        log.add(figures(rollout(log.line("rollout-stage"), rollout).put("stage", stage.name()), judge)
                .put("reason", reason));
    }

    @Override
    public void onStopped(Rollout rollout, RolloutJudge judge) {
        log.add(figures(rollout(log.line("rollout-stopped"), rollout), judge));
    }

    /** Returns why a rollout was rolled back, according to what this gateway knows. */
    private static String reason(RolloutJudge judge) {
        if (judge.isBad()) {
            return "clear evidence against the target version";
        }
        return judge.targetResponses() == 0
                ? "no response of an upstream of the target version"
                : "not judged, removed, or decided by another gateway";
    }

    /** Logs that the object of an order cannot be used. */
    void unreadable(String service, long revision, String reason) {
        log.add(log.line("rollout-unreadable")
                .put("service", abbreviate(service))
                .put("revision", revision)
                .put("reason", abbreviate(reason)));
    }

    /** Logs that the object of an order was removed. */
    void removed(String service) {
        log.add(log.line("rollout-removed").put("service", abbreviate(service)));
    }

    /** Logs that the holder of the lease has stored a decision or a status. */
    void written(Rollout rollout, String what, String value, long fence) {
        log.add(rollout(log.line("rollout-written"), rollout)
                .put("what", what)
                .put("value", value)
                .put("fence", fence));
    }

    private static LogLine rollout(LogLine line, Rollout rollout) {
        return line.put("service", abbreviate(rollout.service()))
                .put("target", abbreviate(rollout.target()))
                .put("revision", rollout.revision());
    }

    private static LogLine figures(LogLine line, RolloutJudge judge) {
        return line.put("target_responses", judge.targetResponses())
                .put("target_failures", judge.targetFailures())
                .put("target_slow", judge.targetSlow())
                .put("old_responses", judge.controlResponses())
                .put("old_failures", judge.controlFailures())
                .put("evidence_percent", (long) (PER_CENT * judge.evidence()));
    }

    private static String abbreviate(String text) {
        return text.length() <= MAX_CHARS ? text : text.substring(0, MAX_CHARS) + "...";
    }
}
