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
final class StreamFlow {
    /** Retention time of a stream whose call has ended or whose caller has disconnected, in milliseconds. */
    static final long KEEP_STREAM_MILLIS = 10_000;

    /** Time for which a stream adopted from a peer waits for its caller to connect, in milliseconds. */
    static final long KEEP_ADOPTED_MILLIS = 30_000;

    /** Maximum number of attempts per call, not counting moves away from leaving upstreams. */
    static final int MOST_ATTEMPTS = 4;

    /** Maximum time to wait for an available upstream, in milliseconds. */
    static final long MOST_WAIT_MILLIS = 5_000;

    private static final long POLL_MILLIS = 50;

    private final RetryBudget budget;
    private final Dispatcher dispatcher;
    private final Outbox out;
    private final CallTable table;

    StreamFlow(RetryBudget budget, Dispatcher dispatcher, Outbox out, CallTable table) {
        this.budget = budget;
        this.dispatcher = dispatcher;
        this.out = out;
        this.table = table;
    }

    /** Continues a stream taken over from a peer that is shutting down. */
    void adopt(Call call, int heldChunks, long nowMillis) {
        call.callerPresent = false;
        call.lastChunk += heldChunks;
        out.add(new Command.AnswerAdoption(call.id(), true));
        dispatcher.note(call, DecisionKind.ADOPTED, "from chunk " + call.lastChunk);
        forgetAt(call, nowMillis + KEEP_ADOPTED_MILLIS);
        begin(call, nowMillis);
    }

    void begin(Call call, long nowMillis) {
        call.waitDeadlineMillis = Math.min(call.request.deadlineMillis(), nowMillis + MOST_WAIT_MILLIS);
        table.wakeAt(call.request.deadlineMillis(), call);
        dispatch(call, nowMillis);
    }

    /** Attaches a reconnecting caller to its stream. */
    void attach(long newCallId, Call call, int fromChunk) {
        call.callerPresent = true;
        call.forgetAtMillis = 0;
        out.add(new Command.AttachCaller(newCallId, call.id(), fromChunk));
        dispatcher.note(call, DecisionKind.ATTACHED, "from chunk " + fromChunk);
    }

    void callerLeft(Call call, long nowMillis) {
        call.callerPresent = false;
        if (call.request.kind() != CallKind.GENERATE) {
            dispatcher.cancelAttempts(call, nowMillis);
            call.callerAnswered = true;
            forget(call);
            return;
        }
        forgetAt(call, nowMillis + KEEP_STREAM_MILLIS);
    }

    void ended(Call call, Attempt attempt, AttemptOutcome outcome, int lastChunk, long nowMillis) {
        boolean owner = call.owner().filter(latest -> latest == attempt).isPresent();
        dispatcher.release(attempt, outcome, nowMillis);
        call.lastChunk = Math.max(call.lastChunk, lastChunk);
        if (!owner) {
            return;
        }
        if (outcome == AttemptOutcome.COMPLETE) {
            dispatcher.cancelAttempts(call, nowMillis);
            dispatcher.complete(call);
            finish(call, nowMillis);
            return;
        }
        failed(call, attempt, outcome, nowMillis);
    }

    void progressed(Call call, Attempt attempt, int lastChunk, long nowMillis) {
        if (lastChunk > attempt.lastChunk) {
            attempt.lastChunk = lastChunk;
            call.lastChunk = Math.max(call.lastChunk, lastChunk);
        }
        if (!attempt.delivering()) {
            attempt.firstProgressMillis = nowMillis;
            dispatcher.prefilled(attempt, call);
            cancelOthers(call, attempt, nowMillis);
        }
        attempt.progressDeadlineMillis = nowMillis + dispatcher.stallMillis(call);
        table.wakeAt(attempt.progressDeadlineMillis, call);
    }

