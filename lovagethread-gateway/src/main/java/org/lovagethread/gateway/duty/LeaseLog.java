package org.lovagethread.gateway.duty;

import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.log.LogLine;

/** Logs when a gateway acquires or loses the duty lease, and why. */
public final class LeaseLog {
    private final DutyLease lease;
    private final EventLog log;
    private boolean held;

    /**
     * Creates a log for a lease that is not held.
     *
     * @param lease the lease
     * @param log receives the lines
     */
    public LeaseLog(DutyLease lease, EventLog log) {
        this.lease = lease;
        this.log = log;
    }

    /**
     * Logs a line if the lease was acquired or lost since the last call.
     *
     * @param storeEra the era of the store
     * @param storeReachable whether the store can be reached
     */
    public void tick(long storeEra, boolean storeReachable) {
        if (lease.isHeld() == held) {
            return;
        }
        held = lease.isHeld();
        LogLine line = log.line(held ? "lease-taken" : "lease-lost")
                .put("fence", lease.lastFencingToken())
                .put("store_era", storeEra)
                .put("store_reachable", storeReachable)
                .put("reason", held ? lease.takeover().reason() : lease.lossReason());
        log.add(held ? addTakeover(line) : line);
    }

    private LogLine addTakeover(LogLine line) {
        return line.put("previous_term", lease.takeover().previousTerm())
                .put("previous_version", lease.takeover().previousVersion());
    }
}
