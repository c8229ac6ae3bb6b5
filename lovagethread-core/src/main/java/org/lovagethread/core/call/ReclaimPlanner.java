package org.lovagethread.core.call;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.lovagethread.core.command.DecisionKind;

/** Decides for each attempt on a leaving upstream whether it finishes there or moves to another upstream. */
final class ReclaimPlanner {
    /** An attempt finishes in place only if it is expected to end this long before the deadline, in milliseconds. */
    static final long SAFETY_MARGIN_MILLIS = 500;

    /** Interval between tokens that is assumed until it can be measured, in milliseconds. */
    static final long ASSUMED_BETWEEN_TOKENS_MILLIS = 50;

    /** Minimum time before the reclaim deadline for starting a cache export, in milliseconds. */
    static final long LEAST_EXPORT_MILLIS = 1_000;

    private final Dispatcher dispatcher;
    private final ReclaimPolicy policy;
    private final CallTable table;

    ReclaimPlanner(ReclaimPolicy policy, Dispatcher dispatcher, CallTable table) {
        this.policy = policy;
        this.dispatcher = dispatcher;
        this.table = table;
    }

    /** Handles a notice that an upstream is leaving. The attempts with the most cached tokens are planned first. */
    void upstreamLeaving(String upstream, long deadlineMillis, long nowMillis) {
        List<Attempt> affected = table.attemptsAt(upstream).stream()
                .sorted(Comparator.comparingLong((Attempt attempt) -> -heldTokens(attempt))
                        .thenComparingLong(attempt -> attempt.id))
                .toList();
        for (Attempt attempt : affected) {
            table.call(attempt.callId).ifPresent(call -> plan(call, attempt, deadlineMillis, nowMillis));
        }
    }

    /** Estimates when an attempt will have delivered its complete response. */
    static long estimatedEndMillis(Call call, Attempt attempt, long nowMillis) {
        int delivered = attempt.lastChunk - attempt.fromChunk;
        long betweenTokens = ASSUMED_BETWEEN_TOKENS_MILLIS;
        if (attempt.delivering() && delivered > 1) {
            betweenTokens = Math.max(1, (nowMillis - attempt.firstProgressMillis) / (delivered - 1));
        }
        long remaining = Math.max(0, call.request.maxTokens() - call.lastChunk);
        return nowMillis + remaining * betweenTokens;
    }

    private long heldTokens(Attempt attempt) {
        return table.call(attempt.callId)
                .map(call -> (long) call.request.promptTokens() + call.lastChunk)
                .orElse(0L);
    }

    private void plan(Call call, Attempt attempt, long deadlineMillis, long nowMillis) {
        boolean movable = call.request.kind() == CallKind.GENERATE && call.attempts.size() == 1;
        boolean endsInTime = estimatedEndMillis(call, attempt, nowMillis) + SAFETY_MARGIN_MILLIS <= deadlineMillis;
        boolean exportable = attempt.delivering() && nowMillis + LEAST_EXPORT_MILLIS <= deadlineMillis;
        ReclaimPolicy.Move move = movable ? policy.decide(endsInTime, exportable) : ReclaimPolicy.Move.STAY;
        if (move == ReclaimPolicy.Move.STAY) {
            dispatcher.note(call, DecisionKind.FINISHING_IN_PLACE, attempt.upstream);
            return;
        }
        boolean export = move == ReclaimPolicy.Move.EXPORT;
        Optional<String> cacheSource = export ? Optional.of(attempt.address) : Optional.empty();
        Optional<Attempt> moved = dispatcher.start(call, cacheSource, nowMillis);
        if (moved.isPresent()) {
            call.attemptCount--;
            dispatcher.note(call, DecisionKind.MOVED, attempt.upstream + " to " + moved.get().upstream);
        }
    }
}
