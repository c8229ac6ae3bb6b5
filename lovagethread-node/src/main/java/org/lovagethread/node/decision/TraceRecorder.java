package org.lovagethread.node.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.lovagethread.core.event.Event;
import org.lovagethread.core.trace.TraceEntry;

/**
 * Records every event of the core and discards the complete recording when the maximum number of events is exceeded.
 *
 * <p>A trace can be replayed only from the start of the process, so a recording that lacks its beginning is useless.
 */
public final class TraceRecorder {
    private final int maxEntries;
    private final Deque<TraceEntry> entries = new ArrayDeque<>();
    private boolean recording = true;

    /**
     * Creates an empty recorder.
     *
     * @param maxEntries the maximum number of events; zero disables the recorder
     */
    public TraceRecorder(int maxEntries) {
        this.maxEntries = maxEntries;
        this.recording = maxEntries > 0;
    }

    /**
     * Returns the recorded events.
     *
     * @return all events since the start, or an empty list if the maximum was exceeded
     */
    public synchronized List<TraceEntry> entries() {
        return new ArrayList<>(entries);
    }

    synchronized void record(long atMillis, Event event) {
        if (!recording) {
            return;
        }
        if (entries.size() >= maxEntries) {
            recording = false;
            entries.clear();
            return;
        }
        entries.addLast(new TraceEntry(atMillis, event));
    }
}
