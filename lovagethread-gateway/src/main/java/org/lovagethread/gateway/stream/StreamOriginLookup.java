package org.lovagethread.gateway.stream;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.lovagethread.gateway.store.ObjectKind;
import org.lovagethread.gateway.store.ObjectStore;
import org.lovagethread.gateway.store.StoreReply.Status;
import org.lovagethread.gateway.store.StoredObject;

/**
 * Finds the versions at which streams began at other gateways, or at earlier processes, in the store.
 *
 * <p>One list of the chunks serves all requests that wait for it. A stream that is not found is looked for once more
 * after the time within which its gateway stores it.
 */
public final class StreamOriginLookup {
    /** Time for which the reply to a write may be under way, in milliseconds. */
    private static final long WRITE_DELAY_MILLIS = 100;

    /** Number of intervals between lists after which a request waits no longer. */
    private static final int MAX_WAIT_INTERVALS = 2;

    /** Time for which a list is kept, in milliseconds. */
    private static final long CACHE_MILLIS = 30_000;

    private final ObjectStore store;
    private final LongSupplier clusterClock;
    private final Consumer<Boolean> storeCallListener;
    private final BooleanSupplier outage;
    private final List<Search> searches = new ArrayList<>();
    private Map<String, Map<Long, String>> versionsByService = Map.of();
    private Set<String> mixedServices = Set.of();
    private Optional<VersionRecord> record = Optional.empty();
    private boolean listPending;
    private long listMillis = Long.MIN_VALUE;
    private long previousListMillis = Long.MIN_VALUE;
    private long nextListMillis = Long.MIN_VALUE;
    private long lists;

    /**
     * What the store contains about a stream.
     *
     * @param status whether the store could be read
     * @param version the version at which the stream began; empty if it is unknown
     * @param isServiceMixed whether the service has several versions
     * @param record the versions at which streams may have begun; empty if there is no such record
     */
    record Finding(Status status, Optional<String> version, boolean isServiceMixed, Optional<VersionRecord> record) {}

    /**
     * What is looked for.
     *
     * @param service the name of the service
     * @param streamId the identifier of the stream; empty if it is unknown, which looks for the service only
     * @param isServiceMixed whether the service is known to have several versions
     */
    record Query(String service, Optional<String> streamId, boolean isServiceMixed) {
        Optional<Long> key() {
            return streamId.map(BegunStream::keyOf);
        }
    }

    private record Search(
            Query query, long startMillis, long writtenMillis, long endMillis, Consumer<Finding> consumer) {
        /** Returns whether a list that began at a time leaves open what this search needs at another time. */
        boolean needsListAfter(long listMillis, long nowMillis) {
            return listMillis < startMillis || (listMillis < writtenMillis && nowMillis >= writtenMillis);
        }
    }

    /**
     * Creates a lookup, which makes no call before a search.
     *
     * @param store the store
     * @param clusterClock the time since the epoch in milliseconds, by which the end of a chunk is stored
     * @param storeCallListener receives, for each call, whether the store processed it
     * @param outage whether calls to the store have failed for some time
     */
    public StreamOriginLookup(
            ObjectStore store, LongSupplier clusterClock, Consumer<Boolean> storeCallListener, BooleanSupplier outage) {
        this.outage = outage;
        this.store = store;
        this.clusterClock = clusterClock;
        this.storeCallListener = storeCallListener;
    }

    /**
     * Returns the number of lists that were begun.
     *
     * @return the number since the start
     */
    public long lists() {
        return lists;
    }

    /**
     * Looks for a stream.
     *
     * @param query what is looked for
     * @param writeMillis the time within which a gateway stores the streams that begin, in milliseconds
     * @param intervalMillis the minimum time between two lists, in milliseconds
     * @param nowMillis the current time in milliseconds
     * @param consumer receives the finding, at once or later
     */
    void find(Query query, long writeMillis, long intervalMillis, long nowMillis, Consumer<Finding> consumer) {
        Optional<String> cached = version(query);
        if (cached.isPresent()) {
            consumer.accept(new Finding(Status.OK, cached, true, Optional.empty()));
            return;
        }
        long writtenMillis = nowMillis + writeMillis + WRITE_DELAY_MILLIS;
        long endMillis = writtenMillis + MAX_WAIT_INTERVALS * intervalMillis;
        searches.add(new Search(query, nowMillis, writtenMillis, endMillis, consumer));
        tick(intervalMillis, nowMillis);
    }

