package org.lovagethread.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.lovagethread.core.error.ErrorKind;
import org.lovagethread.gateway.config.Customer;
import org.lovagethread.gateway.config.Route;
import org.lovagethread.gateway.config.RouteKind;
import org.lovagethread.gateway.config.ServiceSpec;
import org.lovagethread.gateway.engine.EngineModel;
import org.lovagethread.gateway.policy.Admission;
import org.lovagethread.gateway.policy.AttemptOutcome;
import org.lovagethread.gateway.policy.InactivityTimeout;
import org.lovagethread.gateway.policy.Placement;
import org.lovagethread.gateway.policy.PromptQuarantine;
import org.lovagethread.gateway.upstream.Upstream;

/**
 * Processes one admitted request until its response is complete, with retries at other upstreams.
 *
 * <p>A request that an upstream may have executed is retried only if its route is retryable. An error that states that
 * the request was not executed is sent only if this is certain.
 */
final class Exchange implements UpstreamClient.Listener {
    /** Maximum number of attempts for one request, including those that were certainly not executed. */
    private static final int MAX_ATTEMPTS = 3;

    /** Minimum time before the deadline for starting an attempt, in milliseconds. */
    private static final long MIN_ATTEMPT_MILLIS = 25;

    /** Maximum size of a buffered response, in bytes. Event streams are not buffered. */
    private static final int MAX_BUFFERED_BYTES = 1 << 20;

    /** Weight of the customer's priority relative to the route's in the priority sent to upstreams. */
    private static final int CUSTOMER_PRIORITY_STEP = 3;

    private static final int MAX_PRIORITY = 9;

    private final ExchangeContext context;
    private final ResponseWriter caller;
    private final HttpRequest request;
    private final ByteBuf body;
    private final RequestAttributes attributes;
    private final Route route;
    private final Optional<Customer> customer;
    private final ServiceSpec service;
    private final Placement.Demand demand;
    private final long startedMillis;
    private final long deadlineMillis;
    private final Set<String> triedUpstreams = new HashSet<>();
    private final ExchangeRecord record;

    private Attempt attempt;
    private int attempts;
    private int possibleRuns;
    private boolean ended;
    private boolean streamStarted;
    private boolean usageRecorded;
    private long lastEventId;
    private boolean readingPaused;
    private Optional<BufferedResponse> upstreamError = Optional.empty();

    /** An attempt to have the request served by one upstream, and the part of its response received so far. */
    private static final class Attempt {
        private final Upstream upstream;
        private final Placement.Choice choice;
        private final long sentMillis;
        private final long memoryTokens;
        private final EventSplitter eventSplitter = new EventSplitter();
        private UpstreamClient.RequestHandle handle;
        private HttpResponse response;
        private final ByteBuf buffered = Unpooled.buffer(0);
        private long lastBytesMillis;
        private boolean firstEventReceived;
        private long firstEventMillis;
        private boolean responseEnded;
        private long bytesSinceEvent;

        private Attempt(Placement.Choice choice, long memoryTokens, long nowMillis) {
            this.choice = choice;
            this.upstream = choice.upstream();
            this.memoryTokens = memoryTokens;
            this.sentMillis = nowMillis;
            this.lastBytesMillis = nowMillis;
        }
    }

    private record BufferedResponse(HttpResponse response, ByteBuf body) {}

    Exchange(ExchangeContext context, ResponseWriter caller, AdmittedRequest admitted, long nowMillis) {
        this.context = context;
        this.caller = caller;
        this.request = admitted.request();
        this.body = admitted.body();
        this.attributes = admitted.attributes();
        this.route = admitted.route();
        this.customer = admitted.customer();
        this.service = admitted.service();
        this.startedMillis = nowMillis;
        this.deadlineMillis = nowMillis
                + Math.min(attributes.callerTimeoutMillis().orElse(route.timeoutMillis()), route.timeoutMillis());
        this.lastEventId = attributes.lastEventId().orElse(-1);
        this.demand = service.engine().isPresent()
                ? new Placement.Demand(
                        attributes.prefix(), attributes.promptTokens().orElse(0), attributes.maxOutputTokens())
                : Placement.Demand.PLAIN;
        this.record = new ExchangeRecord(admitted, nowMillis);
    }