    void wake(Call call, long nowMillis) {
        if (call.forgetAtMillis > 0 && nowMillis >= call.forgetAtMillis) {
            dispatcher.cancelAttempts(call, nowMillis);
            forget(call);
            return;
        }
        if (call.phase == CallPhase.ENDED) {
            return;
        }
        if (nowMillis >= call.request.deadlineMillis()) {
            expire(call, nowMillis);
            return;
        }
        for (Attempt attempt : List.copyOf(call.attempts)) {
            boolean owner = call.owner().filter(latest -> latest == attempt).isPresent();
            if (owner && nowMillis >= attempt.progressDeadlineMillis) {
                dispatcher.cancel(attempt, AttemptOutcome.TIMED_OUT, nowMillis);
                failed(call, attempt, AttemptOutcome.TIMED_OUT, nowMillis);
            }
        }
        if (call.phase == CallPhase.WAITING) {
            dispatch(call, nowMillis);
        }
    }

    /** Resumes a stream on this node after its hand-over to a peer has failed. */
    void resume(Call call, long nowMillis) {
        call.waitDeadlineMillis = Math.min(call.request.deadlineMillis(), nowMillis + MOST_WAIT_MILLIS);
        dispatch(call, nowMillis);
    }

    private void cancelOthers(Call call, Attempt winner, long nowMillis) {
        for (Attempt attempt : List.copyOf(call.attempts)) {
            if (attempt != winner) {
                dispatcher.cancel(attempt, AttemptOutcome.CANCELLED, nowMillis);
            }
        }
    }

    private void dispatch(Call call, long nowMillis) {
        Optional<Attempt> started = dispatcher.start(call, Optional.empty(), nowMillis);
        if (started.isPresent()) {
            return;
        }
        if (nowMillis >= call.waitDeadlineMillis) {
            refuse(call, call.mayHaveRun ? call.request.kind().failure() : ErrorKind.NO_UPSTREAM, nowMillis);
            return;
        }
        if (call.phase != CallPhase.WAITING || call.attemptCount == 0) {
            dispatcher.note(call, DecisionKind.QUEUED, "");
        }
        call.phase = CallPhase.WAITING;
        table.wakeAt(Math.min(nowMillis + POLL_MILLIS, call.waitDeadlineMillis), call);
    }

    private void expire(Call call, long nowMillis) {
        boolean sent = call.mayHaveRun || !call.attempts.isEmpty();
        dispatcher.cancelAttempts(call, nowMillis);
        refuse(call, sent ? ErrorKind.DEADLINE_AFTER_SEND : ErrorKind.DEADLINE_BEFORE_SEND, nowMillis);
    }

    private void failed(Call call, Attempt attempt, AttemptOutcome outcome, long nowMillis) {
        call.failedUpstreams.add(attempt.upstream);
        call.mayHaveRun |= !outcome.provedNotRun();
        dispatcher.cancelAttempts(call, nowMillis);
        boolean permitted =
                call.request.kind().mayRetryAfter(outcome) && call.attemptCount < MOST_ATTEMPTS && budget.trySpend();
        if (!permitted) {
            refuse(call, call.mayHaveRun ? call.request.kind().failure() : ErrorKind.NO_UPSTREAM, nowMillis);
            return;
        }
        dispatcher.note(call, DecisionKind.RETRIED, outcome.name().toLowerCase(Locale.ROOT));
        call.waitDeadlineMillis = Math.min(call.request.deadlineMillis(), nowMillis + MOST_WAIT_MILLIS);
        dispatch(call, nowMillis);
    }

    void finish(Call call, long nowMillis) {
        call.phase = CallPhase.ENDED;
        if (call.request.kind() == CallKind.GENERATE) {
            forgetAt(call, Math.max(call.forgetAtMillis, nowMillis + KEEP_STREAM_MILLIS));
        } else {
            forget(call);
        }
    }

    private void forget(Call call) {
        out.add(new Command.ForgetCall(call.id()));
        table.remove(call);
    }

    private void forgetAt(Call call, long deadlineMillis) {
        call.forgetAtMillis = deadlineMillis;
        table.wakeAt(deadlineMillis, call);
    }

    /** Ends a call with an error and discards its stream, so that a retry of the request starts from scratch. */
    private void refuse(Call call, ErrorKind kind, long nowMillis) {
        dispatcher.refuse(call, kind, nowMillis);
        call.phase = CallPhase.ENDED;
        forget(call);
    }
}
