package org.lovagethread.core.call;

import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/** Table of the calls and attempts of this node, their pending store operations and their timers. */
final class CallTable {
    private final TreeMap<Long, Call> calls = new TreeMap<>();
    private final TreeMap<Long, Attempt> attempts = new TreeMap<>();
    private final TreeMap<Long, Long> operations = new TreeMap<>();
    private final TreeMap<String, Long> streams = new TreeMap<>();
    private final TimerQueue timers = new TimerQueue();

    void add(Call call) {
        calls.put(call.id(), call);
        if (call.request.kind() == CallKind.GENERATE) {
            streams.put(call.streamKey(), call.id());
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
    Optional<Call> endOperation(long operationId) {
        Long callId = operations.remove(operationId);
        Optional<Call> waiting =
                callId == null ? Optional.empty() : call(callId).filter(call -> call.operationId == operationId);
        waiting.ifPresent(call -> call.operationId = 0);
        return waiting;
    }

    Optional<Call> call(long callId) {
        return Optional.ofNullable(calls.get(callId));
    }

    List<Call> due(long nowMillis) {
        return timers.due(nowMillis).stream()
                .map(calls::get)
                .filter(call -> call != null)
                .toList();
    }

    Optional<Call> stream(String streamKey) {
        Long callId = streams.get(streamKey);
        return callId == null ? Optional.empty() : call(callId);
    }

    void operation(long operationId, Call call) {
        operations.put(operationId, call.id());
        call.operationId = operationId;
    }

    void remove(Attempt attempt) {
        attempts.remove(attempt.id);
        call(attempt.callId).ifPresent(call -> call.attempts.remove(attempt));
    }

    void remove(Call call) {
        calls.remove(call.id());
        streams.remove(call.streamKey(), call.id());
    }

    List<Call> all() {
        return List.copyOf(calls.values());
    }

    /** Returns the number of calls that have not ended. */
    int unfinished() {
        return (int) calls.values().stream()
                .filter(call -> call.phase != CallPhase.ENDED)
                .count();
    }

    void wakeAt(long deadlineMillis, Call call) {
        timers.schedule(deadlineMillis, call.id());
    }
}