    /** Starts the first attempt. */
    void start() {
        context.retryBudget().recordRequest(service.name(), startedMillis);
        dispatch(startedMillis);
    }

    /** Ends the exchange because the caller closed its connection. */
    void onCallerDisconnected() {
        if (!ended) {
            finish("caller-left", context.nowMillis());
        }
    }

    /**
     * Resumes reading from the upstream after the caller's connection has become writable.
     */
    void onCallerWritable() {
        if (readingPaused && attempt != null && attempt.handle != null) {
            readingPaused = false;
            attempt.lastBytesMillis = context.nowMillis();
            attempt.handle.setReading(true);
        }
    }

    /**
     * Checks the deadline of the request and the inactivity timeout of the current attempt.
     *
     * @param nowMillis the current time in milliseconds
     */
    void tick(long nowMillis) {
        if (ended) {
            return;
        }
        if (nowMillis >= deadlineMillis) {
            onDeadline(nowMillis);
            return;
        }
        if (attempt != null
                && !attempt.firstEventReceived
                && context.promptQuarantine().isQuarantined(attributes.prefix())) {
            onAttemptFailed(AttemptOutcome.BROKEN, "cancelled, a part of the prompt is quarantined", nowMillis);
            return;
        }
        if (attempt != null && !readingPaused && route.isRetryable() && isInactive(nowMillis)) {
            attempt.upstream.failureDetector().recordUnreachable(nowMillis, InactivityTimeout.AVOIDANCE_MILLIS);
            onAttemptFailed(
                    AttemptOutcome.SILENT,
                    "no data received from the upstream within the inactivity timeout",
                    nowMillis);
        }
    }

    private boolean isInactive(long nowMillis) {
        long inactiveMillis = nowMillis - attempt.lastBytesMillis;
        boolean upstreamActive = attempt.upstream.lastReceivedMillis() > attempt.lastBytesMillis;
        InactivityTimeout timeout = InactivityTimeout.of(route, attempt.firstEventReceived || streamStarted);
        return inactiveMillis > timeout.timeoutMillis((long) attempt.choice.predictedLatencyMillis(), upstreamActive)
                && AttemptOutcome.SILENT.allowsRetry(route, possibleRuns + 1);
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
        boolean trialAllowed = route.isRetryable() && attempts == 0;
        Optional<Placement.Choice> choice = context.placement()
                .choose(
                        service,
                        context.upstreams().available(service.name()),
                        triedUpstreams,
                        demand,
                        trialAllowed,
                        nowMillis);
        if (choice.isEmpty()) {
            giveUp(AttemptOutcome.NOT_SENT, "no upstream available", nowMillis);
            return;
        }
        Admission.Candidate candidate =
                new Admission.Candidate(route, record.admitted().targetMillis(), remainingMillis);
        if (attempts == 0 && !context.admission().admits(candidate, choice.get())) {
            record.recordPrediction(choice.get(), context.upstreamsRevision(), nowMillis);
            refuse(ErrorKind.OVERLOADED, retryAfterMillis(candidate, choice.get(), nowMillis), nowMillis);
            return;
        }
        send(choice.get(), remainingMillis, nowMillis);
    }

    private void refuseQuarantined(long nowMillis) {
        context.promptQuarantine().recordRefusal(attributes.prefix(), nowMillis);
        if (possibleRuns > 0) {
            giveUp(AttemptOutcome.BROKEN, "a part of the prompt is quarantined", nowMillis);
        } else {
            refuse(ErrorKind.PROMPT_QUARANTINED, PromptQuarantine.QUARANTINE_MILLIS, nowMillis);
        }
    }

