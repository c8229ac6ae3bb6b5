package org.lovagethread.gateway.stream;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.lovagethread.gateway.store.StoreReply.Status;
import org.lovagethread.gateway.upstream.Upstream;

/** Finds the software version at which the stream of a request began, and records where streams begin. */
public final class StreamOrigins {
    /** Minimum time between two calls to the store by one gateway, in milliseconds. */
    private static final long MIN_CALL_INTERVAL_MILLIS = 200;

    /** Minimum time between two writes by any two gateways, in milliseconds. */
    private static final long WRITE_INTERVAL_MILLIS = 5;

    /** Minimum time between two lists by any two gateways, in milliseconds. */
    private static final long LIST_INTERVAL_MILLIS = 10;

    private final StreamVersions versions;
    private final StreamQueries queries;
    private final StreamOriginLookup lookup;
    private final VersionRecorder recorder;
    private final IntSupplier gatewayCount;
    private final LongSupplier storeEra;
    private final LongSupplier clusterClock;
    private long latestMillis = Long.MIN_VALUE;

    /**
     * Creates origins without streams.
     *
     * @param versions the versions of services and streams
     * @param queries asks peers
     * @param lookup finds streams in the store
     * @param recorder knows at which versions streams may begin
     * @param gatewayCount the number of gateways that use the store
     * @param storeEra the era of the store
     * @param clusterClock the time since the epoch in milliseconds
     */
    public StreamOrigins(
            StreamVersions versions,
            StreamQueries queries,
            StreamOriginLookup lookup,
            VersionRecorder recorder,
            IntSupplier gatewayCount,
            LongSupplier storeEra,
            LongSupplier clusterClock) {
        this.versions = versions;
        this.queries = queries;
        this.lookup = lookup;
        this.recorder = recorder;
        this.gatewayCount = gatewayCount;
        this.storeEra = storeEra;
        this.clusterClock = clusterClock;
    }

    /**
     * Finds the version at which the stream of a request must go on: from this gateway's memory, from a peer at which
     * the stream began, or from the store, which is read after the request has come.
     *
     * @param request the request
     * @param nowMillis the current time in milliseconds
     * @param consumer receives the origin, at once or later
     */
    public void resolve(StreamRequest request, long nowMillis, Consumer<StreamOrigin> consumer) {
        if (!request.isResumption()) {
            consumer.accept(StreamOrigin.BEGINNING);
            return;
        }
        latestMillis = Math.max(latestMillis, nowMillis);
        versions.longestTimeout(request.timeoutMillis());
        String service = request.service();
        Optional<String> streamId = request.streamId();
        Optional<String> known = streamId.flatMap(id -> versions.version(service, id));
        if (known.isPresent()) {
            consumer.accept(StreamOrigin.known(StreamOrigin.Source.MEMORY, known.get()));
        } else if (streamId.isPresent()) {
            queries.ask(service, streamId.get(), nowMillis, answer -> {
                if (answer.isPresent()) {
                    consumer.accept(StreamOrigin.known(StreamOrigin.Source.PEER, answer.get()));
                } else {
                    lookUp(request, consumer);
                }
            });
        } else if (versions.isMixed(service, nowMillis) || request.isSplit()) {
            consumer.accept(StreamOrigin.unknown("the request names no stream"));
        } else {
            lookUp(request, consumer);
        }
    }

    private void lookUp(StreamRequest request, Consumer<StreamOrigin> consumer) {
        boolean isMixed = versions.isMixed(request.service(), latestMillis);
        lookup.find(
                new StreamOriginLookup.Query(request.service(), request.streamId(), isMixed),
                writeIntervalMillis(),
                listIntervalMillis(),
                latestMillis,
                finding -> consumer.accept(conclude(request.service(), isMixed, finding)));
    }

    private StreamOrigin conclude(String service, boolean wasMixed, StreamOriginLookup.Finding finding) {
        if (finding.version().isPresent()) {
            return StreamOrigin.known(
                    StreamOrigin.Source.STORE, finding.version().get());
        }
        if (finding.status() != Status.OK) {
            return StreamOrigin.unknown("the store cannot be reached");
        }
        if (wasMixed || finding.isServiceMixed()) {
            return StreamOrigin.unknown("no gateway has stored the stream");
        }
        return finding.record()
                .filter(record -> record.isTrusted(storeEra.getAsLong(), clusterClock.getAsLong()))
                .flatMap(record -> record.onlyVersion(service))
                .map(StreamOrigin::oneVersion)
                .orElseGet(() -> StreamOrigin.unknown("no record proves that the service has had one version"));
    }

    /**
     * Returns the upstreams at which a stream may begin: only those whose version is recorded. If none is, none for a
     * moment in which one may be recorded, then all of them.
     *
     * @param request the request
     * @param upstreams the upstreams that can receive it
     * @param nowMillis the current time in milliseconds
     * @return some of the upstreams, in their order
     */
    public List<Upstream> beginnable(StreamRequest request, List<Upstream> upstreams, long nowMillis) {
        if (!request.isResumable()) {
            return upstreams;
        }
        List<Upstream> recorded = upstreams.stream()
                .filter(upstream -> recorder.isRecorded(
                        upstream.entry().service(), upstream.entry().version(), nowMillis))
                .toList();
        return recorded.isEmpty() && !recorder.isAboutToRecord(request.service(), nowMillis) ? upstreams : recorded;
    }

    /**
     * Records that the first event of an attempt is forwarded.
     *
     * @param request the request
     * @param version the version of the software of the upstream that sent the event
     * @param nowMillis the current time in milliseconds
     */
    public void recordBeginning(StreamRequest request, String version, long nowMillis) {
        if (request.isResumable()) {
            request.streamId().ifPresent(id -> versions.recordBeginning(request.service(), id, version, nowMillis));
        }
    }

    /**
     * Ends the queries whose time is over, and makes the calls to the store that are due.
     *
     * @param nowMillis the current time in milliseconds
     */
    public void tick(long nowMillis) {
        latestMillis = Math.max(latestMillis, nowMillis);
        queries.tick(nowMillis);
        lookup.tick(listIntervalMillis(), nowMillis);
    }

    /**
     * Returns the minimum time between two writes of this gateway.
     *
     * @return the time in milliseconds
     */
    public long writeIntervalMillis() {
        return Math.max(MIN_CALL_INTERVAL_MILLIS, gatewayCount.getAsInt() * WRITE_INTERVAL_MILLIS);
    }

    private long listIntervalMillis() {
        return Math.max(MIN_CALL_INTERVAL_MILLIS, gatewayCount.getAsInt() * LIST_INTERVAL_MILLIS);
    }
}
