package org.lovagethread.core.trace;

import java.util.Objects;
import org.lovagethread.core.event.Event;

/**
 * Holds one event as it was given to the core.
 *
 * @param atMillis the time given with the event, in milliseconds since the epoch
 * @param event the event
 */
public record TraceEntry(long atMillis, Event event) {

    /** Validates the fields. */
    public TraceEntry {
        Objects.requireNonNull(event, "event");
    }
}