    private long retryAfterMillis(Admission.Candidate candidate, Placement.Choice choice, long nowMillis) {
        double engineMillis = context.engineModels()
                .of(service.name())
                .estimate(nowMillis)
                .processingMillis((double) choice.unreadTokens());
        int engines = Math.max(1, context.upstreams().available(service.name()).size());
        return context.admission()
                .retryAfterMillis(candidate, choice, engineMillis * context.gatewayCount() / engines, nowMillis);
    }

    private void send(Placement.Choice choice, long remainingMillis, long nowMillis) {
        Upstream upstream = choice.upstream();
        attempts++;
        triedUpstreams.add(upstream.entry().id());
        Attempt newAttempt = new Attempt(choice, demand.promptTokens() + (long) demand.maxOutputTokens(), nowMillis);
        attempt = newAttempt;
        upstream.load().recordStart(choice.unreadTokens(), newAttempt.memoryTokens);
        if (service.engine().isPresent()) {
            context.engineModels().of(service.name()).recordPrompt(choice.unreadTokens(), newAttempt.memoryTokens);
        }
        context.placement().recordSent(demand, upstream);
        record.recordAttempt(upstream.entry(), (long) choice.predictedLatencyMillis(), nowMillis);
        HttpHeaders headers = context.headerCodec()
                .createUpstreamHeaders(
                        request,
                        new HeaderCodec.AttemptAttributes(
                                upstream.entry(),
                                customer.map(Customer::name),
                                remainingMillis,
                                priority(),
                                lastEventId));
        UpstreamClient.RequestHandle handle = context.upstreamClient()
                .send(upstream.entry(), request, headers, body, route.kind() == RouteKind.AT_MOST_ONCE, this);
        if (attempt == newAttempt) {
            newAttempt.handle = handle;
        }
    }

    private int priority() {
        int customerPriority = customer.map(Customer::priority)
                .filter(priority -> priority > 0)
                .orElse(0);
        return Math.min(MAX_PRIORITY, customerPriority * CUSTOMER_PRIORITY_STEP + route.priority());
    }

