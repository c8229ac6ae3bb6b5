package org.lovagethread.node.duty;

import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.MpscArrayQueue;
import org.lovagethread.core.Checks;

/**
 * Joins many producers to one consuming thread through a queue of fixed capacity.
 *
 * @param <T> the type of the entries
 */
public final class Ring<T> {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int SPINS = 50;

    private final MpscArrayQueue<T> queue;
    private volatile Thread parked;

    /**
     * Creates an empty ring.
     *
     * @param capacity the most entries that it holds
     */
    public Ring(int capacity) {
        Checks.inRange(capacity, 2, 1 << 24, "ring capacity");
        queue = new MpscArrayQueue<>(capacity);
    }

    /**
     * Returns the number of entries that wait.
     *
     * @return the number of entries
     */
    public int depth() {
        return queue.size();
    }

    /**
     * Adds an entry if there is room.
     *
     * @param entry the entry
     * @return false if the ring is full and the entry was not taken
     */
    public boolean offer(T entry) {
        boolean taken = queue.offer(entry);
        Thread waiter = parked;
        if (waiter != null) {
            LockSupport.unpark(waiter);
        }
        return taken;
    }

    /**
     * Adds an entry, waiting for room; for producers that must not lose entries.
     *
     * @param entry the entry
     */
    public void put(T entry) {
        while (!offer(entry)) {
            LockSupport.parkNanos(NANOS_PER_MILLI / 10);
        }
    }

    /**
     * Removes the oldest entry, waiting for one; called by the consuming thread alone.
     *
     * @param waitMillis the longest wait
     * @return the entry, or null if none came in time
     */
    public T take(long waitMillis) {
        for (int i = 0; i < SPINS; i++) {
            T entry = queue.poll();
            if (entry != null) {
                return entry;
            }
            Thread.onSpinWait();
        }
        parked = Thread.currentThread();
        try {
            T entry = queue.poll();
            if (entry == null) {
                LockSupport.parkNanos(waitMillis * NANOS_PER_MILLI);
                entry = queue.poll();
            }
            return entry;
        } finally {
            parked = null;
        }
    }
}
