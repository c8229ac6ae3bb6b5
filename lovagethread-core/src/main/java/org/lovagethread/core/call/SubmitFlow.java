package org.lovagethread.core.call;

import java.util.Optional;
import java.util.function.BiPredicate;
import org.lovagethread.core.CoreSettings;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.command.DecisionKind;
import org.lovagethread.core.command.Outbox;
import org.lovagethread.core.error.ErrorKind;
import org.lovagethread.core.event.Event;
import org.lovagethread.core.store.Claim;
import org.lovagethread.core.store.ClaimState;

/**
 * Carries non-idempotent calls to an upstream at most once.
 *
 * <p>A claim on the idempotency key is recorded in the Object API before the first byte is sent, by a write that is
 * conditional on its absence. Only the writer of the claim may send. The outcome is recorded in the same object, so a
 * repeat of the key gets the first answer.
 */
final class SubmitFlow {
    /** Longest time to record a claim before the call is refused, in milliseconds. */
    static final long MOST_CLAIM_MILLIS = 2_000;

    /** Longest time that a repeat waits for the owner of a claim, in milliseconds. */
    static final long MOST_OWNER_WAIT_MILLIS = 3_000;

    /** Longest time that a finished answer is held back until it is recorded, in milliseconds. */
    static final long MOST_RECORD_WAIT_MILLIS = 250;

    /** Time for which recording an outcome is tried again, in milliseconds. */
    static final long MOST_RECORD_MILLIS = 120_000;

    private static final int MOST_ATTEMPTS = 3;
    private static final long RETRY_MILLIS = 100;

    private final Dispatcher dispatcher;
    private final Outbox out;
    private final BiPredicate<String, Long> ownerGone;
    private final CoreSettings settings;
    private final CallTable table;
    private long nextOperationId = 1;

    /**
     * Creates the flow.
     *
     * @param ownerGone tests whether the owner of a claim, named by its token, is known to have died by a given time
     */
    SubmitFlow(
            CoreSettings settings,
            Dispatcher dispatcher,
            Outbox out,
            CallTable table,
            BiPredicate<String, Long> ownerGone) {
        this.settings = settings;
        this.dispatcher = dispatcher;
        this.out = out;
        this.table = table;
        this.ownerGone = ownerGone;
    }

    void begin(Call call, long nowMillis) {
        long deadline = call.request.deadlineMillis();
        String token = settings.node() + '#' + settings.incarnation() + '#' + call.id();
        call.claim = new Claim(token, settings.node(), call.request.bodyDigest(), ClaimState.PENDING, Optional.empty());
        call.phase = CallPhase.CLAIMING;
        call.waitDeadlineMillis = Math.min(deadline, nowMillis + MOST_CLAIM_MILLIS);
        table.wakeAt(call.waitDeadlineMillis, call);
        table.wakeAt(deadline, call);
        writeClaim(call);
    }

    void ended(Call call, Attempt attempt, Event.AttemptEnded event, long nowMillis) {
        AttemptOutcome outcome = event.outcome();
        dispatcher.release(attempt, outcome, nowMillis);
        if (outcome == AttemptOutcome.COMPLETE && event.answer().isPresent()) {
            call.answer = event.answer().get();
            record(call, call.claim.withAnswer(call.answer), nowMillis);
            call.answerByMillis = nowMillis + MOST_RECORD_WAIT_MILLIS;
            table.wakeAt(call.answerByMillis, call);
            return;
        }
        if (!outcome.provedNotRun()) {
            dispatcher.refuse(call, ErrorKind.OUTCOME_UNKNOWN, nowMillis);
            record(call, call.claim.withState(ClaimState.UNKNOWN), nowMillis);
            return;
        }
        call.failedUpstreams.add(attempt.upstream);
        if (call.attemptCount >= MOST_ATTEMPTS) {
            release(call, ErrorKind.NO_UPSTREAM, nowMillis);
            return;
        }
        dispatcher.note(call, DecisionKind.RETRIED, attempt.upstream);
        send(call, nowMillis);
    }

    void replied(Call call, Event.ClaimReplied reply, long nowMillis) {
        switch (call.phase) {
            case CLAIMING -> claiming(call, reply, nowMillis);
            case AWAITING_OWNER -> awaitingOwner(call, reply, nowMillis);
            case RECORDING -> recording(call, reply, nowMillis);
            default -> throw new IllegalStateException("unexpected reply in phase " + call.phase);
        }
    }

