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
 * State machine of non-idempotent calls, which are executed at most once.
 *
 * <p>Before the first byte is sent, a claim on the idempotency key is written to the Object API with a create-if-absent
 * condition. Only the writer of the claim may send the call. The outcome is recorded in the same object, so that later
 * calls with the same key receive the original response.
 */
final class NonIdempotentCallHandler {
    /** Time after which a call is refused if its claim could not be written, in milliseconds. */
    static final long CLAIM_TIMEOUT_MILLIS = 2_000;

    /** Maximum time that a retried call waits for the owner of the claim, in milliseconds. */
    static final long OWNER_WAIT_TIMEOUT_MILLIS = 3_000;

    /** Maximum time that a complete response is withheld from the caller until it is recorded, in milliseconds. */
    static final long RESPONSE_HOLD_TIMEOUT_MILLIS = 250;

    /** Time after which attempts to record an outcome are abandoned, in milliseconds. */
    static final long RECORD_TIMEOUT_MILLIS = 120_000;

    private static final int MAX_ATTEMPTS = 3;
    private static final long RETRY_DELAY_MILLIS = 100;

    private final Dispatcher dispatcher;
    private final Outbox outbox;
    private final BiPredicate<String, Long> hasOwnerFailed;
    private final CoreSettings settings;
    private final CallTable table;
    private long nextOperationId = 1;

    /**
     * Creates the state machine.
     *
     * @param hasOwnerFailed returns whether the node that owns a claim has failed or restarted, given the token of
     *     the claim and the current time
     */
    NonIdempotentCallHandler(
            CoreSettings settings,
            Dispatcher dispatcher,
            Outbox outbox,
            CallTable table,
            BiPredicate<String, Long> hasOwnerFailed) {
        this.settings = settings;
        this.dispatcher = dispatcher;
        this.outbox = outbox;
        this.table = table;
        this.hasOwnerFailed = hasOwnerFailed;
    }

    void start(Call call, long nowMillis) {
        long deadline = call.request.deadlineMillis();
        String token = settings.node() + '#' + settings.incarnation() + '#' + call.id();
        call.claim = new Claim(token, settings.node(), call.request.bodyDigest(), ClaimState.PENDING, Optional.empty());
        call.phase = CallPhase.CLAIMING;
        call.waitDeadlineMillis = Math.min(deadline, nowMillis + CLAIM_TIMEOUT_MILLIS);
        table.scheduleTimer(call.waitDeadlineMillis, call);
        table.scheduleTimer(deadline, call);
        writeClaim(call);
    }

    void onAttemptEnded(Call call, Attempt attempt, Event.AttemptEnded event, long nowMillis) {
        AttemptOutcome outcome = event.outcome();
        dispatcher.endAttempt(attempt, outcome, nowMillis);
        if (outcome == AttemptOutcome.COMPLETE && event.answer().isPresent()) {
            call.answer = event.answer().get();
            recordOutcome(call, call.claim.withAnswer(call.answer), nowMillis);
            call.responseReleaseDeadlineMillis = nowMillis + RESPONSE_HOLD_TIMEOUT_MILLIS;
            table.scheduleTimer(call.responseReleaseDeadlineMillis, call);
            return;
        }
        if (!outcome.provesNotRun()) {
            dispatcher.refuse(call, ErrorKind.OUTCOME_UNKNOWN, nowMillis);
            recordOutcome(call, call.claim.withState(ClaimState.UNKNOWN), nowMillis);
            return;
        }
        call.failedUpstreams.add(attempt.upstream);
        if (call.attemptCount >= MAX_ATTEMPTS) {
            releaseClaim(call, ErrorKind.NO_UPSTREAM, nowMillis);
            return;
        }
        dispatcher.recordDecision(call, DecisionKind.RETRIED, attempt.upstream);
        send(call, nowMillis);
    }

    void onClaimReplied(Call call, Event.ClaimReplied reply, long nowMillis) {
        switch (call.phase) {
            case CLAIMING -> onClaimingReply(call, reply, nowMillis);
            case AWAITING_OWNER -> onAwaitingOwnerReply(call, reply, nowMillis);
            case RECORDING -> onRecordingReply(call, reply, nowMillis);
            default -> throw new IllegalStateException("unexpected claim reply in phase " + call.phase);
        }
    }

