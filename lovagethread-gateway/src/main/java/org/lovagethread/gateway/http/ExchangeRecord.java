package org.lovagethread.gateway.http;

import org.lovagethread.gateway.log.LogLine;
import org.lovagethread.gateway.policy.AttemptOutcome;
import org.lovagethread.gateway.policy.Placement;
import org.lovagethread.gateway.stream.StreamOrigin;
import org.lovagethread.gateway.upstream.UpstreamEntry;
import org.lovagethread.gateway.upstream.UpstreamLoad;

/** Collects the outcome of one request for logs and metrics. */
final class ExchangeRecord {
    private final AdmittedRequest admitted;
    private final long startedMillis;
    private final StringBuilder attempts = new StringBuilder();
    private String outcome = "";
    private String reason = "";
    private String prediction = "";
    private long firstEventMillis = -1;
    private long endedMillis;
    private StreamOrigin origin = StreamOrigin.BEGINNING;

    ExchangeRecord(AdmittedRequest admitted, long startedMillis) {
        this.admitted = admitted;
        this.startedMillis = startedMillis;
    }

    void recordAttempt(UpstreamEntry upstream, long predictedMillis, long nowMillis) {
        attempts.append(attempts.length() == 0 ? "" : "; ")
                .append(upstream.id())
                .append(" at ")
                .append(nowMillis - startedMillis)
                .append(" ms")
                .append(upstream.version().isEmpty() ? "" : ", version ")
                .append(upstream.version())
                .append(", predicted ")
                .append(predictedMillis)
                .append(" ms");
    }

    /** Records the prediction that led to the refusal of the request. */
    void recordPrediction(Placement.Choice choice, long revision, long nowMillis) {
        UpstreamLoad.Work work = choice.upstream().load().total(nowMillis);
        prediction = "best upstream " + choice.upstream().entry().id() + ", predicted "
                + (long) choice.predictedLatencyMillis() + " ms, " + work.inFlight() + " requests in flight, "
                + work.unreadTokens() + " prompt tokens to process, last data "
                + (nowMillis - choice.upstream().lastReceivedMillis()) + " ms ago, revision of upstreams " + revision;
    }

    void recordFailure(AttemptOutcome attemptOutcome, String failureReason, long nowMillis) {
        attempts.append(", ")
                .append(attemptOutcome)
                .append(" at ")
                .append(nowMillis - startedMillis)
                .append(" ms: ")
                .append(failureReason);
    }

    /** Records that the exchange returns to an attempt because its replacement failed. */
    void recordResumption(UpstreamEntry upstream, long nowMillis) {
        attempts.append("; back to ")
                .append(upstream.id())
                .append(" at ")
                .append(nowMillis - startedMillis)
                .append(" ms");
    }

    void recordFirstEvent(long nowMillis) {
        firstEventMillis = nowMillis - startedMillis;
    }

    /** Records what was found about the version at which the stream began. */
    void recordOrigin(StreamOrigin found) {
        origin = found;
        reason = found.reason();
    }

    StreamOrigin origin() {
        return origin;
    }

    String reason() {
        return reason;
    }

    void recordReason(String finalReason) {
        reason = finalReason;
    }

    void recordOutcome(String finalOutcome, long nowMillis) {
        outcome = finalOutcome;
        endedMillis = nowMillis - startedMillis;
    }

    AdmittedRequest admitted() {
        return admitted;
    }

    String outcome() {
        return outcome;
    }

    /** Returns the time to the first event, or to the end of the request if there was no event, in milliseconds. */
    long responseMillis() {
        return firstEventMillis >= 0 ? firstEventMillis : endedMillis;
    }

    /** Returns whether the first attempt succeeded; log lines of such requests may be omitted above the rate limit. */
    boolean succeededAtFirstAttempt() {
        return outcome.equals("answered") && attempts.indexOf(";") < 0;
    }

    LogLine addTo(LogLine line) {
        if (admitted.isResumption()) {
            line.put("resumed", admitted.streamId().orElse(""))
                    .put("stream_version", origin.version().orElse(""))
                    .put("version_source", origin.source().label());
        }
        return line.put("request", admitted.attributes().requestId())
                .put("route", admitted.route().name())
                .put("customer", admitted.customer().map(owner -> owner.name()).orElse(""))
                .put("service", admitted.service().name())
                .put("outcome", outcome)
                .put("reason", reason)
                .put("weighed", prediction)
                .put("first_event_ms", firstEventMillis)
                .put("total_ms", endedMillis)
                .put("attempts", attempts.toString());
    }
}
