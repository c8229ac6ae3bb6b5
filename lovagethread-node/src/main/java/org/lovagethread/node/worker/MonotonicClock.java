package org.lovagethread.node.worker;

/** A clock that provides the time in milliseconds since the epoch and is not affected by adjustments of the system
 * clock after its creation. */
public final class MonotonicClock {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final long startMillis = System.currentTimeMillis();
    private final long startNanos = System.nanoTime();

    /**
     * Returns the current time.
     *
     * @return milliseconds since the epoch
     */
    public long millis() {
        return startMillis + (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
    }
}
