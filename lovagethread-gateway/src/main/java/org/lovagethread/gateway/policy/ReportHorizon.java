package org.lovagethread.gateway.policy;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how long a grant of one gateway can be unknown to another, from the intervals between the reports of peers.
 *
 * <p>In a full mesh this is the longest interval between two reports of a peer. Between cells a report is sent three
 * times: to the speaker, to the speaker of the other cell, and to its members.
 */
final class ReportHorizon {
    /** Allowance for the latency of a report, in milliseconds. */
    private static final double LATENCY_MILLIS = 50;

    /** Interval assumed until one has been measured, in milliseconds. */
    private static final double INITIAL_INTERVAL_MILLIS = 250;

    /** Age of its last report from which a peer is disregarded; its share is then reserved, in milliseconds. */
    private static final long SILENCE_MILLIS = 1_000;

    /** Weight of the latest interval when it is shorter than the estimate. */
    private static final double DECREASE_WEIGHT = 0.1;

    private final Map<String, Reports> reportsByPeer = new HashMap<>();
    private double millis = INITIAL_INTERVAL_MILLIS;
    private long calculatedMillis = Long.MIN_VALUE;

    /** Intervals between the reports of one peer. */
    private static final class Reports {
        private final boolean cell;
        private long receivedMillis;
        private double intervalMillis;

        private Reports(boolean cell, long nowMillis) {
            this.cell = cell;
            this.receivedMillis = nowMillis;
        }

        private void record(long nowMillis) {
            double interval = (double) (nowMillis - receivedMillis);
            if (interval <= 0 || interval > SILENCE_MILLIS) {
                receivedMillis = nowMillis;
                return;
            }
            intervalMillis = Math.max(interval, intervalMillis + DECREASE_WEIGHT * (interval - intervalMillis));
            receivedMillis = nowMillis;
        }
    }

    /**
     * Records the receipt of a report.
     *
     * @param peer the name of the peer
     * @param cell whether the report is the summary of a cell
     * @param nowMillis the current time in milliseconds
     */
    void record(String peer, boolean cell, long nowMillis) {
        reportsByPeer
                .computeIfAbsent(peer, name -> new Reports(cell, nowMillis))
                .record(nowMillis);
    }

    /**
     * Discards peers that have stopped reporting.
     *
     * @param nowMillis the current time in milliseconds
     */
    void expire(long nowMillis) {
        reportsByPeer.values().removeIf(reports -> nowMillis - reports.receivedMillis > SILENCE_MILLIS);
    }

    /**
     * Returns the time after which a grant is known to all peers.
     *
     * @param nowMillis the current time in milliseconds
     * @return the time in milliseconds
     */
    double millis(long nowMillis) {
        if (nowMillis != calculatedMillis) {
            calculatedMillis = nowMillis;
            millis = calculate(nowMillis);
        }
        return millis;
    }

    private double calculate(long nowMillis) {
        double memberMillis = 0;
        double cellMillis = 0;
        for (Reports reports : reportsByPeer.values()) {
            double age = (double) (nowMillis - reports.receivedMillis);
            if (age <= SILENCE_MILLIS) {
                double interval = Math.max(reports.intervalMillis, age);
                memberMillis = reports.cell ? memberMillis : Math.max(memberMillis, interval);
                cellMillis = reports.cell ? Math.max(cellMillis, interval) : cellMillis;
            }
        }
        double longest = memberMillis + 2 * cellMillis;
        return Math.min(
                GrantHistory.PERIOD_MILLIS, LATENCY_MILLIS + (longest == 0 ? INITIAL_INTERVAL_MILLIS : longest));
    }
}
