package org.lovagethread.node.worker;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

/**
 * Runs workers, each on its own thread, and continues a worker after a failed iteration.
 *
 * <p>A worker that fails more than {@link #MAX_FAILURES} times within {@link #FAILURE_WINDOW_MILLIS} is stopped, and
 * its name is passed to the escalation handler. Supervisors form a tree, and a child uses the escalation handler of its
 * parent.
 */
public final class Supervisor {
    /** The maximum number of failures of one worker within the failure window. */
    public static final int MAX_FAILURES = 20;

    /** The length of the failure window in milliseconds. */
    public static final long FAILURE_WINDOW_MILLIS = 10_000;

    private static final Logger LOG = System.getLogger(Supervisor.class.getName());
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Consumer<String> escalationHandler;
    private final String name;
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean stopped;

    /**
     * Creates a supervisor without workers.
     *
     * @param name the name to use in log messages
     * @param escalationHandler receives the name of a worker that was stopped after too many failures
     */
    public Supervisor(String name, Consumer<String> escalationHandler) {
        this.name = name;
        this.escalationHandler = escalationHandler;
    }

    /**
     * Creates a child supervisor that uses the escalation handler of this one.
     *
     * @param childName the name to append in log messages
     * @return the child
     */
    public Supervisor createChild(String childName) {
        return new Supervisor(name + "/" + childName, escalationHandler);
    }

    /**
     * Starts a worker on its own thread.
     *
     * @param worker the worker
     */
    public void start(Worker worker) {
        Thread thread = new Thread(() -> run(worker), worker.name());
        thread.setDaemon(true);
        threads.add(thread);
        thread.start();
    }

    /** Requests all workers to stop. */
    public void stop() {
        stopped = true;
        threads.forEach(Thread::interrupt);
    }

    private void run(Worker worker) {
        Deque<Long> failures = new ArrayDeque<>();
        while (!stopped) {
            try {
                worker.runIteration();
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException e) {
                LOG.log(Level.ERROR, "duty-failed " + name + "/" + worker.name(), e);
                if (recordAndCheckLimit(failures)) {
                    escalationHandler.accept(name + "/" + worker.name());
                    return;
                }
            }
        }
    }

    /** Records a failure and returns whether the limit within the failure window is exceeded. */
    private static boolean recordAndCheckLimit(Deque<Long> failures) {
        long nowMillis = System.nanoTime() / NANOS_PER_MILLI;
        failures.addLast(nowMillis);
        while (failures.peekFirst() < nowMillis - FAILURE_WINDOW_MILLIS) {
            failures.removeFirst();
        }
        return failures.size() > MAX_FAILURES;
    }
}