    /**
     * Begins the next list if a search waits for it, and ends searches that have waited for too long, or all of them
     * during an outage of the store. A single failed call is repeated.
     *
     * @param intervalMillis the minimum time between two lists, in milliseconds
     * @param nowMillis the current time in milliseconds
     */
    void tick(long intervalMillis, long nowMillis) {
        boolean isOutage = outage.getAsBoolean();
        end(search -> isOutage || nowMillis >= search.endMillis(), Status.NO_ANSWER);
        if (listPending || nowMillis < nextListMillis) {
            return;
        }
        if (searches.stream().anyMatch(search -> search.needsListAfter(listMillis, nowMillis))) {
            listPending = true;
            previousListMillis = listMillis;
            listMillis = nowMillis;
            nextListMillis = nowMillis + intervalMillis;
            lists++;
            list("", new ArrayList<>());
        } else if (nowMillis - CACHE_MILLIS > listMillis) {
            versionsByService = Map.of();
        }
    }

    private void list(String after, List<StoredObject> found) {
        store.list(ObjectKind.STREAMS, after, reply -> {
            storeCallListener.accept(reply.isProcessed());
            if (reply.status() != Status.OK || reply.value().isEmpty()) {
                listPending = false;
                listMillis = previousListMillis;
                return;
            }
            ObjectStore.Page page = reply.value().get();
            found.addAll(page.objects());
            page.nextAfter(after).ifPresentOrElse(name -> list(name, found), () -> onListed(found));
        });
    }

    private void onListed(List<StoredObject> objects) {
        listPending = false;
        Map<String, Map<Long, String>> versions = new HashMap<>();
        Set<String> mixed = new HashSet<>();
        long clusterMillis = clusterClock.getAsLong();
        for (StoredObject object : objects) {
            decode(object).ifPresent(chunk -> chunk.versionsByService().forEach((service, versionByKey) -> {
                versions.computeIfAbsent(service, key -> new HashMap<>()).putAll(versionByKey);
                if (chunk.expiryMillis() > clusterMillis) {
                    mixed.add(service);
                }
            }));
        }
        record = objects.stream()
                .filter(object -> object.name().equals(VersionRecord.NAME))
                .findAny()
                .flatMap(object -> VersionRecord.decode(object.content()));
        record.ifPresent(current -> current.recordedMillis().forEach((service, recorded) -> {
            if (recorded.size() > 1) {
                mixed.add(service);
            }
        }));
        versionsByService = versions;
        mixedServices = mixed;
        end(this::isFinal, Status.OK);
    }

    /** Decodes a chunk. One that cannot be read is like one that was not written: its streams are not found. */
    private static Optional<StreamOriginCodec.Chunk> decode(StoredObject object) {
        try {
            return Optional.of(StreamOriginCodec.decode(object.content()));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /** Returns whether later lists cannot show more, for example as all gateways have stored the streams by now. */
    private boolean isFinal(Search search) {
        boolean isUnmixed = !search.query().isServiceMixed()
                && !mixedServices.contains(search.query().service());
        return version(search.query()).isPresent()
                || listMillis >= search.writtenMillis()
                || (isUnmixed && listMillis >= search.startMillis());
    }

    private void end(Predicate<Search> condition, Status status) {
        List<Search> ended = searches.stream().filter(condition).toList();
        searches.removeAll(ended);
        for (Search search : ended) {
            Query query = search.query();
            search.consumer()
                    .accept(new Finding(status, version(query), mixedServices.contains(query.service()), record));
        }
    }

    private Optional<String> version(Query query) {
        return query.key().map(key -> versionsByService
                .getOrDefault(query.service(), Map.of())
                .get(key));
    }
}