    @Override
    public void onNotSent() {
        if (attempt != null) {
            long now = context.nowMillis();
            attempt.upstream.failureDetector().recordUnreachable(now, InactivityTimeout.AVOIDANCE_MILLIS);
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
        if (isEventStream()) {
            attempt.bytesSinceEvent += bytes.readableBytes();
            attempt.eventSplitter.feed(bytes, this::onEvent);
            if (attempt != null && attempt.bytesSinceEvent > EventSplitter.MAX_EVENT_BYTES) {
                onAttemptFailed(AttemptOutcome.BROKEN, "too much data before the next event", context.nowMillis());
            }
            return;
        }
        if (attempt.buffered.readableBytes() + bytes.readableBytes() > MAX_BUFFERED_BYTES) {
            onAttemptFailed(AttemptOutcome.BROKEN, "response exceeds the size limit", context.nowMillis());
            return;
        }
        attempt.buffered.writeBytes(bytes);
    }

    @Override
    public void onEnd() {
        recordActivity();
        long now = context.nowMillis();
        attempt.responseEnded = true;
        if (isEventStream()) {
            endStream(now);
        } else if (context.headerCodec().statesNotRun(attempt.response)) {
            attempt.upstream.failureDetector().recordOutcome(false, now);
            onAttemptFailed(
                    AttemptOutcome.REJECTED,
                    "rejected with status " + attempt.response.status().code(),
                    now);
        } else if (isSuccess(attempt.response)
                && proofOfOrigin(attempt.response).isEmpty()) {
            onAttemptFailed(AttemptOutcome.BROKEN, "response has no proof of origin", now);
        } else if (attempt.response.status().code() >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code()) {
            upstreamError = Optional.of(new BufferedResponse(attempt.response, attempt.buffered));
            attempt.upstream.failureDetector().recordOutcome(false, now);
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
            attempt.upstream.failureDetector().recordOutcome(false, now);
            context.promptQuarantine()
                    .recordBreak(attempt.upstream.entry(), attributes.prefix(), attempt.firstEventReceived, now);
            onAttemptFailed(AttemptOutcome.BROKEN, reason, now);
        }
    }

    private void forwardResponse(long nowMillis) {
        if (isSuccess(attempt.response)) {
            attempt.upstream.failureDetector().recordOutcome(true, nowMillis);
            attempt.upstream.recordResponseTime((double) (nowMillis - attempt.sentMillis));
        }
        recordUsage();
        caller.sendResponse(attempt.response.status(), attempt.response.headers(), attempt.buffered);
        finish(isSuccess(attempt.response) ? "answered" : "upstream-status", nowMillis);
    }

    private void onEvent(long id, ByteBuf event) {
        if (ended || attempt == null) {
            return;
        }
        if (id >= 0 && id <= lastEventId) {
            return;
        }
        if (streamStarted && id >= 0 && lastEventId >= 0 && id != lastEventId + 1) {
            onAttemptFailed(
                    AttemptOutcome.BROKEN, "received event " + id + " after event " + lastEventId, context.nowMillis());
            return;
        }
        attempt.bytesSinceEvent = 0;
        long now = context.nowMillis();
        if (!attempt.firstEventReceived) {
            onFirstEvent(now);
        }
        if (!streamStarted) {
            streamStarted = true;
            record.recordFirstEvent(now);
            caller.startStream(attempt.response.status(), attempt.response.headers());
        }
        lastEventId = id >= 0 ? id : lastEventId;
        if (!caller.sendStreamData(event) && attempt != null && attempt.handle != null) {
            readingPaused = true;
            attempt.handle.setReading(false);
        }
    }

    private void onFirstEvent(long nowMillis) {
        attempt.firstEventReceived = true;
        attempt.firstEventMillis = nowMillis;
        context.promptQuarantine().recordFirstEvent(service.name(), attributes.prefix(), nowMillis);
        attempt.upstream.load().recordFirstEvent(attempt.choice.unreadTokens());
        recordEngineSample(nowMillis - attempt.sentMillis);
        recordUsage();
    }

    private void recordEngineSample(long millis) {
        attempt.upstream.recordResponseTime((double) millis);
        if (service.engine().isPresent() && !attempt.choice.waitsForCapacity()) {
            EngineModel model = context.engineModels().of(service.name());
            attempt.upstream.recordDeviation(model.recordFirstEvent(attempt.choice.queuedTokens(), millis));
        }
    }

    private void endStream(long nowMillis) {
        if (attempt.eventSplitter.hasPartialEvent()) {
            onAttemptFailed(AttemptOutcome.BROKEN, "stream ended in the middle of an event", nowMillis);
            return;
        }
        attempt.upstream.failureDetector().recordOutcome(true, nowMillis);
        if (service.engine().isPresent() && attempt.firstEventReceived) {
            context.engineModels().of(service.name()).recordStream(nowMillis - attempt.firstEventMillis);
        }
        if (!streamStarted) {
            streamStarted = true;
            recordUsage();
            caller.startStream(attempt.response.status(), attempt.response.headers());
        }
        caller.endStream();
        finish("answered", nowMillis);
    }

    private void recordUsage() {
        if (!usageRecorded) {
            usageRecorded = true;
            customer.ifPresent(owner -> context.usage().recordStart(owner.name()));
        }
    }

    /** Records the failure of the current attempt, then retries the request or ends the exchange. */
    private void onAttemptFailed(AttemptOutcome outcome, String reason, long nowMillis) {
        possibleRuns += outcome.mayHaveRun() ? 1 : 0;
        record.recordFailure(outcome, reason, nowMillis);
        endAttempt();
        boolean retry = attempts < MAX_ATTEMPTS
                && outcome.allowsRetry(route, possibleRuns)
                && (!outcome.mayHaveRun() || !context.promptQuarantine().isSuspected(attributes.prefix()))
                && deadlineMillis - nowMillis >= MIN_ATTEMPT_MILLIS
                && context.hasUntriedUpstream(service.name(), triedUpstreams)
                && (!outcome.mayHaveArrived()
                        || context.retryBudget().tryWithdraw(service.name(), context.gatewayCount(), nowMillis));
        if (retry) {
            upstreamError = Optional.empty();
            dispatch(nowMillis);
        } else {
            giveUp(outcome, reason, nowMillis);
        }
    }

    private void giveUp(AttemptOutcome outcome, String reason, long nowMillis) {
        record.recordReason(reason);
        if (streamStarted) {
            caller.abort();
            finish("stream-cut", nowMillis);
        } else if (upstreamError.isPresent()
                && proofOfOrigin(upstreamError.get().response()).isPresent()) {
            recordUsage();
            caller.sendResponse(
                    upstreamError.get().response().status(),
                    upstreamError.get().response().headers(),
                    upstreamError.get().body());
            finish("upstream-failure", nowMillis);
        } else if (possibleRuns > 0) {
            refuse(outcome.mayHaveRun() ? outcome.errorKind() : ErrorKind.UPSTREAM_FAILED, 0, nowMillis);
        } else {
            refuse(
                    outcome.errorKind(),
                    context.admission().defaultRetryAfterMillis(deadlineMillis - nowMillis),
                    nowMillis);
        }
    }

    private void onDeadline(long nowMillis) {
        record.recordReason("deadline");
        boolean mayHaveRun = attempt != null || possibleRuns > 0;
        if (attempt != null) {
            attempt.upstream.failureDetector().recordOutcome(false, nowMillis);
        }
        if (streamStarted) {
            caller.abort();
            finish("stream-cut", nowMillis);
        } else {
            refuse(mayHaveRun ? ErrorKind.DEADLINE_AFTER_SEND : ErrorKind.OVERLOADED, 0, nowMillis);
        }
    }

    private void refuse(ErrorKind kind, long retryAfterMillis, long nowMillis) {
        if (possibleRuns == 0 && attempt == null) {
            customer.ifPresent(owner -> context.quota().refund(owner.name(), context.quotaTokens(attributes, owner)));
        }
        caller.sendError(kind, retryAfterMillis);
        finish(kind.label(), nowMillis);
    }

    private void finish(String outcome, long nowMillis) {
        ended = true;
        endAttempt();
        record.recordOutcome(outcome, nowMillis);
        context.onExchangeEnded(this, record);
    }

    /** Releases the load of the current attempt and cancels it unless its response is complete. */
    private void endAttempt() {
        Attempt finished = attempt;
        if (finished == null) {
            return;
        }
        attempt = null;
        readingPaused = false;
        finished.upstream
                .load()
                .recordEnd(finished.firstEventReceived, finished.choice.unreadTokens(), finished.memoryTokens);
        if (!finished.responseEnded && finished.handle != null) {
            finished.handle.cancel();
        }
    }

    private void recordActivity() {
        long now = context.nowMillis();
        attempt.lastBytesMillis = now;
        attempt.upstream.recordReceived(now);
    }

    private Optional<String> proofOfOrigin(HttpResponse response) {
        return context.headerCodec().proofOfOrigin(response.headers());
    }

    private boolean isEventStream() {
        return route.isStreaming()
                && isSuccess(attempt.response)
                && proofOfOrigin(attempt.response).isPresent();
    }

    private static boolean isSuccess(HttpResponse response) {
        int code = response.status().code();
        return code >= HttpResponseStatus.OK.code() && code < HttpResponseStatus.MULTIPLE_CHOICES.code();
    }
}