    void wake(Call call, long nowMillis) {
        switch (call.phase) {
            case CLAIMING -> wakeClaiming(call, nowMillis);
            case AWAITING_OWNER -> wakeAwaitingOwner(call, nowMillis);
            case WAITING -> send(call, nowMillis);
            case RUNNING -> wakeRunning(call, nowMillis);
            case RECORDING -> wakeRecording(call, nowMillis);
            default -> {}
        }
    }

    private void awaitingOwner(Call call, Event.ClaimReplied reply, long nowMillis) {
        if (reply.claim().isPresent()) {
            existing(call, reply.version(), reply.claim().get(), nowMillis);
            return;
        }
        call.nextTryMillis = nowMillis + RETRY_MILLIS;
        table.wakeAt(call.nextTryMillis, call);
    }

    private void claiming(Call call, Event.ClaimReplied reply, long nowMillis) {
        switch (reply.status()) {
            case WRITTEN -> claimed(call, reply.version(), nowMillis);
            case CONFLICT, FOUND -> {
                if (reply.claim().isPresent()) {
                    existing(call, reply.version(), reply.claim().get(), nowMillis);
                } else {
                    readClaim(call);
                }
            }
            case MISSING -> {
                call.claimVersion = 0;
                writeClaim(call);
            }
            case REJECTED -> {
                if (!call.claimUncertain) {
                    dispatcher.refuse(call, ErrorKind.STORE_UNAVAILABLE, nowMillis);
                    table.remove(call);
                } else {
                    retryLater(call, nowMillis);
                }
            }
            case NO_ANSWER -> {
                call.claimUncertain = true;
                retryLater(call, nowMillis);
            }
            default -> throw new IllegalStateException("unexpected status " + reply.status());
        }
    }

    private void claimed(Call call, long version, long nowMillis) {
        call.claimVersion = version;
        call.waitDeadlineMillis = Math.min(call.request.deadlineMillis(), nowMillis + StreamFlow.MOST_WAIT_MILLIS);
        dispatcher.note(call, DecisionKind.CLAIMED, call.claim.token());
        send(call, nowMillis);
    }

    private void existing(Call call, long version, Claim stored, long nowMillis) {
        if (stored.token().equals(call.claim.token())) {
            claimed(call, version, nowMillis);
            return;
        }
        if (!stored.bodyDigest().equals(call.request.bodyDigest())) {
            dispatcher.refuse(call, ErrorKind.KEY_REUSED, nowMillis);
            table.remove(call);
            return;
        }
        switch (stored.state()) {
            case ANSWERED -> {
                call.callerAnswered = true;
                out.add(new Command.ReplayAnswer(call.id(), stored.answer().orElseThrow()));
                dispatcher.note(call, DecisionKind.REPLAYED, stored.token());
                table.remove(call);
            }
            case UNKNOWN -> refuseUnknown(call, nowMillis);
            case NOT_SENT -> {
                call.phase = CallPhase.CLAIMING;
                call.claimVersion = version;
                writeClaim(call);
            }
            case PENDING -> awaitOwner(call, stored, nowMillis);
            default -> throw new IllegalStateException("unexpected state " + stored.state());
        }
    }

    private void awaitOwner(Call call, Claim stored, long nowMillis) {
        if (call.phase != CallPhase.AWAITING_OWNER) {
            call.phase = CallPhase.AWAITING_OWNER;
            call.waitDeadlineMillis = Math.min(call.request.deadlineMillis(), nowMillis + MOST_OWNER_WAIT_MILLIS);
        }
        if (ownerGone.test(stored.token(), nowMillis) || nowMillis >= call.waitDeadlineMillis) {
            refuseUnknown(call, nowMillis);
            return;
        }
        call.nextTryMillis = nowMillis + RETRY_MILLIS;
        table.wakeAt(call.nextTryMillis, call);
    }

    private void record(Call call, Claim outcome, long nowMillis) {
        call.claim = outcome;
        call.phase = CallPhase.RECORDING;
        call.recordDeadlineMillis = nowMillis + MOST_RECORD_MILLIS;
        writeClaim(call);
    }

