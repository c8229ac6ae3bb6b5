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
    static final long DEFAULT_TOKEN_INTERVAL_MILLIS = 50;

    /** Minimum time before the reclaim deadline for starting a cache export, in milliseconds. */
    static final long MIN_EXPORT_MILLIS = 1_000;

    private final Dispatcher dispatcher;
    private final ReclaimPolicy policy;
    private final CallTable table;

    ReclaimPlanner(ReclaimPolicy policy, Dispatcher dispatcher, CallTable table) {
        this.policy = policy;
        this.dispatcher = dispatcher;
        this.table = table;
    }

    /**
     * Handles a notice that an upstream is leaving. Plans the attempts with the most cached tokens first, because a
     * delay costs them the most.
     */
    void onUpstreamLeaving(String upstream, long deadlineMillis, long nowMillis) {
        List<Attempt> affected = table.attemptsAt(upstream).stream()
                .sorted(Comparator.comparingLong((Attempt attempt) -> -cachedTokens(attempt))
                        .thenComparingLong(attempt -> attempt.id))
                .toList();
        for (Attempt attempt : affected) {
            table.call(attempt.callId).ifPresent(call -> planAttempt(call, attempt, deadlineMillis, nowMillis));
        }
    }

    /** Estimates when an attempt will have delivered its complete response. */
    static long estimatedEndMillis(Call call, Attempt attempt, long nowMillis) {
        int deliveredChunks = attempt.lastChunk - attempt.fromChunk;
        long tokenIntervalMillis = DEFAULT_TOKEN_INTERVAL_MILLIS;
        if (attempt.hasDelivered() && deliveredChunks > 1) {
            tokenIntervalMillis = Math.max(1, (nowMillis - attempt.firstProgressMillis) / (deliveredChunks - 1));
        }
        long remainingTokens = Math.max(0, call.request.maxTokens() - call.lastChunk);
        return nowMillis + remainingTokens * tokenIntervalMillis;
    }

    private long cachedTokens(Attempt attempt) {
        return table.call(attempt.callId)
                .map(call -> (long) call.request.promptTokens() + call.lastChunk)
                .orElse(0L);
    }

    private void planAttempt(Call call, Attempt attempt, long deadlineMillis, long nowMillis) {
        boolean movable = call.request.kind() == CallKind.GENERATE && call.attempts.size() == 1;
        boolean endsInTime = estimatedEndMillis(call, attempt, nowMillis) + SAFETY_MARGIN_MILLIS <= deadlineMillis;
        boolean exportable = attempt.hasDelivered() && nowMillis + MIN_EXPORT_MILLIS <= deadlineMillis;
        ReclaimPolicy.Action action =
                movable ? policy.selectAction(endsInTime, exportable) : ReclaimPolicy.Action.FINISH_IN_PLACE;
        if (action == ReclaimPolicy.Action.FINISH_IN_PLACE) {
            dispatcher.recordDecision(call, DecisionKind.FINISHING_IN_PLACE, attempt.upstream);
            return;
        }
        boolean export = action == ReclaimPolicy.Action.EXPORT;
        Optional<String> cacheSource = export ? Optional.of(attempt.address) : Optional.empty();
        Optional<Attempt> moved = dispatcher.startAttempt(call, cacheSource, nowMillis);
        if (moved.isPresent()) {
            call.attemptCount--;
            dispatcher.recordDecision(call, DecisionKind.MOVED, attempt.upstream + " to " + moved.get().upstream);
        }
    }
}
