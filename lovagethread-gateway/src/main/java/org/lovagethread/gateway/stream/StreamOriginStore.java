package org.lovagethread.gateway.stream;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.lovagethread.gateway.store.ObjectKind;
import org.lovagethread.gateway.store.ObjectStore;
import org.lovagethread.gateway.store.StoreReply;
import org.lovagethread.gateway.store.StoreReply.Status;
import org.lovagethread.gateway.store.StoredObject;

/**
 * Stores the versions at which streams begin at this gateway, so that other gateways and later processes know them.
 *
 * <p>It writes only while a service has several versions. The streams of a few seconds make up a chunk, one object that
 * is replaced as streams begin. The first chunk has all streams that began here before; each chunk also shows that its
 * services have several versions. Chunks are removed when their streams cannot be taken up any more.
 */
public final class StreamOriginStore {
    /** Time after which the streams that begin belong to the next chunk, in milliseconds. */
    private static final long CHUNK_MILLIS = 5_000;

    private final ObjectStore store;
    private final StreamVersions versions;
    private final String process;
    private final LongSupplier clusterClock;
    private final Consumer<Boolean> storeCallListener;
    private final Deque<ClosedChunk> closedChunks = new ArrayDeque<>();
    private final Map<String, Long> storedSequences = new HashMap<>();
    private final Map<String, Long> chunkStarts = new HashMap<>();
    private Optional<StoredObject> chunk = Optional.empty();
    private long chunkNumber;
    private long chunkEndMillis = Long.MIN_VALUE;
    private long latestWriteMillis;
    private boolean callPending;
    private long nextCallMillis = Long.MIN_VALUE;
    private long calls;
    private long storeRecoveredMillis;
    private long storings;

    private record ClosedChunk(String name, long expiryMillis) {}

    /**
     * Creates a writer, which makes no call before {@link #tick}.
     *
     * @param store the store
     * @param versions provides the streams
     * @param process the name of this process
     * @param clusterClock the time since the epoch in milliseconds, by which the end of a chunk is stored
     * @param storeCallListener receives, for each call, whether the store processed it
     */
    public StreamOriginStore(
            ObjectStore store,
            StreamVersions versions,
            String process,
            LongSupplier clusterClock,
            Consumer<Boolean> storeCallListener) {
        this.store = store;
        this.versions = versions;
        this.process = process.replaceAll("[^A-Za-z0-9.-]", "-");
        this.clusterClock = clusterClock;
        this.storeCallListener = storeCallListener;
    }

    /**
     * Returns the number of calls to the store.
     *
     * @return the number since the start
     */
    public long calls() {
        return calls;
    }

    /**
     * Makes the next call if one is due.
     *
     * @param intervalMillis the minimum time between two calls, in milliseconds
     * @param recoveredMillis when the store recovered from its latest outage, in milliseconds
     * @param nowMillis the current time in milliseconds
     */
    public void tick(long intervalMillis, long recoveredMillis, long nowMillis) {
        if (recoveredMillis != storeRecoveredMillis) {
            storeRecoveredMillis = recoveredMillis;
            storeAllAnew();
        }
        if (callPending || nowMillis < nextCallMillis) {
            return;
        }
        Set<String> mixed = versions.mixedServices(nowMillis);
        storedSequences.keySet().retainAll(mixed);
        chunkStarts.keySet().retainAll(mixed);
        if (chunk.isPresent() && (mixed.isEmpty() || nowMillis >= chunkEndMillis)) {
            closeChunk();
        }
        if (isOutdated(mixed)) {
            beginCall(intervalMillis, nowMillis);
            write(mixed, nowMillis);
        } else if (!closedChunks.isEmpty() && nowMillis >= closedChunks.peek().expiryMillis()) {
            beginCall(intervalMillis, nowMillis);
            remove(closedChunks.peek());
        }
    }

    private void beginCall(long intervalMillis, long nowMillis) {
        callPending = true;
        nextCallMillis = nowMillis + intervalMillis;
        calls++;
    }

    private void closeChunk() {
        closedChunks.add(new ClosedChunk(chunk.orElseThrow().name(), latestWriteMillis + versions.lifetimeMillis()));
        chunkStarts.putAll(storedSequences);
        startChunk();
    }

    private void startChunk() {
        chunk = Optional.empty();
        chunkNumber++;
    }

    private boolean isOutdated(Set<String> mixed) {
        return mixed.stream()
                .anyMatch(service -> !storedSequences.containsKey(service)
                        || !versions.begunSince(service, storedSequences.get(service))
                                .isEmpty());
    }

    private void write(Set<String> mixed, long nowMillis) {
        Map<String, List<BegunStream>> streams = new TreeMap<>();
        Map<String, Long> sequences = new HashMap<>();
        for (String service : mixed) {
            long start = chunkStarts.getOrDefault(service, 0L);
            List<BegunStream> begun = versions.begunSince(service, start);
            streams.put(service, begun);
            sequences.put(
                    service,
                    begun.isEmpty() ? start : begun.get(begun.size() - 1).sequence());
        }
        if (chunk.isEmpty()) {
            chunkEndMillis = nowMillis + CHUNK_MILLIS;
        }
        latestWriteMillis = nowMillis;
        long storing = storings;
        var content = StreamOriginCodec.encode(clusterClock.getAsLong() + versions.lifetimeMillis(), streams);
        if (chunk.isPresent()) {
            store.replace(ObjectKind.STREAMS, chunk.get(), content, reply -> onWritten(storing, sequences, reply));
        } else {
            store.create(
                    ObjectKind.STREAMS,
                    process + '-' + chunkNumber,
                    content,
                    reply -> onWritten(storing, sequences, reply));
        }
    }

    private void onWritten(long storing, Map<String, Long> sequences, StoreReply<StoredObject> reply) {
        callPending = false;
        storeCallListener.accept(reply.isProcessed());
        if (reply.status() == Status.OK && reply.value().isPresent()) {
            chunk = reply.value();
            if (storing == storings) {
                storedSequences.putAll(sequences);
            }
        } else if (reply.status() == Status.CONFLICT && reply.value().isPresent()) {
            chunk = reply.value();
            storeAllAnew();
        } else if (reply.status() == Status.CONFLICT || reply.status() == Status.MISSING) {
            startChunk();
            storeAllAnew();
        }
    }

    /** Lets the next write have all streams, since the store may have lost what it had acknowledged. */
    private void storeAllAnew() {
        storings++;
        storedSequences.clear();
        chunkStarts.clear();
    }

    private void remove(ClosedChunk closed) {
        store.remove(ObjectKind.STREAMS, closed.name(), reply -> {
            callPending = false;
            storeCallListener.accept(reply.isProcessed());
            if (reply.isProcessed()) {
                closedChunks.remove(closed);
            }
        });
    }
}
