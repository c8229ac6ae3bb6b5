package org.lovagethread.node.caller;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.lovagethread.core.command.Command;
import ratpack.exec.Downstream;

/** The queries to which the core has not replied yet. */
final class QueryRegistry {
    private final Map<Long, Downstream<? super Command>> pending = new ConcurrentHashMap<>();

    void add(long callId, Downstream<? super Command> downstream) {
        pending.put(callId, downstream);
    }

    void complete(long callId, Command answer) {
        Downstream<? super Command> downstream = pending.remove(callId);
        if (downstream != null) {
            downstream.success(answer);
        }
    }

    void remove(long callId) {
        pending.remove(callId);
    }
}
