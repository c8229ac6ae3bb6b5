package org.lovagethread.node.duty;

/** Does one job on a thread of its own, step by step. */
public interface Duty {
    /**
     * Returns the name of the duty, which is also the name of its thread.
     *
     * @return the name
     */
    String name();

    /**
     * Does one step, waiting for work for a short time at most.
     *
     * @throws InterruptedException if the thread is asked to end
     */
    void step() throws InterruptedException;
}
