package org.lovagethread.gateway.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.lovagethread.wire.generated.CellState;
import org.lovagethread.wire.generated.WindowCount;

/** Stores the latest summary received from each other cell. Not thread-safe. */
public final class CellTable {
    /** Age of its latest summary from which a cell counts as unreachable, in milliseconds. */
    public static final long CELL_TIMEOUT_MILLIS = 2_000;

    private final Map<String, ReceivedSummary> summaryByZone = new TreeMap<>();
    private final String selfZone;

    /**
     * Creates a table.
     *
     * @param selfZone the availability zone of this gateway, whose summaries are ignored
     */
    public CellTable(String selfZone) {
        this.selfZone = selfZone;
    }

    /** A summary without its usage counts, and the usage counts of the latest summary that contained any. */
    private record ReceivedSummary(CellState state, List<WindowCount> counts, long receivedMillis) {}

    /**
     * Updates the table with a received summary.
     *
     * @param state the summary
     * @param nowMillis the current time in milliseconds
     * @return true if the summary was stored: it is newer than the stored one or has another speaker
     */
    public boolean update(CellState state, long nowMillis) {
        if (state.getZone().equals(selfZone)) {
            return false;
        }
        ReceivedSummary stored = summaryByZone.get(state.getZone());
        boolean sameSpeaker = stored != null && stored.state().getSpeaker().equals(state.getSpeaker());
        if (sameSpeaker && state.getSequence() <= stored.state().getSequence()) {
            return false;
        }
        List<WindowCount> counts = state.getWindowsList();
        if (counts.isEmpty() && stored != null) {
            counts = stored.counts();
        }
        summaryByZone.put(
                state.getZone(),
                new ReceivedSummary(state.toBuilder().clearWindows().build(), counts, nowMillis));
        return true;
    }

    /**
     * Returns the summaries of all live cells.
     *
     * @param nowMillis the current time in milliseconds
     * @return the summaries without usage counts, in the order of their zones
     */
    public List<CellState> liveSummaries(long nowMillis) {
        List<CellState> live = new ArrayList<>();
        for (ReceivedSummary summary : summaryByZone.values()) {
            if (nowMillis - summary.receivedMillis() < CELL_TIMEOUT_MILLIS) {
                live.add(summary.state());
            }
        }
        return live;
    }

    /**
     * Returns the summaries of all live cells with the latest usage counts of each.
     *
     * @param nowMillis the current time in milliseconds
     * @return the summaries in the order of their zones
     */
    public List<CellState> liveSummariesWithUsage(long nowMillis) {
        List<CellState> live = new ArrayList<>();
        for (ReceivedSummary summary : summaryByZone.values()) {
            if (nowMillis - summary.receivedMillis() < CELL_TIMEOUT_MILLIS) {
                live.add(summary.state().toBuilder()
                        .addAllWindows(summary.counts())
                        .build());
            }
        }
        return live;
    }

    /**
     * Returns the summary of a zone if its cell is live.
     *
     * @param zone the availability zone
     * @param nowMillis the current time in milliseconds
     * @return the summary without usage counts, or empty if the cell is unknown or unreachable
     */
    public Optional<CellState> find(String zone, long nowMillis) {
        return Optional.ofNullable(summaryByZone.get(zone))
                .filter(summary -> nowMillis - summary.receivedMillis() < CELL_TIMEOUT_MILLIS)
                .map(ReceivedSummary::state);
    }

    /**
     * Returns the number of gateways in unreachable cells.
     *
     * @param nowMillis the current time in milliseconds
     * @return the number of gateways
     */
    public int unreachableCount(long nowMillis) {
        return summaryByZone.values().stream()
                .filter(summary -> nowMillis - summary.receivedMillis() >= CELL_TIMEOUT_MILLIS)
                .mapToInt(summary -> summary.state().getMembers())
                .sum();
    }
}
