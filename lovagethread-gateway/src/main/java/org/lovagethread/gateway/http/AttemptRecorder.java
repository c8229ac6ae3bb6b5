package org.lovagethread.gateway.http;

import org.lovagethread.gateway.config.ServiceSpec;
import org.lovagethread.gateway.engine.EngineModel;
import org.lovagethread.gateway.policy.InactivityTimeout;
import org.lovagethread.gateway.policy.Placement;
import org.lovagethread.gateway.policy.PromptPrefix;
import org.lovagethread.gateway.policy.SpeedRecorder;
import org.lovagethread.gateway.policy.ZoneTraffic;
import org.lovagethread.gateway.rollout.RolloutSample;
import org.lovagethread.gateway.upstream.Upstream;

/** Records what the attempts of one request show about their upstreams: load, outcomes and response times. */
final class AttemptRecorder {
    private final ExchangeContext context;
    private final ServiceSpec service;
    private final String route;
    private final PromptPrefix prefix;
    private final Placement.Demand demand;
    private final long requestBytes;
    private boolean sentBefore;

    AttemptRecorder(ExchangeContext context, AdmittedRequest admitted, Placement.Demand demand) {
        this.context = context;
        this.service = admitted.service();
        this.route = admitted.route().name();
        this.prefix = admitted.attributes().prefix();
        this.demand = demand;
        this.requestBytes = admitted.body().readableBytes();
    }

    /** Records that a request is about to be sent to the upstream of an attempt. */
    void recordSent(Attempt attempt) {
        Upstream upstream = attempt.upstream;
        context.upstreams().brittle().recordSent(upstream.entry(), attempt.sentMillis);
        upstream.load().recordStart(attempt.choice.unreadTokens(), attempt.memoryTokens);
        if (service.engine().isPresent()) {
            model().recordPrompt(attempt.choice.unreadTokens(), attempt.memoryTokens);
        }
        context.placement().recordSent(demand, upstream);
        attempt.rolloutSample = context.rollouts().recordSent(service.name(), route, upstream, !sentBefore);
        sentBefore = true;
        recordTraffic(attempt);
    }

    /** Records the bytes of the request now, and those of its response and a cancellation at the end of the attempt. */
    private void recordTraffic(Attempt attempt) {
        ZoneTraffic traffic = context.placement().routing().traffic();
        String zone = attempt.upstream.entry().zone();
        long tokens = demand.promptTokens() + (long) demand.maxOutputTokens();
        traffic.recordSent(service.name(), zone, tokens, requestBytes, attempt.sentMillis);
        attempt.releaseHandler = bytes -> {
            traffic.recordReceived(service.name(), zone, bytes, context.nowMillis());
            if (!attempt.responseEnded) {
                context.upstreams().brittle().recordCancelled(attempt.upstream.entry(), context.nowMillis());
            }
        };
    }

    /** Records that no connection to the upstream could be used. */
    void recordUnreachable(Attempt attempt, long nowMillis) {
        attempt.upstream.failureDetector().recordUnreachable(nowMillis, InactivityTimeout.AVOIDANCE_MILLIS);
        attempt.rolloutSample.ifPresent(RolloutSample::recordFailure);
    }

    /** Records the first event of a stream. */
    void recordFirstEvent(Attempt attempt, long nowMillis) {
        context.promptQuarantine().recordBeginning(service.name(), prefix, nowMillis);
        attempt.upstream.load().recordFirstEvent(attempt.choice.unreadTokens());
        attempt.endExpectation();
        long millis = nowMillis - attempt.sentMillis;
        if (service.engine().isEmpty()) {
            recordPlainResponse(attempt, millis, nowMillis);
        } else if (attempt.choice.waitsForCapacity()) {
            double typicalMillis = attempt.choice.predictedLatencyMillis()
                    * attempt.upstream.speed().factor(nowMillis);
            attempt.rolloutSample.ifPresent(sample -> sample.recordDeviation(millis / Math.max(1, typicalMillis)));
        } else {
            double deviation = SpeedRecorder.recordFirstEvent(model(), attempt.choice, millis, nowMillis);
            attempt.rolloutSample.ifPresent(sample -> sample.recordDeviation(deviation));
        }
    }

    /** Records that a stream ended completely. */
    void recordStreamEnd(Attempt attempt, long nowMillis) {
        attempt.upstream.failureDetector().recordOutcome(true, nowMillis);
        context.promptQuarantine().recordCompletion(service.name(), prefix, nowMillis);
        if (service.engine().isPresent() && attempt.firstEventReceived) {
            SpeedRecorder.recordStream(model(), attempt.upstream, nowMillis - attempt.firstEventMillis, nowMillis);
        }
    }

    /** Records a complete successful response that is not a stream. */
    void recordSuccess(Attempt attempt, long nowMillis) {
        attempt.upstream.failureDetector().recordOutcome(true, nowMillis);
        context.promptQuarantine().recordCompletion(service.name(), prefix, nowMillis);
        if (service.engine().isEmpty()) {
            recordPlainResponse(attempt, nowMillis - attempt.sentMillis, nowMillis);
        } else {
            attempt.rolloutSample.ifPresent(sample -> sample.recordResponse(nowMillis - attempt.sentMillis));
        }
    }

    /** Records that the upstream stated that it did not run the request, and the pause that it may have requested. */
    void recordRejection(Attempt attempt, long nowMillis) {
        attempt.upstream.failureDetector().recordOutcome(false, nowMillis);
        attempt.rolloutSample.ifPresent(RolloutSample::recordFailure);
        context.headerCodec().pauseRequest(attempt.response).ifPresent(pause -> context.upstreams()
                .pauses()
                .record(attempt.upstream.entry(), pause, attempt.sentMillis, nowMillis));
    }

    /** Records that the upstream failed the request, or did not complete it before the deadline. */
    void recordFailure(Attempt attempt, long nowMillis) {
        attempt.upstream.failureDetector().recordOutcome(false, nowMillis);
        attempt.rolloutSample.ifPresent(RolloutSample::recordFailure);
    }

    /** Records that the connection broke before the response was complete. */
    void recordBreak(Attempt attempt, long nowMillis) {
        attempt.upstream.failureDetector().recordOutcome(false, nowMillis);
        attempt.rolloutSample.ifPresent(RolloutSample::recordFailure);
        context.promptQuarantine()
                .recordBreak(
                        attempt.upstream.entry(), prefix, attempt.firstEventReceived, attempt.sentMillis, nowMillis);
    }

    private void recordPlainResponse(Attempt attempt, long millis, long nowMillis) {
        SpeedRecorder.recordResponse(model(), attempt.choice, millis, nowMillis);
        attempt.rolloutSample.ifPresent(sample -> sample.recordResponse(millis));
    }

    private EngineModel model() {
        return context.engineModels().of(service.name());
    }
}