    void onTimer(Call call, long nowMillis) {
        switch (call.phase) {
            case CLAIMING -> onClaimingTimer(call, nowMillis);
            case AWAITING_OWNER -> onAwaitingOwnerTimer(call, nowMillis);
            case WAITING -> send(call, nowMillis);
            case RUNNING -> onRunningTimer(call, nowMillis);
            case RECORDING -> onRecordingTimer(call, nowMillis);
            default -> {}
        }
    }

    private void onAwaitingOwnerReply(Call call, Event.ClaimReplied reply, long nowMillis) {
        if (reply.claim().isPresent()) {
            onExistingClaim(call, reply.version(), reply.claim().get(), nowMillis);
            return;
        }
        call.nextRetryMillis = nowMillis + RETRY_DELAY_MILLIS;
        table.scheduleTimer(call.nextRetryMillis, call);
    }

    private void onClaimingReply(Call call, Event.ClaimReplied reply, long nowMillis) {
        switch (reply.status()) {
            case WRITTEN -> onClaimAcquired(call, reply.version(), nowMillis);
            case CONFLICT, FOUND -> {
                if (reply.claim().isPresent()) {
                    onExistingClaim(call, reply.version(), reply.claim().get(), nowMillis);
                } else {
                    readClaim(call);
                }
            }
            case MISSING -> {
                call.claimVersion = 0;
                writeClaim(call);
            }
            case REJECTED -> {
                if (!call.claimWriteUncertain) {
                    dispatcher.refuse(call, ErrorKind.STORE_UNAVAILABLE, nowMillis);
                    table.remove(call);
                } else {
                    scheduleRetry(call, nowMillis);
                }
            }
            case NO_ANSWER -> {
                call.claimWriteUncertain = true;
                scheduleRetry(call, nowMillis);
            }
            default -> throw new IllegalStateException("unexpected store status " + reply.status());
        }
    }

    private void onClaimAcquired(Call call, long version, long nowMillis) {
        call.claimVersion = version;
        call.waitDeadlineMillis =
                Math.min(call.request.deadlineMillis(), nowMillis + IdempotentCallHandler.UPSTREAM_WAIT_TIMEOUT_MILLIS);
        dispatcher.recordDecision(call, DecisionKind.CLAIMED, call.claim.token());
        send(call, nowMillis);
    }

    private void onExistingClaim(Call call, long version, Claim storedClaim, long nowMillis) {
        if (storedClaim.token().equals(call.claim.token())) {
            onClaimAcquired(call, version, nowMillis);
            return;
        }
        if (!storedClaim.bodyDigest().equals(call.request.bodyDigest())) {
            dispatcher.refuse(call, ErrorKind.KEY_REUSED, nowMillis);
            table.remove(call);
            return;
        }
        switch (storedClaim.state()) {
            case ANSWERED -> {
                call.responseEnded = true;
                outbox.add(
                        new Command.ReplayAnswer(call.id(), storedClaim.answer().orElseThrow()));
                dispatcher.recordDecision(call, DecisionKind.REPLAYED, storedClaim.token());
                table.remove(call);
            }
            case UNKNOWN -> refuseOutcomeUnknown(call, nowMillis);
            case NOT_SENT -> {
                call.phase = CallPhase.CLAIMING;
                call.claimVersion = version;
                writeClaim(call);
            }
            case PENDING -> awaitOwner(call, storedClaim, nowMillis);
            default -> throw new IllegalStateException("unexpected claim state " + storedClaim.state());
        }
    }

    private void awaitOwner(Call call, Claim storedClaim, long nowMillis) {
        if (call.phase != CallPhase.AWAITING_OWNER) {
            call.phase = CallPhase.AWAITING_OWNER;
            call.waitDeadlineMillis = Math.min(call.request.deadlineMillis(), nowMillis + OWNER_WAIT_TIMEOUT_MILLIS);
        }
        if (hasOwnerFailed.test(storedClaim.token(), nowMillis) || nowMillis >= call.waitDeadlineMillis) {
            refuseOutcomeUnknown(call, nowMillis);
            return;
        }
        call.nextRetryMillis = nowMillis + RETRY_DELAY_MILLIS;
        table.scheduleTimer(call.nextRetryMillis, call);
    }

    private void recordOutcome(Call call, Claim outcome, long nowMillis) {
        call.claim = outcome;
        call.phase = CallPhase.RECORDING;
        call.recordDeadlineMillis = nowMillis + RECORD_TIMEOUT_MILLIS;
        writeClaim(call);
    }

