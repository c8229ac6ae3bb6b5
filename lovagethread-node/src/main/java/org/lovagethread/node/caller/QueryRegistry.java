package org.lovagethread.node.caller;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.lovagethread.core.command.Command;
import ratpack.exec.Downstream;

/** Holds the queries whose answers the decision core has not given yet. */
final class QueryRegistry {
    private final Map<Long, Downstream<? super Command>> waiting = new ConcurrentHashMap<>();

    void add(long callId, Downstream<? super Command> downstream) {
        waiting.put(callId, downstream);
    }

    void answer(long callId, Command answer) {
        Downstream<? super Command> downstream = waiting.remove(callId);
        if (downstream != null) {
            downstream.success(answer);
        }
    }

    void remove(long callId) {
        waiting.remove(callId);
    }
}
