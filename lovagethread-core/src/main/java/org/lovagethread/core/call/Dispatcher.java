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

/** Starts and ends attempts, and gives callers their final answers. */
final class Dispatcher {
    /** Shortest time without progress after which an attempt is given up, in milliseconds. */
    static final long LEAST_STALL_MILLIS = 2_000;

    /** Multiple of the promised time to the first token after which an attempt is given up. */
    static final int STALL_PROMISES = 4;

    /** Time for which a submission may run on after its caller was told that the outcome is unknown, in ms. */
    static final long LATE_ANSWER_MILLIS = 10_000;

    private static final long RETRY_AFTER_MILLIS = 500;

    private final Supplier<Optional<Configuration>> configuration;
    private final Outbox out;
    private final Router router;
    private final CallTable table;
    private final UpstreamTable upstreams;
    private long nextAttemptId = 1;

    Dispatcher(
            Supplier<Optional<Configuration>> configuration,
            Outbox out,
            Router router,
            CallTable table,
            UpstreamTable upstreams) {
        this.configuration = configuration;
        this.out = out;
        this.router = router;
        this.table = table;
        this.upstreams = upstreams;
    }

    /** Cancels every attempt of a call. */
    void cancelAttempts(Call call, long nowMillis) {
        for (Attempt attempt : List.copyOf(call.attempts)) {
            cancel(attempt, AttemptOutcome.CANCELLED, nowMillis);
        }
    }

    /** Cancels one attempt and records its outcome against the upstream. */
    void cancel(Attempt attempt, AttemptOutcome outcome, long nowMillis) {
        out.add(new Command.CancelAttempt(attempt.id));
        release(attempt, outcome, nowMillis);
    }

    void complete(Call call) {
        if (!call.callerAnswered) {
            call.callerAnswered = true;
            out.add(new Command.CompleteCall(call.id()));
            note(call, DecisionKind.COMPLETED, "");
        }
    }

    void note(Call call, DecisionKind decision, String detail) {
        out.add(new Command.NoteDecision(call.id(), call.request.requestId(), decision, detail));
    }

    void refuse(Call call, ErrorKind kind, long nowMillis) {
        refuse(call, kind, kind.retryable() ? nowMillis + RETRY_AFTER_MILLIS : 0, nowMillis);
    }

    void refuse(Call call, ErrorKind kind, long retryAtMillis, long nowMillis) {
        if (!call.callerAnswered) {
            call.callerAnswered = true;
            out.add(new Command.RefuseCall(call.id(), kind, Math.max(retryAtMillis, 0)));
            note(call, DecisionKind.REFUSED, kind.label());
        }
    }

    /** Forgets an attempt that has ended. */
    void release(Attempt attempt, AttemptOutcome outcome, long nowMillis) {
        if (!attempt.delivering()) {
            table.call(attempt.callId).ifPresent(call -> prefilled(attempt, call));
        }
        table.remove(attempt);
        upstreams.recordEnd(attempt.upstream, outcome, nowMillis);
    }

    /**
     * Starts an attempt at the best upstream.
     *
     * @return the attempt, or empty if no upstream can take it
     */
    Optional<Attempt> start(Call call, Optional<String> cacheSource, long nowMillis) {
        Optional<Upstream> choice = choose(call, nowMillis);
        if (choice.isEmpty()) {
            return Optional.empty();
        }
        Upstream upstream = choice.get();
        Attempt attempt = new Attempt(
                nextAttemptId++, call.id(), upstream.id(), upstream.info().address(), call.lastChunk, nowMillis);
        attempt.progressDeadlineMillis = nowMillis + stallMillis(call);
        call.attempts.add(attempt);
        call.attemptCount++;
        call.phase = CallPhase.RUNNING;
        table.add(attempt);
        table.wakeAt(attempt.progressDeadlineMillis, call);
        upstreams.recordStart(upstream.id(), call.request.promptTokens());
        out.add(new Command.StartAttempt(
                attempt.id,
                call.id(),
                call.request.kind(),
                attempt.upstream,
                attempt.address,
                priority(call),
                attempt.fromChunk,
                cacheSource,
                attemptDeadline(call)));
        note(call, DecisionKind.ROUTED, attempt.upstream);
        return Optional.of(attempt);
    }

    /** Records that an attempt has given its first token, or has ended without one. */
    void prefilled(Attempt attempt, Call call) {
        upstreams.recordPrefill(attempt.upstream, call.request.promptTokens());
    }

    /** Returns the time without progress after which an attempt of the call is given up. */
    long stallMillis(Call call) {
        long promise = configuration
                .get()
                .flatMap(current -> current.service(call.request.service()))
                .map(Service::firstTokenMillis)
                .orElse(0);
        return Math.max(LEAST_STALL_MILLIS, promise * STALL_PROMISES);
    }

    private static long attemptDeadline(Call call) {
        long deadline = call.request.deadlineMillis();
        return call.request.kind() == CallKind.SUBMIT ? deadline + LATE_ANSWER_MILLIS : deadline;
    }

    private Optional<Upstream> choose(Call call, long nowMillis) {
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
