package org.lovagethread.node.worker;

/** A component of the node that runs in a loop on its own thread. */
public interface Worker {
    /**
     * Returns the name of the worker, which is also the name of its thread.
     *
     * @return the name
     */
    String name();

    /**
     * Runs one iteration of the loop. An iteration that waits for work does so for a bounded time.
     *
     * @throws InterruptedException if the thread is interrupted to stop the worker
     */
    void runIteration() throws InterruptedException;
}
