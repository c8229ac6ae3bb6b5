package org.lovagethread.node.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.lovagethread.core.event.Event;
import org.lovagethread.core.trace.TraceEntry;

/**
 * Keeps every event of the core until a bound is reached, then drops the whole recording.
 *
 * <p>A trace can be replayed only from the start of the process, so a recording without its start is of no use.
 */
public final class TraceRecorder {
    private final int mostEntries;
    private final Deque<TraceEntry> entries = new ArrayDeque<>();
    private boolean complete = true;

    /**
     * Creates an empty recorder.
     *
     * @param mostEntries the most events to keep; zero turns the recorder off
     */
    public TraceRecorder(int mostEntries) {
        this.mostEntries = mostEntries;
        this.complete = mostEntries > 0;
    }

    /**
     * Returns the recording.
     *
     * @return all events since the start, or an empty list if the bound was reached
     */
    public synchronized List<TraceEntry> entries() {
        return new ArrayList<>(entries);
    }

    synchronized void record(long atMillis, Event event) {
        if (!complete) {
            return;
        }
        if (entries.size() >= mostEntries) {
            complete = false;
            entries.clear();
            return;
        }
        entries.addLast(new TraceEntry(atMillis, event));
    }
}
