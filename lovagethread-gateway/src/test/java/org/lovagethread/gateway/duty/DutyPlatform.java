package org.lovagethread.gateway.duty;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/** Receiver of duty calls, which checks their fencing tokens in the order of arrival. */
final class DutyPlatform {
    /** Time within which two instances may not act in turn, in milliseconds. */
    private static final long LEASE_MILLIS = 3_000;

    private final VirtualTime time;
    private final Map<Long, LeaseProcess> holders = new HashMap<>();
    private final Map<LeaseNode, Long> lastCalls = new HashMap<>();
    private final Map<Violation, String> violations = new EnumMap<>(Violation.class);
    private long highestToken = -1;
    private int calls;

    /** What must not happen. */
    enum Violation {
        /** Two processes act with one token. */
        SHARED_TOKEN,
        /** A process acts after it, or another one, has acted with a higher token. */
        LOWER_TOKEN,
        /** A call that was under way when its sender released the lease arrives after one of the successor. */
        RELEASED_EARLY,
        /** An instance acts, then another one, then the first one again with a higher token, all within a short time. */
        ALTERNATING_HOLDERS,
        /** A holder takes its era to have begun earlier than it did. */
        ERA_START_TOO_EARLY,
        /** Some time after the last fault, not exactly one process holds the lease, or no duty calls arrive. */
        NOT_RECOVERED
    }

    /**
     * A duty call.
     *
     * @param token the fencing token
     * @param sender the process that sent it
     * @param sentMillis the time at which it was sent
     */
    record Call(long token, LeaseProcess sender, long sentMillis) {}

    DutyPlatform(VirtualTime time) {
        this.time = time;
    }

    /** Receives a call. */
    void receive(Call call) {
        calls++;
        LeaseProcess holder = holders.computeIfAbsent(call.token(), token -> call.sender());
        if (!holder.equals(call.sender())) {
            report(Violation.SHARED_TOKEN, call + " was used by " + holder);
        }
        if (call.token() < highestToken) {
            receiveLowerToken(call, holders.get(highestToken));
        } else {
            checkAlternation(call);
            highestToken = call.token();
        }
        lastCalls.put(call.sender().node(), time.nowMillis());
    }

    private void receiveLowerToken(Call call, LeaseProcess highestHolder) {
        if (call.sender().isExcused()) {
            return;
        }
        boolean isReleased =
                call.sentMillis() <= call.sender().releasedMillis() && !highestHolder.equals(call.sender());
        report(
                isReleased ? Violation.RELEASED_EARLY : Violation.LOWER_TOKEN,
                call + " after " + highestToken + " of " + highestHolder);
    }

    private void checkAlternation(Call call) {
        LeaseProcess previous = holders.getOrDefault(highestToken, call.sender());
        long lastMillis = lastCalls.getOrDefault(call.sender().node(), -LEASE_MILLIS);
        boolean hasAlternated = !previous.node().equals(call.sender().node());
        if (hasAlternated
                && time.nowMillis() - lastMillis < LEASE_MILLIS
                && !call.sender().isExcused()) {
            report(Violation.ALTERNATING_HOLDERS, call + " after " + highestToken + " of " + previous);
        }
    }

    /** Records the first violation of a kind. */
    void report(Violation violation, String description) {
        violations.putIfAbsent(violation, time.nowMillis() + " ms: " + description);
    }

    /** Returns the first violation of each kind. */
    Map<Violation, String> violations() {
        return violations;
    }

    /** Returns the number of tokens in use. */
    int tokenCount() {
        return holders.size();
    }

    /** Returns the number of calls. */
    int calls() {
        return calls;
    }

    /** Returns the time of the last call. */
    long lastCallMillis() {
        return lastCalls.values().stream().mapToLong(Long::longValue).max().orElse(0);
    }
}
