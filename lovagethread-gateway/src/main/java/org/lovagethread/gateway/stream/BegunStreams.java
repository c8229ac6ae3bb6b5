package org.lovagethread.gateway.stream;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The streams of one service that began at this gateway lately, with the software versions of their upstreams. */
final class BegunStreams {
    /** Maximum number of streams that are kept; the oldest ones are forgotten first. */
    private static final int MAX_STREAMS = 16_384;

    private final Map<Long, BegunStream> byKey = new LinkedHashMap<>();
    private long lastSequence;

    /** Records that a stream began, or goes on, at an upstream. */
    void record(long key, String version, long nowMillis) {
        lastSequence++;
        byKey.remove(key);
        byKey.put(key, new BegunStream(lastSequence, key, version, nowMillis));
        if (byKey.size() > MAX_STREAMS) {
            byKey.remove(byKey.keySet().iterator().next());
        }
    }

    Optional<String> version(long key) {
        return Optional.ofNullable(byKey.get(key)).map(BegunStream::version);
    }

    /** Returns the streams that were recorded after one, in the order of their records. */
    List<BegunStream> since(long sequence) {
        if (sequence >= lastSequence) {
            return List.of();
        }
        List<BegunStream> found = new ArrayList<>();
        for (BegunStream stream : byKey.values()) {
            if (stream.sequence() > sequence) {
                found.add(stream);
            }
        }
        return found;
    }

    /** Forgets the streams that began before a time. */
    void expire(long beforeMillis) {
        var streams = byKey.values().iterator();
        while (streams.hasNext() && streams.next().beganMillis() < beforeMillis) {
            streams.remove();
        }
    }
}
