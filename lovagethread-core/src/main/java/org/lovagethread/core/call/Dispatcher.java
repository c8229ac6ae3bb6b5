package org.lovagethread.core.call;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.command.DecisionKind;
import org.lovagethread.core.command.Outbox;
import org.lovagethread.core.config.Configuration;
import org.lovagethread.core.config.Service;
import org.lovagethread.core.error.ErrorKind;
import org.lovagethread.core.upstream.Router;
import org.lovagethread.core.upstream.Upstream;
import org.lovagethread.core.upstream.UpstreamTable;

/** Starts and ends attempts, and sends the final response to callers. */
final class Dispatcher {
    /** Minimum time without progress after which an attempt times out, in milliseconds. */
    static final long MIN_STALL_TIMEOUT_MILLIS = 2_000;

    /** An attempt times out after this multiple of the service's first-token target without progress. */
    static final int STALL_TIMEOUT_FACTOR = 4;

    /**
     * Time for which an attempt of a non-idempotent call may continue after the call's deadline, in milliseconds. The
     * caller has been refused by then, but a response in this period is still recorded.
     */
    static final long LATE_RESPONSE_GRACE_MILLIS = 10_000;

    private static final long RETRY_AFTER_MILLIS = 500;

    private final Supplier<Optional<Configuration>> configuration;
    private final Outbox outbox;
    private final Router router;
    private final CallTable table;
    private final UpstreamTable upstreams;
    private long nextAttemptId = 1;

    Dispatcher(
            Supplier<Optional<Configuration>> configuration,
            Outbox outbox,
            Router router,
            CallTable table,
            UpstreamTable upstreams) {
        this.configuration = configuration;
        this.outbox = outbox;
        this.router = router;
        this.table = table;
        this.upstreams = upstreams;
    }

    /** Cancels all attempts of a call. */
    void cancelAttempts(Call call, long nowMillis) {
        for (Attempt attempt : List.copyOf(call.attempts)) {
            cancelAttempt(attempt, AttemptOutcome.CANCELLED, nowMillis);
        }
    }

    /** Cancels an attempt and records its outcome for the upstream. */
    void cancelAttempt(Attempt attempt, AttemptOutcome outcome, long nowMillis) {
        outbox.add(new Command.CancelAttempt(attempt.id));
        endAttempt(attempt, outcome, nowMillis);
    }

    void complete(Call call) {
        if (!call.responseEnded) {
            call.responseEnded = true;
            outbox.add(new Command.CompleteCall(call.id()));
            recordDecision(call, DecisionKind.COMPLETED, "");
        }
    }

    void recordDecision(Call call, DecisionKind decision, String detail) {
        outbox.add(new Command.NoteDecision(call.id(), call.request.requestId(), decision, detail));
    }

    void refuse(Call call, ErrorKind kind, long nowMillis) {
        refuse(call, kind, kind.isRetryable() ? nowMillis + RETRY_AFTER_MILLIS : 0, nowMillis);
    }

    void refuse(Call call, ErrorKind kind, long retryAtMillis, long nowMillis) {
        if (!call.responseEnded) {
            call.responseEnded = true;
            outbox.add(new Command.RefuseCall(call.id(), kind, Math.max(retryAtMillis, 0)));
            recordDecision(call, DecisionKind.REFUSED, kind.label());
        }
    }

    /** Removes an attempt that has ended and records its outcome for the upstream. */
    void endAttempt(Attempt attempt, AttemptOutcome outcome, long nowMillis) {
        if (!attempt.hasDelivered()) {
            table.call(attempt.callId).ifPresent(call -> onPrefillEnded(attempt, call));
        }
        table.remove(attempt);
        upstreams.recordEnd(attempt.upstream, outcome, nowMillis);
    }

    /**
     * Starts an attempt at the upstream selected by the router.
     *
     * @return the attempt, or empty if no upstream is available
     */
    Optional<Attempt> startAttempt(Call call, Optional<String> cacheSource, long nowMillis) {
        Optional<Upstream> selected = selectUpstream(call, nowMillis);
        if (selected.isEmpty()) {
            return Optional.empty();
        }
        Upstream upstream = selected.get();
        Attempt attempt = new Attempt(
                nextAttemptId++, call.id(), upstream.id(), upstream.info().address(), call.lastChunk, nowMillis);
        attempt.progressDeadlineMillis = nowMillis + stallTimeoutMillis(call);
        call.attempts.add(attempt);
        call.attemptCount++;
        call.phase = CallPhase.RUNNING;
        table.add(attempt);
        table.scheduleTimer(attempt.progressDeadlineMillis, call);
        upstreams.recordStart(upstream.id(), call.request.promptTokens());
        outbox.add(new Command.StartAttempt(
                attempt.id,
                call.id(),
                call.request.kind(),
                attempt.upstream,
                attempt.address,
                priority(call),
                attempt.fromChunk,
                cacheSource,
                attemptDeadlineMillis(call)));
        recordDecision(call, DecisionKind.ROUTED, attempt.upstream);
        return Optional.of(attempt);
    }

    /** Records that an attempt has produced its first token, or has ended without producing one. */
    void onPrefillEnded(Attempt attempt, Call call) {
        upstreams.recordPrefill(attempt.upstream, call.request.promptTokens());
    }

    /** Returns the time without progress after which an attempt of the call times out. */
    long stallTimeoutMillis(Call call) {
        long targetMillis = configuration
                .get()
                .flatMap(current -> current.service(call.request.service()))
                .map(Service::firstTokenMillis)
                .orElse(0);
        return Math.max(MIN_STALL_TIMEOUT_MILLIS, targetMillis * STALL_TIMEOUT_FACTOR);
    }

    private static long attemptDeadlineMillis(Call call) {
        long deadline = call.request.deadlineMillis();
        return call.request.kind() == CallKind.SUBMIT ? deadline + LATE_RESPONSE_GRACE_MILLIS : deadline;
    }

    private Optional<Upstream> selectUpstream(Call call, long nowMillis) {
        Set<String> excluded = new HashSet<>(call.failedUpstreams);
        call.attempts.forEach(attempt -> excluded.add(attempt.upstream));
        List<Upstream> candidates = upstreams.candidates(call.request.service(), excluded);
        if (candidates.isEmpty() && call.attempts.isEmpty()) {
            candidates = upstreams.candidates(call.request.service(), Set.of());
        }
        return router.choose(candidates, call.request, nowMillis);
    }

    private int priority(Call call) {
        return configuration
                .get()
                .map(current -> current.priority(call.request.service(), call.request.className()))
                .orElse(0);
    }
}
