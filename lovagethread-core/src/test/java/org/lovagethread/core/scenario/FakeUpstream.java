package org.lovagethread.core.scenario;

import java.util.ArrayList;
import java.util.List;
import org.lovagethread.core.upstream.UpstreamInfo;

/** Fake engine or plain server with faults that a scenario brings on. */
final class FakeUpstream {
    /** Faults of the next attempts. */
    enum Fault {
        /** The connection breaks before anything runs. */
        RESET_BEFORE,
        /** The call runs and the connection breaks. */
        RESET_AFTER,
        /** The call runs and no answer ever comes. */
        SILENT,
        /** The upstream states that it did nothing. */
        DECLINE,
        /** The answer carries the identity of another call. */
        CROSS,
        /** The stream ends without its end marker. */
        CUT
    }

    final UpstreamInfo info;
    final int millis;
    final List<String> ledger = new ArrayList<>();
    final List<Fault> faults = new ArrayList<>();
    final List<Long> startedAtMillis = new ArrayList<>();
    boolean alive = true;
    boolean refusesImport;
    boolean stalled;
    long recomputedTokens;

    FakeUpstream(UpstreamInfo info, int millis) {
        this.info = info;
        this.millis = millis;
    }

    /** Removes and returns the next fault, or null. */
    Fault nextFault() {
        return faults.isEmpty() ? null : faults.remove(0);
    }

    boolean model() {
        return info.service().equals(World.MODEL_SERVICE);
    }
}
