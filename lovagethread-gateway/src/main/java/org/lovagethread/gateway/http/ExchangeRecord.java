package org.lovagethread.gateway.http;

import org.lovagethread.gateway.log.LogLine;
import org.lovagethread.gateway.policy.AttemptOutcome;
import org.lovagethread.gateway.policy.Placement;
import org.lovagethread.gateway.upstream.UpstreamEntry;
import org.lovagethread.gateway.upstream.UpstreamLoad;

/** What happened to one request, for logs and metrics. */
final class ExchangeRecord {
    private final AdmittedRequest admitted;
    private final long startedMillis;
    private final StringBuilder attempts = new StringBuilder();
    private String outcome = "";
    private String reason = "";
    private String weighed = "";
    private long firstEventMillis = -1;
    private long endedMillis;

    ExchangeRecord(AdmittedRequest admitted, long startedMillis) {
        this.admitted = admitted;
        this.startedMillis = startedMillis;
    }

    void sent(UpstreamEntry upstream, long predictedMillis, long nowMillis) {
        attempts.append(attempts.length() == 0 ? "" : "; ")
                .append(upstream.id())
                .append(" at ")
                .append(nowMillis - startedMillis)
                .append(" ms, predicted ")
                .append(predictedMillis)
                .append(" ms");
    }

    /** Keeps what an admission was decided by. */
    void weighed(Placement.Choice choice, long revision, long nowMillis) {
        UpstreamLoad.Work work = choice.upstream().load().total(nowMillis);
        weighed = "best " + choice.upstream().entry().id() + ", predicted " + (long) choice.waitMillis() + " ms, "
                + work.inFlight() + " in flight, " + work.unreadTokens() + " tokens unread, last bytes "
                + (nowMillis - choice.upstream().lastReceivedMillis()) + " ms ago, upstreams of revision " + revision;
    }

    void failed(AttemptOutcome how, String why, long nowMillis) {
        attempts.append(", ")
                .append(how)
                .append(" at ")
                .append(nowMillis - startedMillis)
                .append(" ms: ")
                .append(why);
    }

    void firstEvent(long nowMillis) {
        firstEventMillis = nowMillis - startedMillis;
    }

    void gaveUp(String why) {
        reason = why;
    }

    void ended(String how, long nowMillis) {
        outcome = how;
        endedMillis = nowMillis - startedMillis;
    }

    AdmittedRequest admitted() {
        return admitted;
    }

    String outcome() {
        return outcome;
    }

    /** Returns the time to the first event, or to the end where there is none, in milliseconds. */
    long answerMillis() {
        return firstEventMillis >= 0 ? firstEventMillis : endedMillis;
    }

    /** Returns whether the request was answered by its first upstream, so that its line may be sampled. */
    boolean ordinary() {
        return outcome.equals("answered") && attempts.indexOf(";") < 0;
    }

    LogLine line(LogLine line) {
        return line.put("request", admitted.call().requestId())
                .put("route", admitted.route().name())
                .put("customer", admitted.customer().map(owner -> owner.name()).orElse(""))
                .put("service", admitted.service().name())
                .put("outcome", outcome)
                .put("reason", reason)
                .put("weighed", weighed)
                .put("first_event_ms", firstEventMillis)
                .put("total_ms", endedMillis)
                .put("attempts", attempts.toString());
    }
}
