package org.lovagethread.core.call;

import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/** Table of the calls and attempts of this node, their pending store operations and their timers. */
final class CallTable {
    private final TreeMap<Long, Call> calls = new TreeMap<>();
    private final TreeMap<Long, Attempt> attempts = new TreeMap<>();
    private final TreeMap<Long, Long> callIdsByOperation = new TreeMap<>();
    private final TreeMap<String, Long> callIdsByStreamKey = new TreeMap<>();
    private final TimerQueue timers = new TimerQueue();

    void add(Call call) {
        calls.put(call.id(), call);
        if (call.request.kind() == CallKind.GENERATE) {
            callIdsByStreamKey.put(call.streamKey(), call.id());
        }
    }

    void add(Attempt attempt) {
        attempts.put(attempt.id, attempt);
    }

    Optional<Attempt> attempt(long attemptId) {
        return Optional.ofNullable(attempts.get(attemptId));
    }

    List<Attempt> attemptsAt(String upstream) {
        return attempts.values().stream()
                .filter(attempt -> attempt.upstream.equals(upstream))
                .toList();
    }

    /**
     * Removes a completed store operation and returns the call that is waiting for it.
     *
     * @return the call, or empty if it has ended or is waiting for a later operation
     */
    Optional<Call> completeOperation(long operationId) {
        Long callId = callIdsByOperation.remove(operationId);
        Optional<Call> waiting =
                callId == null ? Optional.empty() : call(callId).filter(call -> call.pendingOperationId == operationId);
        waiting.ifPresent(call -> call.pendingOperationId = 0);
        return waiting;
    }

    Optional<Call> call(long callId) {
        return Optional.ofNullable(calls.get(callId));
    }

    List<Call> pollDue(long nowMillis) {
        return timers.pollDue(nowMillis).stream()
                .map(calls::get)
                .filter(call -> call != null)
                .toList();
    }

    Optional<Call> callByStreamKey(String streamKey) {
        Long callId = callIdsByStreamKey.get(streamKey);
        return callId == null ? Optional.empty() : call(callId);
    }

    void registerOperation(long operationId, Call call) {
        callIdsByOperation.put(operationId, call.id());
        call.pendingOperationId = operationId;
    }

    void remove(Attempt attempt) {
        attempts.remove(attempt.id);
        call(attempt.callId).ifPresent(call -> call.attempts.remove(attempt));
    }

    void remove(Call call) {
        calls.remove(call.id());
        callIdsByStreamKey.remove(call.streamKey(), call.id());
    }

    List<Call> all() {
        return List.copyOf(calls.values());
    }

    /** Returns the number of calls that have not ended. */
    int unfinishedCount() {
        return (int) calls.values().stream()
                .filter(call -> call.phase != CallPhase.ENDED)
                .count();
    }

    void scheduleTimer(long deadlineMillis, Call call) {
        timers.schedule(deadlineMillis, call.id());
    }
}
