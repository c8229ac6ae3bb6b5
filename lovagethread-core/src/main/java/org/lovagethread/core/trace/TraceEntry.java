package org.lovagethread.core.trace;

import java.util.Objects;
import org.lovagethread.core.event.Event;

/**
 * Recorded event with the time at which the core handled it.
 *
 * @param atMillis the time passed to the core with the event, in milliseconds since the epoch
 * @param event the event
 */
public record TraceEntry(long atMillis, Event event) {

    /** Validates the fields. */
    public TraceEntry {
        Objects.requireNonNull(event, "event");
    }
}
