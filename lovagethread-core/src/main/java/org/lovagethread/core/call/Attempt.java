package org.lovagethread.core.call;

/** State of an attempt that is in flight. */
final class Attempt {
    final long id;
    final long callId;
    final String upstream;
    final String address;
    final int fromChunk;
    final long startedMillis;
    int lastChunk;
    long firstProgressMillis;
    long progressDeadlineMillis;

    Attempt(long id, long callId, String upstream, String address, int fromChunk, long startedMillis) {
        this.id = id;
        this.callId = callId;
        this.upstream = upstream;
        this.address = address;
        this.fromChunk = fromChunk;
        this.startedMillis = startedMillis;
        this.lastChunk = fromChunk;
    }

    /** Returns whether this attempt has appended at least one chunk to the caller's stream. */
    boolean hasDelivered() {
        return firstProgressMillis > 0;
    }
}
