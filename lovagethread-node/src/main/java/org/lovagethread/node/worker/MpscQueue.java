package org.lovagethread.node.worker;

import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.MpscArrayQueue;
import org.lovagethread.core.Checks;

/**
 * A bounded queue with many producers and a single consumer, which can wait for entries.
 *
 * @param <T> the type of the entries
 */
public final class MpscQueue<T> {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int SPIN_ATTEMPTS = 50;

    private final MpscArrayQueue<T> queue;
    private volatile Thread parkedConsumer;

    /**
     * Creates an empty queue.
     *
     * @param capacity the maximum number of entries
     */
    public MpscQueue(int capacity) {
        Checks.inRange(capacity, 2, 1 << 24, "queue capacity");
        queue = new MpscArrayQueue<>(capacity);
    }

    /**
     * Returns the number of entries in the queue.
     *
     * @return the number of entries
     */
    public int depth() {
        return queue.size();
    }

    /**
     * Adds an entry unless the queue is full.
     *
     * @param entry the entry
     * @return true if the entry was added, false if the queue is full
     */
    public boolean offer(T entry) {
        boolean added = queue.offer(entry);
        Thread consumer = parkedConsumer;
        if (consumer != null) {
            LockSupport.unpark(consumer);
        }
        return added;
    }

    /**
     * Adds an entry and blocks while the queue is full. Intended for producers that must not lose entries.
     *
     * @param entry the entry
     */
    public void put(T entry) {
        while (!offer(entry)) {
            LockSupport.parkNanos(NANOS_PER_MILLI / 10);
        }
    }

    /**
     * Removes the oldest entry and waits for one if the queue is empty. Only the consumer thread may call this method.
     *
     * @param timeoutMillis the maximum time to wait, in milliseconds
     * @return the entry, or null if none arrived in time
     */
    public T poll(long timeoutMillis) {
        for (int i = 0; i < SPIN_ATTEMPTS; i++) {
            T entry = queue.poll();
            if (entry != null) {
                return entry;
            }
            Thread.onSpinWait();
        }
        parkedConsumer = Thread.currentThread();
        try {
            T entry = queue.poll();
            if (entry == null) {
                LockSupport.parkNanos(timeoutMillis * NANOS_PER_MILLI);
                entry = queue.poll();
            }
            return entry;
        } finally {
            parkedConsumer = null;
        }
    }
}
