package org.lovagethread.core.call;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/** Queue of the timers of calls, ordered by deadline. */
final class TimerQueue {
    private static final Comparator<Timer> ORDER =
            Comparator.comparingLong(Timer::deadlineMillis).thenComparingLong(Timer::sequence);

    private final PriorityQueue<Timer> timers = new PriorityQueue<>(ORDER);
    private long nextSequence;

    private record Timer(long deadlineMillis, long sequence, long callId) {}

    /** Removes the expired timers and returns the identifiers of their calls in deadline order. */
    List<Long> pollDue(long nowMillis) {
        List<Long> dueCallIds = new ArrayList<>();
        while (!timers.isEmpty() && timers.peek().deadlineMillis() <= nowMillis) {
            dueCallIds.add(timers.poll().callId());
        }
        return dueCallIds;
    }

    void schedule(long deadlineMillis, long callId) {
        timers.add(new Timer(deadlineMillis, nextSequence++, callId));
    }
}
