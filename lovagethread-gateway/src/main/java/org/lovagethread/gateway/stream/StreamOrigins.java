package org.lovagethread.gateway.stream;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.lovagethread.gateway.store.StoreReply.Status;
import org.lovagethread.gateway.upstream.Upstream;
import org.lovagethread.gateway.upstream.UpstreamEntry;
import org.lovagethread.gateway.upstream.UpstreamTable;

/** Finds the software version at which the stream of a request began, and records where streams begin. */
public final class StreamOrigins {
    /** Minimum time between two calls to the store by one gateway, in milliseconds. */
    private static final long MIN_CALL_INTERVAL_MILLIS = 200;

    /** Minimum time between two writes by any two gateways, in milliseconds. */
    private static final long WRITE_INTERVAL_MILLIS = 5;

    /** Minimum time between two lists by any two gateways, in milliseconds. */
    private static final long LIST_INTERVAL_MILLIS = 10;

    private final StreamVersions versions;
    private final UpstreamTable upstreams;
    private final StreamOriginLookup lookup;
    private final IntSupplier gatewayCount;
    private final LongSupplier clusterClock;

    /**
     * Creates origins without streams.
     *
     * @param versions the versions of services and streams
     * @param upstreams the upstreams
     * @param lookup finds streams in the store
     * @param gatewayCount the number of gateways that use the store
     * @param clusterClock the time since the epoch in milliseconds, by which upstreams state their start
     */
    public StreamOrigins(
            StreamVersions versions,
            UpstreamTable upstreams,
            StreamOriginLookup lookup,
            IntSupplier gatewayCount,
            LongSupplier clusterClock) {
        this.versions = versions;
        this.upstreams = upstreams;
        this.lookup = lookup;
        this.gatewayCount = gatewayCount;
        this.clusterClock = clusterClock;
    }

    /**
     * Finds the version at which the stream of a request must go on.
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
        versions.longestTimeout(request.timeoutMillis());
        versions.observe(upstreams.all(), nowMillis);
        String service = request.service();
        Optional<String> streamId = request.streamId();
        Optional<String> known = streamId.flatMap(id -> versions.version(service, id));
        boolean isMixed = versions.isMixed(service, nowMillis);
        if (known.isPresent()) {
            consumer.accept(StreamOrigin.known(StreamOrigin.Source.MEMORY, known.get()));
        } else if (!isMixed && versions.isComplete()) {
            consumer.accept(StreamOrigin.oneVersion(versions.onlyVersion(service)));
        } else if (isMixed && streamId.isEmpty()) {
            consumer.accept(StreamOrigin.unknown("the request names no stream"));
        } else {
            lookup.find(
                    new StreamOriginLookup.Query(service, streamId, isMixed),
                    writeIntervalMillis(),
                    listIntervalMillis(),
                    nowMillis,
                    finding -> consumer.accept(conclude(service, isMixed, finding)));
        }
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
        return hasLastingVersion(service)
                ? StreamOrigin.oneVersion(versions.onlyVersion(service))
                : StreamOrigin.unknown("the version may have changed while no gateway ran");
    }

    /** Returns whether the only version of a service has been there for as long as a stream can last. */
    private boolean hasLastingVersion(String service) {
        List<UpstreamEntry> entries = upstreams.all().stream()
                .map(Upstream::entry)
                .filter(entry -> entry.service().equals(service))
                .toList();
        long latestStartMillis = clusterClock.getAsLong() - versions.lifetimeMillis();
        return entries.stream().map(UpstreamEntry::version).distinct().count() == 1
                && entries.stream().anyMatch(entry -> entry.startedAtMillis() < latestStartMillis);
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
     * Makes the calls to the store that are due.
     *
     * @param nowMillis the current time in milliseconds
     */
    public void tick(long nowMillis) {
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
