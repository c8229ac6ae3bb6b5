package org.lovagethread.node.duty;

/** Tells the time in milliseconds since the epoch, without the jumps of the system clock after the start. */
public final class NodeClock {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final long startMillis = System.currentTimeMillis();
    private final long startNanos = System.nanoTime();

    /**
     * Returns the present time.
     *
     * @return milliseconds since the epoch
     */
    public long millis() {
        return startMillis + (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
    }
}
