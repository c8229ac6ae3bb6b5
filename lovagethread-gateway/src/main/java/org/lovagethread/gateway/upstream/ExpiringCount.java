package org.lovagethread.gateway.upstream;

import java.util.ArrayDeque;
import java.util.Deque;

/** Counts the events within a time. Not thread-safe. */
final class ExpiringCount {
    private final long durationMillis;
    private final Deque<Long> expiries = new ArrayDeque<>();

    /**
     * Creates a count of zero.
     *
     * @param durationMillis the time after which an event is no longer counted, in milliseconds
     */
    ExpiringCount(long durationMillis) {
        this.durationMillis = durationMillis;
    }

    void add(long nowMillis) {
        expiries.add(nowMillis + durationMillis);
    }

    int count(long nowMillis) {
        while (!expiries.isEmpty() && expiries.peek() <= nowMillis) {
            expiries.poll();
        }
        return expiries.size();
    }
}
