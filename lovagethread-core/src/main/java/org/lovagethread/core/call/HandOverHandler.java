package org.lovagethread.core.call;

import java.util.List;
import java.util.Optional;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.command.DecisionKind;
import org.lovagethread.core.command.Outbox;
import org.lovagethread.core.member.MemberTable;
import org.lovagethread.core.member.PeerState;

/** Hands the streams of this node over to peers during shutdown. */
final class HandOverHandler {
    /** Delay before a failed hand-over of a stream is retried, in milliseconds. */
    static final long RETRY_DELAY_MILLIS = 500;

    private final Dispatcher dispatcher;
    private final MemberTable members;
    private final Outbox outbox;
    private final IdempotentCallHandler idempotentCalls;
    private final CallTable table;

    HandOverHandler(
            Dispatcher dispatcher,
            MemberTable members,
            Outbox outbox,
            IdempotentCallHandler idempotentCalls,
            CallTable table) {
        this.dispatcher = dispatcher;
        this.members = members;
        this.outbox = outbox;
        this.idempotentCalls = idempotentCalls;
        this.table = table;
    }

    /** Offers every unfinished stream whose retry delay has elapsed to a peer. */
    void offerStreams(long nowMillis) {
        for (Call call : table.all()) {
            boolean movable = call.request.kind() == CallKind.GENERATE
                    && (call.phase == CallPhase.RUNNING || call.phase == CallPhase.WAITING);
            if (movable && nowMillis >= call.nextRetryMillis) {
                offer(call, nowMillis);
            }
        }
    }

    void onReply(Call call, boolean accepted, long nowMillis) {
        if (call.phase != CallPhase.HANDING_OVER) {
            return;
        }
        if (!accepted) {
            call.nextRetryMillis = nowMillis + RETRY_DELAY_MILLIS;
            idempotentCalls.resume(call, nowMillis);
            return;
        }
        call.responseEnded = true;
        outbox.add(new Command.RedirectCaller(call.id(), call.successorAddress));
        dispatcher.recordDecision(call, DecisionKind.HANDED_OVER, call.successorAddress);
        idempotentCalls.end(call, nowMillis);
    }

    private void offer(Call call, long nowMillis) {
        List<PeerState> successors = members.handOverTargets(call.streamKey(), nowMillis);
        Optional<PeerState> successor = successors.isEmpty()
                ? Optional.empty()
                : Optional.of(successors.get(call.handOverAttempts % successors.size()));
        if (successor.isEmpty()) {
            return;
        }
        call.handOverAttempts++;
        call.successorAddress = successor.get().address();
        call.phase = CallPhase.HANDING_OVER;
        dispatcher.cancelAttempts(call, nowMillis);
        outbox.add(new Command.HandOverCall(call.id(), successor.get().peerAddress()));
    }
}
