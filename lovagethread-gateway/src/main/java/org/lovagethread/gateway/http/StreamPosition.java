package org.lovagethread.gateway.http;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import java.util.OptionalLong;

/** The part of a stream that the caller has received, before or in this response. */
final class StreamPosition {
    private Optional<String> mediaType = Optional.empty();
    private long lastEventId;
    private boolean lastEventNumbered;
    private boolean started;

    StreamPosition(OptionalLong lastEventId) {
        this.lastEventId = lastEventId.orElse(-1);
    }

    /** Records that the response to the caller has started with the header of an upstream. */
    void start(HttpResponse response) {
        mediaType = ResponseClassifier.mediaType(response);
        started = true;
    }

    /** Returns whether the next response must go on after an event that the caller has. */
    boolean mustContinue() {
        return started || lastEventId >= 0;
    }

    /** Returns whether the response to the caller has started. */
    boolean hasStarted() {
        return started;
    }

    /** Returns whether a response may contain the next events. */
    boolean mayContinueWith(HttpResponse response) {
        return !started || mediaType.equals(ResponseClassifier.mediaType(response));
    }

    /** Returns whether another upstream can continue the stream. */
    boolean canContinue() {
        return !started || lastEventNumbered;
    }

    /** Returns whether an event cannot follow the last one of this response. */
    boolean isGap(long id, boolean awaitsContinuation) {
        boolean mustContinue = awaitsContinuation || (started && id >= 0 && lastEventId >= 0);
        return mustContinue && id != lastEventId + 1;
    }

    void recordEvent(long id) {
        lastEventNumbered = id >= 0;
        lastEventId = id >= 0 ? id : lastEventId;
    }

    /** Returns the identifier of the last event; negative if there is none. */
    long lastEventId() {
        return lastEventId;
    }
}
