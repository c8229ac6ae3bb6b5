package org.lovagethread.core.call;

import java.util.List;
import java.util.Optional;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.command.DecisionKind;
import org.lovagethread.core.command.Outbox;
import org.lovagethread.core.member.MemberTable;
import org.lovagethread.core.member.PeerState;

/** Moves the streams of a stopping node to its peers. */
final class HandOverFlow {
    /** Time between two tries to hand over the same stream, in milliseconds. */
    static final long RETRY_MILLIS = 500;

    private final Dispatcher dispatcher;
    private final MemberTable members;
    private final Outbox out;
    private final StreamFlow streams;
    private final CallTable table;

    HandOverFlow(Dispatcher dispatcher, MemberTable members, Outbox out, StreamFlow streams, CallTable table) {
        this.dispatcher = dispatcher;
        this.members = members;
        this.out = out;
        this.streams = streams;
        this.table = table;
    }

    /** Offers every unfinished stream whose turn it is to a peer. */
    void handOver(long nowMillis) {
        for (Call call : table.all()) {
            boolean movable = call.request.kind() == CallKind.GENERATE
                    && (call.phase == CallPhase.RUNNING || call.phase == CallPhase.WAITING);
            if (movable && nowMillis >= call.nextTryMillis) {
                offer(call, nowMillis);
            }
        }
    }

    void replied(Call call, boolean accepted, long nowMillis) {
        if (call.phase != CallPhase.HANDING_OVER) {
            return;
        }
        if (!accepted) {
            call.nextTryMillis = nowMillis + RETRY_MILLIS;
            streams.resume(call, nowMillis);
            return;
        }
        call.callerAnswered = true;
        out.add(new Command.RedirectCaller(call.id(), call.successorAddress));
        dispatcher.note(call, DecisionKind.HANDED_OVER, call.successorAddress);
        streams.finish(call, nowMillis);
    }

    private void offer(Call call, long nowMillis) {
        List<PeerState> successors = members.handOverTargets(call.streamKey(), nowMillis);
        Optional<PeerState> successor = successors.isEmpty()
                ? Optional.empty()
                : Optional.of(successors.get(call.handOverTries % successors.size()));
        if (successor.isEmpty()) {
            return;
        }
        call.handOverTries++;
        call.successorAddress = successor.get().address();
        call.phase = CallPhase.HANDING_OVER;
        dispatcher.cancelAttempts(call, nowMillis);
        out.add(new Command.HandOverCall(call.id(), successor.get().peerAddress()));
    }
}
