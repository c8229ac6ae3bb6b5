package org.lovagethread.node.duty;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

/**
 * Runs duties, and starts a duty again when a step fails.
 *
 * <p>A duty that fails more than {@link #MOST_FAILURES} times within {@link #WINDOW_MILLIS} is given up, and the
 * failure is escalated to the parent. Supervisors form a tree: the escalation of a child is the parent's to handle.
 */
public final class Supervisor {
    /** The most failures of one duty within the window. */
    public static final int MOST_FAILURES = 20;

    /** The length of the window in milliseconds. */
    public static final long WINDOW_MILLIS = 10_000;

    private static final Logger LOG = System.getLogger(Supervisor.class.getName());
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Consumer<String> escalation;
    private final String name;
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean stopped;

    /**
     * Creates a supervisor without duties.
     *
     * @param name the name in logs
     * @param escalation takes the name of a duty that was given up
     */
    public Supervisor(String name, Consumer<String> escalation) {
        this.name = name;
        this.escalation = escalation;
    }

    /**
     * Creates a supervisor whose failures are handled by this one.
     *
     * @param childName the name in logs
     * @return the child
     */
    public Supervisor child(String childName) {
        return new Supervisor(name + "/" + childName, escalation);
    }

    /**
     * Starts a duty on a thread of its own.
     *
     * @param duty the duty
     */
    public void start(Duty duty) {
        Thread thread = new Thread(() -> run(duty), duty.name());
        thread.setDaemon(true);
        threads.add(thread);
        thread.start();
    }

    /** Asks all duties to end. */
    public void stop() {
        stopped = true;
        threads.forEach(Thread::interrupt);
    }

    private void run(Duty duty) {
        Deque<Long> failures = new ArrayDeque<>();
        while (!stopped) {
            try {
                duty.step();
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException e) {
                LOG.log(Level.ERROR, "duty-failed " + name + "/" + duty.name(), e);
                if (tooMany(failures)) {
                    escalation.accept(name + "/" + duty.name());
                    return;
                }
            }
        }
    }

    private static boolean tooMany(Deque<Long> failures) {
        long now = System.nanoTime() / NANOS_PER_MILLI;
        failures.addLast(now);
        while (failures.peekFirst() < now - WINDOW_MILLIS) {
            failures.removeFirst();
        }
        return failures.size() > MOST_FAILURES;
    }
}
