package org.lovagethread.node.caller;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** Finds open calls by their numbers. */
public final class CallRegistry {
    private final Map<Long, OpenCall> calls = new ConcurrentHashMap<>();
    private final int mostCalls;
    private final AtomicLong nextId = new AtomicLong(1);

    /**
     * Creates an empty registry.
     *
     * @param mostCalls the most calls that may be open
     */
    public CallRegistry(int mostCalls) {
        this.mostCalls = mostCalls;
    }

    /**
     * Adds a call if there is room.
     *
     * @param call the call
     * @return false if the most calls are open already
     */
    public boolean add(OpenCall call) {
        if (calls.size() >= mostCalls) {
            return false;
        }
        calls.put(call.request().callId(), call);
        return true;
    }

    /**
     * Returns the number of calls whose callers still wait for a part of the answer.
     *
     * @return the number of calls
     */
    public int awaited() {
        return (int) calls.values().stream().filter(OpenCall::awaited).count();
    }

    /**
     * Finds a call.
     *
     * @param callId the number of the call
     * @return the call, or empty if it is not open
     */
    public Optional<OpenCall> find(long callId) {
        return Optional.ofNullable(calls.get(callId));
    }

    /**
     * Draws a number for a call or a query.
     *
     * @return a number unique in this process
     */
    public long nextId() {
        return nextId.getAndIncrement();
    }

    /**
     * Returns the number of open calls.
     *
     * @return the number of calls
     */
    public int open() {
        return calls.size();
    }

    /**
     * Removes a call.
     *
     * @param callId the number of the call
     */
    public void remove(long callId) {
        calls.remove(callId);
    }
}
