package org.lovagethread.gateway.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.lovagethread.wire.generated.CellState;
import org.lovagethread.wire.generated.WindowCount;

/** Keeps the last summary of each other cell. Used by one thread. */
public final class CellTable {
    /** Age from which a cell counts as not heard, in milliseconds. */
    public static final long SILENT_MILLIS = 2_000;

    private final Map<String, Heard> byZone = new TreeMap<>();
    private final String selfZone;

    /**
     * Creates a table.
     *
     * @param selfZone the availability zone of this gateway, whose summary is never taken in
     */
    public CellTable(String selfZone) {
        this.selfZone = selfZone;
    }

    /** A summary without its counts of usage, and the counts of the last summary that had any. */
    private record Heard(CellState state, List<WindowCount> counts, long heardMillis) {}

    /**
     * Takes a summary.
     *
     * @param state the summary
     * @param nowMillis the present time in milliseconds
     * @return true if it is newer than what was known
     */
    public boolean heard(CellState state, long nowMillis) {
        if (state.getZone().equals(selfZone)) {
            return false;
        }
        Heard known = byZone.get(state.getZone());
        boolean sameSpeaker = known != null && known.state().getSpeaker().equals(state.getSpeaker());
        if (sameSpeaker && state.getSequence() <= known.state().getSequence()) {
            return false;
        }
        List<WindowCount> counts = state.getWindowsList();
        if (counts.isEmpty() && known != null) {
            counts = known.counts();
        }
        byZone.put(state.getZone(), new Heard(state.toBuilder().clearWindows().build(), counts, nowMillis));
        return true;
    }

    /**
     * Returns the summaries that were lately heard.
     *
     * @param nowMillis the present time in milliseconds
     * @return summaries in the order of their zones, without counts of usage
     */
    public List<CellState> live(long nowMillis) {
        List<CellState> live = new ArrayList<>();
        for (Heard heard : byZone.values()) {
            if (nowMillis - heard.heardMillis() < SILENT_MILLIS) {
                live.add(heard.state());
            }
        }
        return live;
    }

    /**
     * Returns the summaries that were lately heard, with the last counts of usage of each zone.
     *
     * @param nowMillis the present time in milliseconds
     * @return summaries in the order of their zones
     */
    public List<CellState> liveWithCounts(long nowMillis) {
        List<CellState> live = new ArrayList<>();
        for (Heard heard : byZone.values()) {
            if (nowMillis - heard.heardMillis() < SILENT_MILLIS) {
                live.add(heard.state().toBuilder().addAllWindows(heard.counts()).build());
            }
        }
        return live;
    }

    /**
     * Returns the summary of a zone if it was lately heard.
     *
     * @param zone the availability zone
     * @param nowMillis the present time in milliseconds
     * @return the summary, or empty
     */
    public Optional<CellState> find(String zone, long nowMillis) {
        return Optional.ofNullable(byZone.get(zone))
                .filter(heard -> nowMillis - heard.heardMillis() < SILENT_MILLIS)
                .map(Heard::state);
    }

    /**
     * Returns the number of gateways in cells that are not heard any more.
     *
     * @param nowMillis the present time in milliseconds
     * @return the number of gateways
     */
    public int silent(long nowMillis) {
        return byZone.values().stream()
                .filter(heard -> nowMillis - heard.heardMillis() >= SILENT_MILLIS)
                .mapToInt(heard -> heard.state().getMembers())
                .sum();
    }
}
