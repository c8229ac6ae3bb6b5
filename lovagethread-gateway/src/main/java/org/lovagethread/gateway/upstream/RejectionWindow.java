package org.lovagethread.gateway.upstream;

import java.util.ArrayDeque;
import java.util.Deque;

/** Counts the rejections of the last second. Not thread-safe. */
final class RejectionWindow {
    /** Length of the window in milliseconds. */
    static final long WINDOW_MILLIS = 1_000;

    private final Deque<Long> expiries = new ArrayDeque<>();

    void add(long nowMillis) {
        expiries.add(nowMillis + WINDOW_MILLIS);
    }

    int count(long nowMillis) {
        while (!expiries.isEmpty() && expiries.peek() <= nowMillis) {
            expiries.poll();
        }
        return expiries.size();
    }
}