    private void onRecordingReply(Call call, Event.ClaimReplied reply, long nowMillis) {
        boolean isOwnClaim = reply.claim()
                .map(storedClaim -> storedClaim.token().equals(call.claim.token()))
                .orElse(false);
        boolean isRecorded =
                switch (reply.status()) {
                    case WRITTEN -> true;
                    case CONFLICT, FOUND -> !isOwnClaim || reply.claim().get().state() == call.claim.state();
                    default -> false;
                };
        if (isRecorded) {
            onOutcomeRecorded(call);
            return;
        }
        if (isOwnClaim) {
            call.claimVersion = reply.version();
        }
        scheduleRetry(call, nowMillis);
    }

    private void onOutcomeRecorded(Call call) {
        if (call.answer != null) {
            dispatcher.complete(call);
        }
        table.remove(call);
    }

    /** Refuses a call that was not sent to any upstream and releases its claim, so that the caller can retry. */
    private void releaseClaim(Call call, ErrorKind kind, long nowMillis) {
        dispatcher.refuse(call, kind, nowMillis);
        recordOutcome(call, call.claim.withState(ClaimState.NOT_SENT), nowMillis);
    }

    private void refuseOutcomeUnknown(Call call, long nowMillis) {
        dispatcher.refuse(call, ErrorKind.OUTCOME_UNKNOWN, nowMillis);
        table.remove(call);
    }

    private void scheduleRetry(Call call, long nowMillis) {
        call.nextRetryMillis = nowMillis + RETRY_DELAY_MILLIS;
        table.scheduleTimer(call.nextRetryMillis, call);
    }

    private void send(Call call, long nowMillis) {
        if (nowMillis >= call.request.deadlineMillis()) {
            releaseClaim(call, ErrorKind.DEADLINE_BEFORE_SEND, nowMillis);
            return;
        }
        if (dispatcher.startAttempt(call, Optional.empty(), nowMillis).isPresent()) {
            return;
        }
        if (nowMillis >= call.waitDeadlineMillis) {
            releaseClaim(call, ErrorKind.NO_UPSTREAM, nowMillis);
            return;
        }
        call.phase = CallPhase.WAITING;
        table.scheduleTimer(Math.min(nowMillis + RETRY_DELAY_MILLIS, call.waitDeadlineMillis), call);
    }

    private void onAwaitingOwnerTimer(Call call, long nowMillis) {
        if (nowMillis >= call.waitDeadlineMillis) {
            refuseOutcomeUnknown(call, nowMillis);
        } else if (call.pendingOperationId == 0 && nowMillis >= call.nextRetryMillis) {
            readClaim(call);
        }
    }

    private void onClaimingTimer(Call call, long nowMillis) {
        if (nowMillis >= call.waitDeadlineMillis) {
            releaseClaim(call, ErrorKind.STORE_UNAVAILABLE, nowMillis);
        } else if (call.pendingOperationId == 0 && nowMillis >= call.nextRetryMillis) {
            readClaim(call);
        }
    }

    private void onRecordingTimer(Call call, long nowMillis) {
        if (call.answer != null && nowMillis >= call.responseReleaseDeadlineMillis) {
            dispatcher.complete(call);
        }
        if (nowMillis >= call.recordDeadlineMillis) {
            table.remove(call);
        } else if (call.pendingOperationId == 0 && nowMillis >= call.nextRetryMillis) {
            writeClaim(call);
        }
    }

    private void onRunningTimer(Call call, long nowMillis) {
        if (nowMillis >= call.request.deadlineMillis()) {
            dispatcher.refuse(call, ErrorKind.OUTCOME_UNKNOWN, nowMillis);
        }
        boolean graceElapsed = nowMillis >= call.request.deadlineMillis() + Dispatcher.LATE_RESPONSE_GRACE_MILLIS;
        if (graceElapsed) {
            dispatcher.cancelAttempts(call, nowMillis);
            recordOutcome(call, call.claim.withState(ClaimState.UNKNOWN), nowMillis);
        } else if (nowMillis >= call.request.deadlineMillis()) {
            table.scheduleTimer(call.request.deadlineMillis() + Dispatcher.LATE_RESPONSE_GRACE_MILLIS, call);
        }
    }

    private void readClaim(Call call) {
        table.registerOperation(nextOperationId, call);
        outbox.add(new Command.ReadClaim(nextOperationId++, call.claimKey()));
    }

    private void writeClaim(Call call) {
        table.registerOperation(nextOperationId, call);
        outbox.add(new Command.WriteClaim(nextOperationId++, call.claimKey(), call.claimVersion, call.claim));
    }
}
