package org.lovagethread.core.call;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.command.DecisionKind;
import org.lovagethread.core.command.Outbox;
import org.lovagethread.core.error.ErrorKind;
import org.lovagethread.core.limit.RetryBudget;

/** State machine of idempotent calls, which are model streams and reads. */
final class IdempotentCallHandler {
    /** Retention time of a stream whose call has ended or whose caller has disconnected, in milliseconds. */
    static final long STREAM_RETENTION_MILLIS = 10_000;

    /** Time for which a stream adopted from a peer waits for its caller to connect, in milliseconds. */
    static final long ADOPTED_STREAM_RETENTION_MILLIS = 30_000;

    /** Maximum number of attempts per call, not counting moves away from leaving upstreams. */
    static final int MAX_ATTEMPTS = 4;

    /** Maximum time to wait for an available upstream, in milliseconds. */
    static final long UPSTREAM_WAIT_TIMEOUT_MILLIS = 5_000;

    private static final long POLL_INTERVAL_MILLIS = 50;

    private final RetryBudget retryBudget;
    private final Dispatcher dispatcher;
    private final Outbox outbox;
    private final CallTable table;

    IdempotentCallHandler(RetryBudget retryBudget, Dispatcher dispatcher, Outbox outbox, CallTable table) {
        this.retryBudget = retryBudget;
        this.dispatcher = dispatcher;
        this.outbox = outbox;
        this.table = table;
    }

    /** Continues a stream taken over from a peer that is shutting down. */
    void adopt(Call call, int heldChunks, long nowMillis) {
        call.callerConnected = false;
        call.lastChunk += heldChunks;
        outbox.add(new Command.AnswerAdoption(call.id(), true));
        dispatcher.recordDecision(call, DecisionKind.ADOPTED, "from chunk " + call.lastChunk);
        scheduleEviction(call, nowMillis + ADOPTED_STREAM_RETENTION_MILLIS);
        start(call, nowMillis);
    }

    void start(Call call, long nowMillis) {
        call.waitDeadlineMillis = Math.min(call.request.deadlineMillis(), nowMillis + UPSTREAM_WAIT_TIMEOUT_MILLIS);
        table.scheduleTimer(call.request.deadlineMillis(), call);
        dispatch(call, nowMillis);
    }

    /** Attaches a reconnecting caller to its stream. */
    void attach(long newCallId, Call call, int fromChunk) {
        call.callerConnected = true;
        call.evictAtMillis = 0;
        outbox.add(new Command.AttachCaller(newCallId, call.id(), fromChunk));
        dispatcher.recordDecision(call, DecisionKind.ATTACHED, "from chunk " + fromChunk);
    }

    void onCallerLeft(Call call, long nowMillis) {
        call.callerConnected = false;
        if (call.request.kind() != CallKind.GENERATE) {
            dispatcher.cancelAttempts(call, nowMillis);
            call.responseEnded = true;
            evict(call);
            return;
        }
        scheduleEviction(call, nowMillis + STREAM_RETENTION_MILLIS);
    }

    void onAttemptEnded(Call call, Attempt attempt, AttemptOutcome outcome, int lastChunk, long nowMillis) {
        boolean isLatest =
                call.latestAttempt().filter(latest -> latest == attempt).isPresent();
        dispatcher.endAttempt(attempt, outcome, nowMillis);
        call.lastChunk = Math.max(call.lastChunk, lastChunk);
        if (!isLatest) {
            return;
        }
        if (outcome == AttemptOutcome.COMPLETE) {
            dispatcher.cancelAttempts(call, nowMillis);
            dispatcher.complete(call);
            end(call, nowMillis);
            return;
        }
        onAttemptFailed(call, attempt, outcome, nowMillis);
    }

    void onAttemptProgressed(Call call, Attempt attempt, int lastChunk, long nowMillis) {
        if (lastChunk > attempt.lastChunk) {
            attempt.lastChunk = lastChunk;
            call.lastChunk = Math.max(call.lastChunk, lastChunk);
        }
        if (!attempt.hasDelivered()) {
            attempt.firstProgressMillis = nowMillis;
            dispatcher.onPrefillEnded(attempt, call);
            cancelOtherAttempts(call, attempt, nowMillis);
        }
        attempt.progressDeadlineMillis = nowMillis + dispatcher.stallTimeoutMillis(call);
        table.scheduleTimer(attempt.progressDeadlineMillis, call);
    }

