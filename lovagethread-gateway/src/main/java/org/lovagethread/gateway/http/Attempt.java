package org.lovagethread.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.lovagethread.gateway.config.Route;
import org.lovagethread.gateway.policy.InactivityTimeout;
import org.lovagethread.gateway.policy.Placement;
import org.lovagethread.gateway.rollout.RolloutSample;
import org.lovagethread.gateway.upstream.StallDetector;
import org.lovagethread.gateway.upstream.Upstream;

/** An attempt to have the request served by one upstream, and the part of its response received so far. */
final class Attempt implements ResponseMemory.Holder {
    /** Maximum size of a buffered response, in bytes. Event streams are buffered by event. */
    private static final int MAX_BUFFERED_BYTES = 1 << 20;

    final Upstream upstream;
    final String version;
    final Placement.Choice choice;
    final long sentMillis;
    final long memoryTokens;
    final boolean resumesStream;
    final EventSplitter eventSplitter = new EventSplitter();
    private final ResponseMemory memory;
    private final Consumer<Attempt> evictionHandler;
    private final StallDetector.Expectation expectation;
    UpstreamClient.RequestHandle handle;
    HttpResponse response;
    final ByteBuf buffered = Unpooled.buffer(0);
    long lastBytesMillis;
    long lastBytesObservedMillis;
    boolean firstEventReceived;
    long firstEventMillis;
    boolean responseEnded;
    boolean silenceRecorded;
    long bytesSinceEvent;
    long receivedBytes;
    LongConsumer releaseHandler = bytes -> {};
    Optional<RolloutSample> rolloutSample = Optional.empty();

    Attempt(
            Placement.Choice choice,
            long memoryTokens,
            boolean resumesStream,
            long nowMillis,
            long observedMillis,
            ResponseMemory memory,
            Consumer<Attempt> evictionHandler) {
        this.memory = memory;
        this.evictionHandler = evictionHandler;
        this.resumesStream = resumesStream;
        this.choice = choice;
        this.upstream = choice.upstream();
        this.version = upstream.entry().version();
        this.memoryTokens = memoryTokens;
        this.sentMillis = nowMillis;
        this.expectation = upstream.stall().start(choice.predictedLatencyMillis(), nowMillis);
        recordBytes(nowMillis, observedMillis);
    }

    /** Records that the first event has arrived or is no longer expected. */
    void endExpectation() {
        upstream.stall().end(expectation);
    }

    void recordBytes(long nowMillis, long observedMillis) {
        lastBytesMillis = nowMillis;
        lastBytesObservedMillis = observedMillis;
    }

    /** Splits the next bytes of a stream into events; returns false if too many have come without a new one. */
    boolean feed(ByteBuf bytes, EventSplitter.EventConsumer consumer) {
        receivedBytes += bytes.readableBytes();
        bytesSinceEvent += bytes.readableBytes();
        eventSplitter.feed(bytes, consumer);
        return bytesSinceEvent <= EventSplitter.MAX_EVENT_BYTES;
    }

    /** Appends the next bytes of a response that is not a stream; returns false if it is too large. */
    boolean buffer(ByteBuf bytes) {
        receivedBytes += bytes.readableBytes();
        boolean fits = buffered.readableBytes() + bytes.readableBytes() <= MAX_BUFFERED_BYTES;
        if (fits) {
            buffered.writeBytes(bytes);
        }
        return fits;
    }

    @Override
    public long bufferedBytes() {
        return buffered.readableBytes() + (long) eventSplitter.pendingBytes();
    }

    @Override
    public void evict() {
        evictionHandler.accept(this);
    }

    /** Returns whether the next event must be the one after the last event that the caller has. */
    boolean awaitsContinuation() {
        return resumesStream && !firstEventReceived;
    }

    /** Returns whether the upstream has sent no data within the timeout that applies to the current phase. */
    boolean isSilent(Route route, boolean streamStarted, long observedMillis) {
        boolean upstreamActive = upstream.lastReceivedMillis() > lastBytesMillis;
        InactivityTimeout timeout = InactivityTimeout.of(route, firstEventReceived || streamStarted);
        return observedMillis - lastBytesObservedMillis
                > timeout.timeoutMillis((long) choice.predictedLatencyMillis(), upstreamActive);
    }

    /** Releases the load of the attempt and cancels it unless its response is complete. */
    void release() {
        memory.release(this);
        releaseHandler.accept(receivedBytes);
        endExpectation();
        upstream.load().recordEnd(firstEventReceived, choice.unreadTokens(), memoryTokens);
        if (!responseEnded && handle != null) {
            handle.cancel();
        }
    }
}
