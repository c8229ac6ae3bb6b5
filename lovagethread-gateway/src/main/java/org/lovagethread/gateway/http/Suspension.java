package org.lovagethread.gateway.http;

import java.util.Optional;

/** Keeps a silent attempt beside its replacement for a short time, for the case that the replacement fails at once. */
final class Suspension {
    /** Time for which an attempt is kept, in milliseconds. Upstreams must not work on the same request for longer. */
    private static final long DURATION_MILLIS = 300;

    private Optional<Attempt> attempt = Optional.empty();
    private long deadlineMillis;

    /** Suspends an attempt, and releases the one that was suspended before. */
    void begin(Attempt silent, long nowMillis) {
        end();
        silent.handle.setReading(false);
        attempt = Optional.of(silent);
        deadlineMillis = nowMillis + DURATION_MILLIS;
    }

    boolean isPresent() {
        return attempt.isPresent();
    }

    /** Returns the suspended attempt, which is resumed. */
    Attempt resume(long nowMillis, long observedMillis) {
        Attempt resumed = attempt.orElseThrow();
        attempt = Optional.empty();
        resumed.recordBytes(nowMillis, observedMillis);
        resumed.handle.setReading(true);
        return resumed;
    }

    /** Releases an attempt, which cannot be resumed since its response has ended, if it is the suspended one. */
    void end(Attempt ended) {
        if (attempt.filter(suspended -> suspended == ended).isPresent()) {
            end();
        }
    }

    /** Releases the suspended attempt if its time is over. */
    void expire(long nowMillis) {
        if (nowMillis >= deadlineMillis) {
            end();
        }
    }

    /** Releases the suspended attempt, if any. */
    void end() {
        attempt.ifPresent(Attempt::release);
        attempt = Optional.empty();
    }
}
