package org.lovagethread.node.caller;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** The open calls of the node by identifier. */
public final class CallRegistry {
    private final Map<Long, OpenCall> calls = new ConcurrentHashMap<>();
    private final int maxCalls;
    private final AtomicLong nextId = new AtomicLong(1);

    /**
     * Creates an empty registry.
     *
     * @param maxCalls the maximum number of open calls
     */
    public CallRegistry(int maxCalls) {
        this.maxCalls = maxCalls;
    }

    /**
     * Adds a call unless the maximum number of open calls is reached.
     *
     * @param call the call
     * @return true if the call was added, false if the maximum is reached
     */
    public boolean add(OpenCall call) {
        if (calls.size() >= maxCalls) {
            return false;
        }
        calls.put(call.request().callId(), call);
        return true;
    }

    /**
     * Returns the number of calls whose callers still wait for a part of the response.
     *
     * @return the number of calls
     */
    public int awaitedCount() {
        return (int) calls.values().stream().filter(OpenCall::isAwaited).count();
    }

    /**
     * Finds a call.
     *
     * @param callId the identifier of the call
     * @return the call, or empty if it is not open
     */
    public Optional<OpenCall> find(long callId) {
        return Optional.ofNullable(calls.get(callId));
    }

    /**
     * Allocates an identifier for a call or a query.
     *
     * @return an identifier that is unique in this process
     */
    public long nextId() {
        return nextId.getAndIncrement();
    }

    /**
     * Returns the number of open calls.
     *
     * @return the number of calls
     */
    public int openCount() {
        return calls.size();
    }

    /**
     * Removes a call.
     *
     * @param callId the identifier of the call
     */
    public void remove(long callId) {
        calls.remove(callId);
    }
}
