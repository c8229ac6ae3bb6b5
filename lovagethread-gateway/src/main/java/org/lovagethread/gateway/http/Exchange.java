package org.lovagethread.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.lovagethread.core.error.ErrorKind;
import org.lovagethread.gateway.config.Customer;
import org.lovagethread.gateway.config.Route;
import org.lovagethread.gateway.config.ServiceSpec;
import org.lovagethread.gateway.exchange.ActiveRequest;
import org.lovagethread.gateway.exchange.ResponseWriter;
import org.lovagethread.gateway.policy.AttemptOutcome;
import org.lovagethread.gateway.policy.Placement;
import org.lovagethread.gateway.policy.PromptQuarantine;
import org.lovagethread.gateway.stream.StreamOrigin;
import org.lovagethread.gateway.upstream.Upstream;

/**
 * Processes one admitted request until its response is complete, with retries at other upstreams.
 *
 * <p>A request that an upstream may have executed is retried only if its route is retryable. An error that states that
 * the request was not executed is sent only if this is certain.
 */
final class Exchange implements UpstreamClient.Listener, ActiveRequest, RoomQueue.Waiter {
    /** Maximum number of attempts for one request, including those that were certainly not executed. */
    private static final int MAX_ATTEMPTS = 3;

    /** Minimum time before the deadline for starting an attempt, in milliseconds. */
    private static final long MIN_ATTEMPT_MILLIS = 25;

    private final ExchangeContext context;
    private final ResponseClassifier responses;
    private final ResponseWriter caller;
    private final RequestAttributes attributes;
    private final Route route;
    private final Optional<Customer> customer;
    private final ServiceSpec service;
    private final Placement.Demand demand;
    private final RelayFallback fallback;
    private final long startedMillis;
    private final long deadlineMillis;
    private final Set<String> triedUpstreams = new HashSet<>();
    private final ExchangeRecord record;
    private final AttemptRecorder recorder;
    private final UpstreamSelector selector;
    private final AttemptSender sender;
    private final StreamPosition position;
    private final Suspension suspension = new Suspension();

    private Attempt attempt;
    private int attempts;
    private int failedConnects;
    private int possibleRuns;
    private boolean ended;
    private boolean usageRecorded;
    private boolean readingPaused;
    private Optional<BufferedResponse> upstreamError = Optional.empty();

    private record BufferedResponse(HttpResponse response, ByteBuf body) {}

    Exchange(
            ExchangeContext context,
            ResponseWriter caller,
            AdmittedRequest admitted,
            RelayFallback fallback,
            long nowMillis) {
        this.context = context;
        this.responses = new ResponseClassifier(context.headerCodec());
        this.caller = caller;
        this.attributes = admitted.attributes();
        this.route = admitted.route();
        this.customer = admitted.customer();
        this.service = admitted.service();
        this.fallback = fallback;
        this.startedMillis = nowMillis;
        this.deadlineMillis = nowMillis + admitted.timeoutMillis();
        this.position = new StreamPosition(admitted.isResumption() ? attributes.lastEventId() : OptionalLong.empty());
        this.demand = admitted.demand();
        this.record = new ExchangeRecord(admitted, nowMillis);
        this.recorder = new AttemptRecorder(context, admitted, demand);
        this.selector = new UpstreamSelector(context, admitted, demand);
        this.sender = new AttemptSender(context, admitted);
    }

    /** Starts the first attempt, once it is known which upstreams may serve the request. */
    void start() {
        context.retryBudget().recordRequest(service.name(), startedMillis);
        runGuarded(() -> context.streamOrigins()
                .resolve(
                        record.admitted().streamRequest(),
                        startedMillis,
                        origin -> runGuarded(() -> onOriginResolved(origin, context.nowMillis()))));
    }

    private void onOriginResolved(StreamOrigin origin, long nowMillis) {
        if (ended) {
            return;
        }
        record.recordOrigin(origin);
        origin.version().ifPresent(selector::pin);
        if (origin.isResolved()) {
            dispatch(nowMillis);
        } else {
            long retryAfterMillis = selector.retryAfterMillis(deadlineMillis - nowMillis, nowMillis);
            refuse(ErrorKind.VERSION_UNAVAILABLE, retryAfterMillis, nowMillis);
        }
    }

