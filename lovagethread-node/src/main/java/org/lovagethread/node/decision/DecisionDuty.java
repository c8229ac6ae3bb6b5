package org.lovagethread.node.decision;

import org.lovagethread.core.Core;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.event.Event;
import org.lovagethread.node.duty.Duty;
import org.lovagethread.node.duty.NodeClock;
import org.lovagethread.node.duty.Ring;

/** Feeds events and the passing of time to the decision core. */
public final class DecisionDuty implements Duty {
    /** Time between two ticks of the core, in milliseconds. */
    public static final long TICK_MILLIS = 20;

    private final NodeClock clock;
    private final Core core;
    private final Ring<Event> events;
    private final TraceRecorder recorder;
    private final CommandSink sink;
    private long nextTickMillis;

    /**
     * Creates the duty.
     *
     * @param core the core, which no other thread may use
     * @param clock tells the time
     * @param events brings the events
     * @param recorder keeps the latest events
     * @param sink takes the commands
     */
    public DecisionDuty(Core core, NodeClock clock, Ring<Event> events, TraceRecorder recorder, CommandSink sink) {
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
    public void step() {
        Event event = events.take(TICK_MILLIS);
        long now = clock.millis();
        if (now >= nextTickMillis) {
            nextTickMillis = now + TICK_MILLIS;
            handle(now, new Event.Ticked());
        }
        if (event != null) {
            handle(now, event);
        }
    }

    private void handle(long now, Event event) {
        recorder.record(now, event);
        for (Command command : core.handle(now, event)) {
            sink.accept(command);
        }
    }
}
