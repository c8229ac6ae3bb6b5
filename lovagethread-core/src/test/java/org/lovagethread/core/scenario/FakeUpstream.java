package org.lovagethread.core.scenario;

import java.util.ArrayList;
import java.util.List;
import org.lovagethread.core.upstream.UpstreamInfo;

/** Fake engine or plain server with fault injection. */
final class FakeUpstream {
    /** Fault injected into an attempt. */
    enum Fault {
        /** The connection breaks before the call is executed. */
        RESET_BEFORE,
        /** The call is executed, then the connection breaks. */
        RESET_AFTER,
        /** The call is executed, but no response is sent. */
        SILENT,
        /** The upstream reports that it did not execute the call. */
        DECLINE,
        /** The response contains the identifiers of another call. */
        CROSS,
        /** The stream is truncated before its end marker. */
        CUT
    }

    /** Order that the engine executed. */
    record ExecutedOrder(long fencingToken, String version, long atMillis) {}

    UpstreamInfo info;
    final int latencyMillis;
    final List<String> executedKeys = new ArrayList<>();
    final List<Fault> pendingFaults = new ArrayList<>();
    final List<Long> startedAtMillis = new ArrayList<>();
    boolean alive = true;
    boolean rejectsCacheImport;
    boolean stalled;
    boolean checksFencing = true;
    long highestFencingToken;
    final List<ExecutedOrder> executedOrders = new ArrayList<>();
    long recomputedTokens;

    FakeUpstream(UpstreamInfo info, int latencyMillis) {
        this.info = info;
        this.latencyMillis = latencyMillis;
    }

    /** Removes and returns the next fault, or returns null if there is none. */
    Fault nextFault() {
        return pendingFaults.isEmpty() ? null : pendingFaults.remove(0);
    }

    /** Executes an order, unless the engine checks fencing tokens and the token is outdated. */
    boolean executeOrder(long fencingToken, String version, long nowMillis) {
        if (checksFencing && fencingToken < highestFencingToken) {
            return false;
        }
        highestFencingToken = Math.max(highestFencingToken, fencingToken);
        executedOrders.add(new ExecutedOrder(fencingToken, version, nowMillis));
        info = new UpstreamInfo(
                info.id(), info.service(), info.address(), info.zone(), info.region(), version, info.leaving());
        return true;
    }

    /** Returns whether the engine executed an order with a lower fencing token after one with a higher token. */
    boolean executedStaleOrder() {
        long highestToken = 0;
        for (ExecutedOrder order : executedOrders) {
            if (order.fencingToken() < highestToken) {
                return true;
            }
            highestToken = order.fencingToken();
        }
        return false;
    }

    boolean isModelEngine() {
        return info.service().equals(Simulation.MODEL_SERVICE);
    }
}