    private void runGuarded(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            onInternalError(e);
        }
    }

    @Override
    public void onCallerDisconnected() {
        if (!ended) {
            finish("caller-left", context.nowMillis());
        }
    }

    @Override
    public void onCallerWritable() {
        if (readingPaused && attempt != null && attempt.handle != null) {
            readingPaused = false;
            attempt.recordBytes(context.nowMillis(), context.observedMillis());
            attempt.handle.setReading(true);
        }
    }

    @Override
    public void tick(long nowMillis) {
        if (ended) {
            return;
        }
        if (nowMillis >= deadlineMillis) {
            onDeadline(nowMillis);
            return;
        }
        suspension.expire(nowMillis);
        if (attempt != null
                && !attempt.firstEventReceived
                && context.promptQuarantine().isQuarantined(attributes.prefix())) {
            suspension.end();
            onAttemptFailed(AttemptOutcome.BROKEN, "cancelled, a part of the prompt is quarantined", nowMillis);
            return;
        }
        if (attempt != null && !readingPaused && AttemptOutcome.SILENT.allowsRetry(route, possibleRuns + 1)) {
            checkSilence(nowMillis);
        }
    }

    private void checkSilence(long nowMillis) {
        if (!attempt.isSilent(route, position.hasStarted(), context.observedMillis())) {
            return;
        }
        if (!attempt.silenceRecorded) {
            attempt.silenceRecorded = true;
            recorder.recordUnreachable(attempt, nowMillis);
        }
        if (selector.hasHealthyUntried(triedUpstreams, nowMillis)
                && tryReserveRetry(AttemptOutcome.SILENT, possibleRuns + 1, nowMillis)) {
            suspendAttempt(nowMillis);
            retry(nowMillis);
        }
    }

    /** Stops reading from the current attempt, and keeps it for the case that its replacement fails at once. */
    private void suspendAttempt(long nowMillis) {
        record.recordFailure(AttemptOutcome.SILENT, "no data within the inactivity timeout", nowMillis);
        possibleRuns++;
        suspension.begin(attempt, nowMillis);
        attempt = null;
    }

    /** Continues with the suspended attempt, because its replacement failed before the first event. */
    private void resumeSuspended(long nowMillis) {
        attempt = suspension.resume(nowMillis, context.observedMillis());
        possibleRuns--;
        record.recordResumption(attempt.upstream.entry(), nowMillis);
    }

    private void dispatch(long nowMillis) {
        if (context.promptQuarantine().isQuarantined(attributes.prefix())) {
            refuseQuarantined(nowMillis);
            return;
        }
        long remainingMillis = deadlineMillis - nowMillis;
        if (remainingMillis < MIN_ATTEMPT_MILLIS) {
            giveUp(AttemptOutcome.NOT_SENT, "too little time left before the deadline", nowMillis);
            return;
        }
        UpstreamSelector.Selection selection = selector.select(triedUpstreams, remainingMillis, nowMillis);
        if (selection instanceof UpstreamSelector.Send send) {
            send(send.choice(), remainingMillis, nowMillis);
        } else if (selection instanceof UpstreamSelector.Refuse refusal) {
            record.recordPrediction(refusal.choice(), context.upstreamsRevision(), nowMillis);
            refuse(ErrorKind.OVERLOADED, refusal.retryAfterMillis(), nowMillis);
        } else if (selection instanceof UpstreamSelector.AwaitRoom wait && !suspension.isPresent()) {
            selector.lineUp(this, triedUpstreams, wait.latestMillis());
        } else {
            giveUp(AttemptOutcome.NOT_SENT, "no upstream available", nowMillis);
        }
    }

    @Override
    public void onRoom() {
        runGuarded(() -> dispatch(context.nowMillis()));
    }

    @Override
    public void onNoRoom() {
        runGuarded(() -> giveUp(AttemptOutcome.NOT_SENT, "no room at the upstreams in time", context.nowMillis()));
    }

    private void refuseQuarantined(long nowMillis) {
        context.promptQuarantine().recordRefusal(attributes.prefix(), nowMillis);
        if (possibleRuns > 0) {
            giveUp(AttemptOutcome.BROKEN, "a part of the prompt is quarantined", nowMillis);
        } else {
            refuse(ErrorKind.PROMPT_QUARANTINED, PromptQuarantine.QUARANTINE_MILLIS, nowMillis);
        }
    }

    private void send(Placement.Choice choice, long remainingMillis, long nowMillis) {
        Upstream upstream = choice.upstream();
        attempts++;
        triedUpstreams.add(upstream.entry().id());
        Attempt newAttempt = new Attempt(
                choice,
                demand.promptTokens() + (long) demand.maxOutputTokens(),
                position.mustContinue(),
                nowMillis,
                context.observedMillis(),
                context.responseMemory(),
                this::onEvicted);
        attempt = newAttempt;
        recorder.recordSent(newAttempt);
        record.recordAttempt(upstream.entry(), (long) choice.predictedLatencyMillis(), nowMillis);
        UpstreamClient.RequestHandle handle = sender.send(
                upstream.entry(),
                remainingMillis,
                position.lastEventId(),
                new AttemptListener(
                        this, () -> attempt == newAttempt, () -> suspension.end(newAttempt), this::onInternalError));
        if (attempt == newAttempt) {
            newAttempt.handle = handle;
        }
    }

    @Override
    public void onNotSent() {
        if (attempt != null) {
            long now = context.nowMillis();
            failedConnects++;
            recorder.recordUnreachable(attempt, now);
            onAttemptFailed(AttemptOutcome.NOT_SENT, "no connection to the upstream", now);
        }
    }

    @Override
    public void onHeader(HttpResponse response) {
        recordActivity();
        attempt.response = response;
    }

    @Override
    public void onData(ByteBuf bytes) {
        recordActivity();
        Attempt current = attempt;
        boolean isWithinLimit = isEventStream()
                ? current.feed(bytes, (id, event) -> onEvent(current, id, event))
                : current.buffer(bytes);
        if (attempt == current && !isWithinLimit) {
            onAttemptFailed(AttemptOutcome.BROKEN, "too much data without an end", context.nowMillis());
        } else if (attempt == current) {
            context.responseMemory().update(current);
        }
    }

    /** Gives up an attempt, because the responses that are buffered by all exchanges take too much memory. */
    private void onEvicted(Attempt evicted) {
        runGuarded(() -> {
            if (attempt == evicted) {
                onAttemptFailed(AttemptOutcome.BROKEN, "too much memory for buffered data", context.nowMillis());
            } else {
                suspension.end();
            }
        });
    }

    @Override
    public void onEnd() {
        recordActivity();
        long now = context.nowMillis();
        attempt.responseEnded = true;
        if (isEventStream()) {
            endStream(now);
        } else if (responses.statesNotRun(attempt.response)) {
            recorder.recordRejection(attempt, now);
            onAttemptFailed(
                    AttemptOutcome.REJECTED,
                    "rejected with status " + attempt.response.status().code(),
                    now);
        } else if (ResponseClassifier.isSuccess(attempt.response) && !responses.hasProof(attempt.response)) {
            onAttemptFailed(AttemptOutcome.BROKEN, "response has no proof of origin", now);
        } else if (position.hasStarted() || responses.isFailure(attempt.response)) {
            upstreamError = Optional.of(new BufferedResponse(attempt.response, attempt.buffered))
                    .filter(error -> !responses.promisesNotRun(error.response()));
            recorder.recordFailure(attempt, now);
            onAttemptFailed(
                    AttemptOutcome.FAILED,
                    "responded with status " + attempt.response.status().code(),
                    now);
        } else {
            forwardResponse(now);
        }
    }

    @Override
    public void onFailure(String reason) {
        if (attempt != null) {
            attempt.responseEnded = true;
            long now = context.nowMillis();
            recorder.recordBreak(attempt, now);
            onAttemptFailed(AttemptOutcome.BROKEN, reason, now);
        }
    }

    private void forwardResponse(long nowMillis) {
        if (ResponseClassifier.isSuccess(attempt.response)) {
            recorder.recordSuccess(attempt, nowMillis);
        }
        recordUsage();
        caller.sendResponse(attempt.response.status(), attempt.response.headers(), attempt.buffered);
        finish(ResponseClassifier.isSuccess(attempt.response) ? "answered" : "upstream-status", nowMillis);
    }

    private void onEvent(Attempt source, long id, ByteBuf event) {
        if (attempt != source) {
            return;
        }
        long now = context.nowMillis();
        if (position.isGap(id, attempt.awaitsContinuation())) {
            onAttemptFailed(
                    AttemptOutcome.BROKEN, "received event " + id + " after event " + position.lastEventId(), now);
            return;
        }
        attempt.bytesSinceEvent = 0;
        if (!attempt.firstEventReceived) {
            onFirstEvent(now);
        }
        if (!position.hasStarted()) {
            startStream();
            selector.pin(attempt.version);
            context.streamOrigins().recordBeginning(record.admitted().streamRequest(), attempt.version, now);
            record.recordFirstEvent(now);
        }
        position.recordEvent(id);
        caller.addStreamData(event);
    }

    @Override
    public void onReadComplete() {
        flushStream();
    }

    private void flushStream() {
        if (position.hasStarted() && !caller.flushStream() && attempt != null && attempt.handle != null) {
            readingPaused = true;
            attempt.handle.setReading(false);
        }
    }

    private void onFirstEvent(long nowMillis) {
        suspension.end();
        attempt.firstEventReceived = true;
        attempt.firstEventMillis = nowMillis;
        recorder.recordFirstEvent(attempt, nowMillis);
        recordUsage();
    }

    private void endStream(long nowMillis) {
        if (attempt.eventSplitter.hasPartialEvent()) {
            recorder.recordBreak(attempt, nowMillis);
            onAttemptFailed(AttemptOutcome.BROKEN, "stream ended in the middle of an event", nowMillis);
            return;
        }
        // An empty response does not prove that the stream which this exchange has begun was complete.
        if (position.hasStarted() && attempt.awaitsContinuation()) {
            onAttemptFailed(AttemptOutcome.BROKEN, "resumed stream ended without an event", nowMillis);
            return;
        }
        recorder.recordStreamEnd(attempt, nowMillis);
        if (!position.hasStarted()) {
            recordUsage();
            startStream();
        }
        caller.addStreamData(attempt.eventSplitter.remainder());
        caller.endStream();
        finish("answered", nowMillis);
    }

    private void startStream() {
        caller.startStream(attempt.response.status(), attempt.response.headers());
        position.start(attempt.response);
    }

    private void recordUsage() {
        if (!usageRecorded) {
            usageRecorded = true;
            customer.ifPresent(owner -> context.usage().recordStart(owner.name()));
        }
    }

    /** Records the failure of the current attempt, then retries the request or ends the exchange. */
    private void onAttemptFailed(AttemptOutcome outcome, String reason, long nowMillis) {
        endFailedAttempt(outcome, reason, nowMillis);
        if (tryReserveRetry(outcome, possibleRuns, nowMillis)) {
            retry(nowMillis);
        } else {
            giveUp(outcome, reason, nowMillis);
        }
    }

    private void endFailedAttempt(AttemptOutcome outcome, String reason, long nowMillis) {
        possibleRuns += outcome.mayHaveRun() ? 1 : 0;
        record.recordFailure(outcome, reason, nowMillis);
        flushStream();
        endAttempt();
    }

    /** Returns whether the request can be retried, and withdraws the retry from the budget if it can. */
    private boolean tryReserveRetry(AttemptOutcome outcome, int runs, long nowMillis) {
        return attempts < MAX_ATTEMPTS
                && outcome.allowsRetry(route, runs)
                && position.canContinue()
                && (!outcome.mayHaveRun() || !context.promptQuarantine().isSuspected(attributes.prefix()))
                && deadlineMillis - nowMillis >= MIN_ATTEMPT_MILLIS
                && selector.hasUntried(triedUpstreams)
                && (!outcome.mayHaveArrived()
                        || context.retryBudget().tryWithdraw(service.name(), context.gatewayCount(), nowMillis));
    }

    private void retry(long nowMillis) {
        upstreamError = Optional.empty();
        dispatch(nowMillis);
    }

    private void giveUp(AttemptOutcome outcome, String reason, long nowMillis) {
        if (suspension.isPresent() && (position.hasStarted() || upstreamError.isEmpty())) {
            resumeSuspended(nowMillis);
            return;
        }
        record.recordReason(reason);
        if (position.hasStarted()) {
            caller.abort();
            finish("stream-cut", nowMillis);
        } else if (upstreamError.isPresent()
                && responses.hasProof(upstreamError.get().response())) {
            recordUsage();
            caller.sendResponse(
                    upstreamError.get().response().status(),
                    upstreamError.get().response().headers(),
                    upstreamError.get().body());
            finish("upstream-failure", nowMillis);
        } else if (possibleRuns > 0) {
            refuse(outcome.mayHaveRun() ? outcome.errorKind() : ErrorKind.UPSTREAM_FAILED, 0, nowMillis);
        } else if (outcome == AttemptOutcome.NOT_SENT
                && fallback.tryRelay(attempts > 0 && failedConnects == attempts, deadlineMillis)) {
            refundQuota();
            finish("relayed", nowMillis);
        } else {
            refuse(
                    selector.errorKind(outcome),
                    selector.retryAfterMillis(deadlineMillis - nowMillis, nowMillis),
                    nowMillis);
        }
    }

    @Override
    public void onInternalError(RuntimeException error) {
        if (ended) {
            return;
        }
        record.recordReason(error.toString());
        try {
            if (position.hasStarted()) {
                caller.abort();
            } else {
                caller.sendError(ErrorKind.UPSTREAM_FAILED, 0);
            }
        } catch (RuntimeException e) {
            error.addSuppressed(e);
            caller.abort();
        } finally {
            finish("internal-error", context.nowMillis());
        }
    }

    private void onDeadline(long nowMillis) {
        record.recordReason("deadline");
        if (attempt != null) {
            recorder.recordFailure(attempt, nowMillis);
        }
        endUnfinished(ErrorKind.OVERLOADED, ErrorKind.DEADLINE_AFTER_SEND, nowMillis);
    }

    @Override
    public void onShutdown(long nowMillis) {
        if (!ended) {
            record.recordReason("the gateway stops");
            endUnfinished(ErrorKind.STOPPING, ErrorKind.OUTCOME_UNKNOWN, nowMillis);
        }
    }

    /** Ends the exchange with an error that depends on whether the request may have run, or cuts the stream. */
    private void endUnfinished(ErrorKind ifNotRun, ErrorKind ifMayHaveRun, long nowMillis) {
        if (position.hasStarted()) {
            caller.abort();
            finish("stream-cut", nowMillis);
        } else {
            refuse(attempt != null || possibleRuns > 0 ? ifMayHaveRun : ifNotRun, 0, nowMillis);
        }
    }

    private void refuse(ErrorKind kind, long retryAfterMillis, long nowMillis) {
        if (possibleRuns == 0 && attempt == null) {
            refundQuota();
        }
        caller.sendError(kind, retryAfterMillis);
        finish(kind.label(), nowMillis);
    }

    private void refundQuota() {
        customer.ifPresent(owner -> context.quota().refund(owner.name(), context.quotaTokens(attributes, owner)));
    }

    private void finish(String outcome, long nowMillis) {
        ended = true;
        context.roomQueue().remove(this);
        suspension.end();
        endAttempt();
        record.recordOutcome(outcome, nowMillis);
        context.onExchangeEnded(this, record);
    }

    private void endAttempt() {
        Attempt finished = attempt;
        if (finished == null) {
            return;
        }
        attempt = null;
        readingPaused = false;
        finished.release();
        context.roomQueue().wake();
    }

    private void recordActivity() {
        long now = context.nowMillis();
        attempt.recordBytes(now, context.observedMillis());
        attempt.upstream.recordReceived(now);
    }

    private boolean isEventStream() {
        return route.isStreaming()
                && !record.admitted().request().method().equals(HttpMethod.HEAD)
                && responses.isSuccessWithProof(attempt.response)
                && position.mayContinueWith(attempt.response);
    }
}
