package org.lovagethread.gateway.duty;

import java.util.PriorityQueue;

/** Virtual time in milliseconds, which passes from one event to the next. */
final class VirtualTime {
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nowMillis;
    private long eventCount;

    /** Action at a time. Actions of one time run in the order in which they were added. */
    private record Event(long atMillis, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return atMillis == other.atMillis
                    ? Long.compare(number, other.number)
                    : Long.compare(atMillis, other.atMillis);
        }
    }

    /** Returns the current time. */
    long nowMillis() {
        return nowMillis;
    }

    /** Runs an action after a delay. */
    void after(long delayMillis, Runnable action) {
        events.add(new Event(nowMillis + delayMillis, eventCount++, action));
    }

    /** Runs all actions up to a time. */
    void runUntil(long endMillis) {
        while (!events.isEmpty() && events.peek().atMillis() <= endMillis) {
            Event event = events.remove();
            nowMillis = event.atMillis();
            event.action().run();
        }
        nowMillis = endMillis;
    }
}