    void onTimer(Call call, long nowMillis) {
        if (call.evictAtMillis > 0 && nowMillis >= call.evictAtMillis) {
            dispatcher.cancelAttempts(call, nowMillis);
            evict(call);
            return;
        }
        if (call.phase == CallPhase.ENDED) {
            return;
        }
        if (nowMillis >= call.request.deadlineMillis()) {
            onDeadlinePassed(call, nowMillis);
            return;
        }
        for (Attempt attempt : List.copyOf(call.attempts)) {
            boolean isLatest =
                    call.latestAttempt().filter(latest -> latest == attempt).isPresent();
            if (isLatest && nowMillis >= attempt.progressDeadlineMillis) {
                dispatcher.cancelAttempt(attempt, AttemptOutcome.TIMED_OUT, nowMillis);
                onAttemptFailed(call, attempt, AttemptOutcome.TIMED_OUT, nowMillis);
            }
        }
        if (call.phase == CallPhase.WAITING) {
            dispatch(call, nowMillis);
        }
    }

    /** Resumes a stream on this node after its hand-over to a peer has failed. */
    void resume(Call call, long nowMillis) {
        call.waitDeadlineMillis = Math.min(call.request.deadlineMillis(), nowMillis + UPSTREAM_WAIT_TIMEOUT_MILLIS);
        dispatch(call, nowMillis);
    }

    private void cancelOtherAttempts(Call call, Attempt retained, long nowMillis) {
        for (Attempt attempt : List.copyOf(call.attempts)) {
            if (attempt != retained) {
                dispatcher.cancelAttempt(attempt, AttemptOutcome.CANCELLED, nowMillis);
            }
        }
    }

    private void dispatch(Call call, long nowMillis) {
        Optional<Attempt> started = dispatcher.startAttempt(call, Optional.empty(), nowMillis);
        if (started.isPresent()) {
            return;
        }
        if (nowMillis >= call.waitDeadlineMillis) {
            refuse(call, call.mayHaveRun ? call.request.kind().errorAfterSend() : ErrorKind.NO_UPSTREAM, nowMillis);
            return;
        }
        if (call.phase != CallPhase.WAITING || call.attemptCount == 0) {
            dispatcher.recordDecision(call, DecisionKind.QUEUED, "");
        }
        call.phase = CallPhase.WAITING;
        table.scheduleTimer(Math.min(nowMillis + POLL_INTERVAL_MILLIS, call.waitDeadlineMillis), call);
    }

    private void onDeadlinePassed(Call call, long nowMillis) {
        boolean mayHaveBeenSent = call.mayHaveRun || !call.attempts.isEmpty();
        dispatcher.cancelAttempts(call, nowMillis);
        refuse(call, mayHaveBeenSent ? ErrorKind.DEADLINE_AFTER_SEND : ErrorKind.DEADLINE_BEFORE_SEND, nowMillis);
    }

    private void onAttemptFailed(Call call, Attempt attempt, AttemptOutcome outcome, long nowMillis) {
        call.failedUpstreams.add(attempt.upstream);
        call.mayHaveRun |= !outcome.provesNotRun();
        dispatcher.cancelAttempts(call, nowMillis);
        boolean mayRetry = call.request.kind().mayRetryAfter(outcome)
                && call.attemptCount < MAX_ATTEMPTS
                && retryBudget.tryWithdraw();
        if (!mayRetry) {
            refuse(call, call.mayHaveRun ? call.request.kind().errorAfterSend() : ErrorKind.NO_UPSTREAM, nowMillis);
            return;
        }
        dispatcher.recordDecision(call, DecisionKind.RETRIED, outcome.name().toLowerCase(Locale.ROOT));
        call.waitDeadlineMillis = Math.min(call.request.deadlineMillis(), nowMillis + UPSTREAM_WAIT_TIMEOUT_MILLIS);
        dispatch(call, nowMillis);
    }

    void end(Call call, long nowMillis) {
        call.phase = CallPhase.ENDED;
        if (call.request.kind() == CallKind.GENERATE) {
            scheduleEviction(call, Math.max(call.evictAtMillis, nowMillis + STREAM_RETENTION_MILLIS));
        } else {
            evict(call);
        }
    }

    private void evict(Call call) {
        outbox.add(new Command.ForgetCall(call.id()));
        table.remove(call);
    }

    private void scheduleEviction(Call call, long deadlineMillis) {
        call.evictAtMillis = deadlineMillis;
        table.scheduleTimer(deadlineMillis, call);
    }

    /** Ends a call with an error and discards its stream, so that a retry of the request starts from scratch. */
    private void refuse(Call call, ErrorKind kind, long nowMillis) {
        dispatcher.refuse(call, kind, nowMillis);
        call.phase = CallPhase.ENDED;
        evict(call);
    }
}
