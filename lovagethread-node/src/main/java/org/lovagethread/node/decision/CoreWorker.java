package org.lovagethread.node.decision;

import org.lovagethread.core.Core;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.event.Event;
import org.lovagethread.node.worker.MonotonicClock;
import org.lovagethread.node.worker.MpscQueue;
import org.lovagethread.node.worker.Worker;

/** Passes events and periodic ticks to the core and forwards the resulting commands. */
public final class CoreWorker implements Worker {
    /** The tick interval of the core in milliseconds. */
    public static final long TICK_MILLIS = 20;

    private final MonotonicClock clock;
    private final Core core;
    private final MpscQueue<Event> events;
    private final TraceRecorder recorder;
    private final CommandSink sink;
    private long nextTickMillis;

    /**
     * Creates the worker.
     *
     * @param core the core, which is not thread-safe and is used by this worker only
     * @param clock provides the current time
     * @param events the queue of events for the core
     * @param recorder records the events for a trace
     * @param sink receives the commands of the core
     */
    public CoreWorker(
            Core core, MonotonicClock clock, MpscQueue<Event> events, TraceRecorder recorder, CommandSink sink) {
        this.core = core;
        this.clock = clock;
        this.events = events;
        this.recorder = recorder;
        this.sink = sink;
    }

    @Override
    public String name() {
        return "decision";
    }

    @Override
    public void runIteration() {
        Event event = events.poll(TICK_MILLIS);
        long nowMillis = clock.millis();
        if (nowMillis >= nextTickMillis) {
            nextTickMillis = nowMillis + TICK_MILLIS;
            handle(nowMillis, new Event.Ticked());
        }
        if (event != null) {
            handle(nowMillis, event);
        }
    }

    private void handle(long nowMillis, Event event) {
        recorder.record(nowMillis, event);
        for (Command command : core.handle(nowMillis, event)) {
            sink.accept(command);
        }
    }
}