    private void recording(Call call, Event.ClaimReplied reply, long nowMillis) {
        boolean ours = reply.claim()
                .map(stored -> stored.token().equals(call.claim.token()))
                .orElse(false);
        boolean recorded =
                switch (reply.status()) {
                    case WRITTEN -> true;
                    case CONFLICT, FOUND -> !ours || reply.claim().get().state() == call.claim.state();
                    default -> false;
                };
        if (recorded) {
            recorded(call);
            return;
        }
        if (ours) {
            call.claimVersion = reply.version();
        }
        retryLater(call, nowMillis);
    }

    private void recorded(Call call) {
        if (call.answer != null) {
            dispatcher.complete(call);
        }
        table.remove(call);
    }

    /** Refuses a call of which nothing was sent, and frees its claim for a repeat. */
    private void release(Call call, ErrorKind kind, long nowMillis) {
        dispatcher.refuse(call, kind, nowMillis);
        record(call, call.claim.withState(ClaimState.NOT_SENT), nowMillis);
    }

    private void refuseUnknown(Call call, long nowMillis) {
        dispatcher.refuse(call, ErrorKind.OUTCOME_UNKNOWN, nowMillis);
        table.remove(call);
    }

    private void retryLater(Call call, long nowMillis) {
        call.nextTryMillis = nowMillis + RETRY_MILLIS;
        table.wakeAt(call.nextTryMillis, call);
    }

    private void send(Call call, long nowMillis) {
        if (nowMillis >= call.request.deadlineMillis()) {
            release(call, ErrorKind.DEADLINE_BEFORE_SEND, nowMillis);
            return;
        }
        if (dispatcher.start(call, Optional.empty(), nowMillis).isPresent()) {
            return;
        }
        if (nowMillis >= call.waitDeadlineMillis) {
            release(call, ErrorKind.NO_UPSTREAM, nowMillis);
            return;
        }
        call.phase = CallPhase.WAITING;
        table.wakeAt(Math.min(nowMillis + RETRY_MILLIS, call.waitDeadlineMillis), call);
    }

    private void wakeAwaitingOwner(Call call, long nowMillis) {
        if (nowMillis >= call.waitDeadlineMillis) {
            refuseUnknown(call, nowMillis);
        } else if (call.operationId == 0 && nowMillis >= call.nextTryMillis) {
            readClaim(call);
        }
    }

    private void wakeClaiming(Call call, long nowMillis) {
        if (nowMillis >= call.waitDeadlineMillis) {
            release(call, ErrorKind.STORE_UNAVAILABLE, nowMillis);
        } else if (call.operationId == 0 && nowMillis >= call.nextTryMillis) {
            readClaim(call);
        }
    }

    private void wakeRecording(Call call, long nowMillis) {
        if (call.answer != null && nowMillis >= call.answerByMillis) {
            dispatcher.complete(call);
        }
        if (nowMillis >= call.recordDeadlineMillis) {
            table.remove(call);
        } else if (call.operationId == 0 && nowMillis >= call.nextTryMillis) {
            writeClaim(call);
        }
    }

    private void wakeRunning(Call call, long nowMillis) {
        if (nowMillis >= call.request.deadlineMillis()) {
            dispatcher.refuse(call, ErrorKind.OUTCOME_UNKNOWN, nowMillis);
        }
        boolean overdue = nowMillis >= call.request.deadlineMillis() + Dispatcher.LATE_ANSWER_MILLIS;
        if (overdue) {
            dispatcher.cancelAttempts(call, nowMillis);
            record(call, call.claim.withState(ClaimState.UNKNOWN), nowMillis);
        } else if (nowMillis >= call.request.deadlineMillis()) {
            table.wakeAt(call.request.deadlineMillis() + Dispatcher.LATE_ANSWER_MILLIS, call);
        }
    }

    private void readClaim(Call call) {
        table.operation(nextOperationId, call);
        out.add(new Command.ReadClaim(nextOperationId++, call.claimKey()));
    }

    private void writeClaim(Call call) {
        table.operation(nextOperationId, call);
        out.add(new Command.WriteClaim(nextOperationId++, call.claimKey(), call.claimVersion, call.claim));
    }
}
