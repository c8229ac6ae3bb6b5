package org.lovagethread.gateway.http;

import org.lovagethread.gateway.config.ServiceSpec;
import org.lovagethread.gateway.engine.EngineModel;
import org.lovagethread.gateway.policy.InactivityTimeout;
import org.lovagethread.gateway.policy.Placement;
import org.lovagethread.gateway.policy.PromptPrefix;
import org.lovagethread.gateway.upstream.Upstream;

/** Records what the attempts of one request show about their upstreams: load, outcomes and response times. */
final class AttemptRecorder {
    private final ExchangeContext context;
    private final ServiceSpec service;
    private final PromptPrefix prefix;
    private final Placement.Demand demand;
    private final CustomerShare customerShare;

    AttemptRecorder(ExchangeContext context, AdmittedRequest admitted, Placement.Demand demand) {
        this.context = context;
        this.service = admitted.service();
        this.prefix = admitted.attributes().prefix();
        this.demand = demand;
        this.customerShare = new CustomerShare(context, admitted, demand);
    }

    /** Records that a request is about to be sent to the upstream of an attempt. */
    void recordSent(Attempt attempt) {
        Upstream upstream = attempt.upstream;
        upstream.load().recordStart(attempt.choice.unreadTokens(), attempt.memoryTokens);
        if (service.engine().isPresent()) {
            context.engineModels().of(service.name()).recordPrompt(attempt.choice.unreadTokens(), attempt.memoryTokens);
        }
        context.placement().recordSent(demand, upstream);
    }

    /** Records that no connection to the upstream could be used. */
    void recordUnreachable(Attempt attempt, long nowMillis) {
        attempt.upstream.failureDetector().recordUnreachable(nowMillis, InactivityTimeout.AVOIDANCE_MILLIS);
    }

    /** Records the first event of a stream. */
    void recordFirstEvent(Attempt attempt, long nowMillis) {
        context.promptQuarantine().recordFirstEvent(service.name(), prefix, nowMillis);
        attempt.upstream.load().recordFirstEvent(attempt.choice.unreadTokens());
        long millis = nowMillis - attempt.sentMillis;
        attempt.upstream.recordResponseTime((double) millis);
        customerShare.recordFirstEvent(attempt.choice, millis, nowMillis);
        if (service.engine().isPresent() && !attempt.choice.waitsForCapacity()) {
            EngineModel model = context.engineModels().of(service.name());
            attempt.upstream.recordDeviation(model.recordFirstEvent(attempt.choice.queuedTokens(), millis));
        }
    }

    /** Records that a stream ended completely. */
    void recordStreamEnd(Attempt attempt, long nowMillis) {
        attempt.upstream.failureDetector().recordOutcome(true, nowMillis);
        if (service.engine().isPresent() && attempt.firstEventReceived) {
            context.engineModels().of(service.name()).recordStream(nowMillis - attempt.firstEventMillis);
        }
    }

    /** Records a complete successful response that is not a stream. */
    void recordSuccess(Attempt attempt, long nowMillis) {
        attempt.upstream.failureDetector().recordOutcome(true, nowMillis);
        attempt.upstream.recordResponseTime((double) (nowMillis - attempt.sentMillis));
    }

    /** Records that the upstream stated that it did not run the request. */
    void recordRejection(Attempt attempt, long nowMillis) {
        attempt.upstream.failureDetector().recordOutcome(false, nowMillis);
    }

    /** Records that the upstream failed the request, or did not complete it before the deadline. */
    void recordFailure(Attempt attempt, long nowMillis) {
        attempt.upstream.failureDetector().recordOutcome(false, nowMillis);
    }

    /** Records that the connection broke before the response was complete. */
    void recordBreak(Attempt attempt, long nowMillis) {
        attempt.upstream.failureDetector().recordOutcome(false, nowMillis);
        context.promptQuarantine()
                .recordBreak(
                        attempt.upstream.entry(), prefix, attempt.firstEventReceived, attempt.sentMillis, nowMillis);
    }
}
