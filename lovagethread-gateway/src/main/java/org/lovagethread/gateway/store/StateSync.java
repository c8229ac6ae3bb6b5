package org.lovagethread.gateway.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.lovagethread.gateway.SilenceTimeouts;
import org.lovagethread.gateway.config.ConfigurationDecoder;
import org.lovagethread.gateway.config.GatewayConfiguration;
import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.upstream.UpstreamEntry;
import org.lovagethread.gateway.upstream.UpstreamTable;
import org.lovagethread.wire.generated.UpstreamListing;
import org.lovagethread.wire.generated.UpstreamRecord;

/**
 * Synchronizes the configuration and the upstreams with the store, directly or through a peer.
 *
 * <p>The version of the configuration never decreases during the lifetime of the process.
 */
public final class StateSync {
    private static final long CONFIGURATION_BATCH_DELAY_MILLIS = 60;
    private static final long MAX_CONFIGURATION_RETRY_DELAY_MILLIS = 400;
    private static final long UPSTREAM_BATCH_DELAY_MILLIS = 250;
    private static final long MAX_UPSTREAM_RETRY_DELAY_MILLIS = 1_600;

    /** Time after the last call beyond which its outcome says nothing about the store, in milliseconds. */
    private static final long CALL_OUTCOME_TTL_MILLIS = 4_000;

    /** Source of configurations that were not received from a peer. */
    private static final String STORE = "store";

    private static final ObjectMapper JSON = new ObjectMapper();

    private final Scheduler scheduler;
    private final ConfigurationDecoder decoder;
    private final UpstreamTable upstreamTable;
    private final EventLog log;
    private final StoreHealth storeHealth = new StoreHealth();
    private final KindWatcher configurationWatcher;
    private final KindWatcher upstreamWatcher;
    private final Map<String, StoredObject> upstreamObjects = new LinkedHashMap<>();
    private final UnreadableUpstreams unreadable;
    private Optional<GatewayConfiguration> configuration = Optional.empty();
    private Optional<JsonNode> configurationJson = Optional.empty();
    private Optional<ByteString> compressedConfiguration = Optional.empty();
    private long upstreamsRevision = -1;
    private OptionalLong upstreamsListedMillis = OptionalLong.empty();
    private long restartRevision = -1;
    private boolean upstreamsListed;
    private boolean isWatching = true;

    /**
     * Creates a synchronization. It makes no call before {@link #start}.
     *
     * @param store the store
     * @param decoder decodes configurations and upstream entries
     * @param upstreamTable the table that receives the upstreams
     * @param scheduler provides the current time and runs delayed calls
     * @param timeouts limits how long a watch may wait for changes
     * @param log the log for changes of the synchronized state
     */
    public StateSync(
            ObjectStore store,
            ConfigurationDecoder decoder,
            UpstreamTable upstreamTable,
            Scheduler scheduler,
            SilenceTimeouts timeouts,
            EventLog log) {
        this.scheduler = scheduler;
        this.decoder = decoder;
        this.upstreamTable = upstreamTable;
        this.log = log;
        this.unreadable = new UnreadableUpstreams(log);
        this.configurationWatcher = new KindWatcher(
                store,
                ObjectKind.CONFIGURATION,
                new KindWatcher.Timing(
                        timeouts.maxQuietMillis(),
                        CONFIGURATION_BATCH_DELAY_MILLIS,
                        MAX_CONFIGURATION_RETRY_DELAY_MILLIS),
                scheduler,
                new ConfigurationObserver());
        this.upstreamWatcher = new KindWatcher(
                store,
                ObjectKind.UPSTREAMS,
                new KindWatcher.Timing(
                        timeouts.maxQuietMillis(), UPSTREAM_BATCH_DELAY_MILLIS, MAX_UPSTREAM_RETRY_DELAY_MILLIS),
                scheduler,
                new UpstreamObserver());
    }

    /** Starts to watch the store. */
    public void start() {
        configurationWatcher.start();
        upstreamWatcher.start();
    }

    /**
     * Starts or stops watching the store. While it does not watch, this gateway receives changes from a peer.
     *
     * @param watching whether to watch the store
     */
    public void setWatching(boolean watching) {
        if (watching != isWatching) {
            isWatching = watching;
            log.add(log.line("store-watches").put("following", watching));
            if (watching) {
                start();
            } else {
                configurationWatcher.pause();
                upstreamWatcher.pause();
            }
        }
    }

    /**
     * Lists everything again, because the store has come back from an older copy. What is missing then is kept for a
     * grace period, since it may be written again.
     */
    public void onRestore() {
        storeHealth.recordRestore(scheduler.nowMillis());
        if (isWatching) {
            start();
        }
    }

    /**
     * Returns whether this gateway watches the store itself.
     *
     * @return false if this gateway receives changes from a peer
     */
    public boolean isWatching() {
        return isWatching;
    }

    /**
     * Returns the active configuration.
     *
     * @return the configuration, or empty if none has been received yet
     */
    public Optional<GatewayConfiguration> configuration() {
        return configuration;
    }

    /**
     * Returns the active configuration in the form in which peers fetch it.
     *
     * @return the compressed original content, or empty if no configuration has been received yet
     */
    public Optional<ByteString> compressedConfiguration() {
        if (compressedConfiguration.isEmpty()) {
            compressedConfiguration = configurationJson.map(content -> Gzip.compress(toJson(content)));
        }
        return compressedConfiguration;
    }

    /**
     * Returns whether both the configuration and the upstreams have been received.
     *
     * @return true if requests can be served
     */
    public boolean isComplete() {
        return configuration.isPresent() && upstreamsListed;
    }

    /**
     * Returns the version of the latest received change of upstreams.
     *
     * @return the version, or a negative number if none has been received
     */
    public long upstreamsRevision() {
        return upstreamsRevision;
    }

    /**
     * Returns the latest time at which the list of upstreams was known to be up to date, by the store or by a peer.
     *
     * @return the time in milliseconds; empty if it never was
     */
    public OptionalLong upstreamsListedMillis() {
        return upstreamsListedMillis;
    }

    /**
     * Records how old the list of a peer is. It counts for this gateway if its own list is not behind.
     *
     * @param revision the version of the latest change of upstreams that the peer has received
     * @param ageMillis the time since the list of the peer was known to be up to date, in milliseconds
     */
    public void onPeerList(long revision, long ageMillis) {
        if (revision <= upstreamsRevision) {
            recordListed(scheduler.nowMillis() - ageMillis);
        }
    }

    private void recordListed(long listedMillis) {
        upstreamsListedMillis = OptionalLong.of(Math.max(upstreamsListedMillis.orElse(listedMillis), listedMillis));
    }

    /**
     * Returns whether this gateway can be expected to reach the store: the store processed the last call, or
     * that call is long past.
     *
     * @return false if the last call is recent and the store did not process it
     */
    public boolean canWatch() {
        return storeHealth.isReachable() || storeHealth.idleMillis(scheduler.nowMillis()) > CALL_OUTCOME_TTL_MILLIS;
    }

    /**
     * Returns the reachability of the store.
     *
     * @return the outcomes of recent calls
     */
    public StoreHealth storeHealth() {
        return storeHealth;
    }

    /**
     * Applies a configuration if it is newer than the active one.
     *
     * @param content the original content
     * @param source the origin of the content, for the log
     */
    public void offerConfiguration(JsonNode content, String source) {
        Either<String, GatewayConfiguration> decoded = decode(() -> decoder.decodeConfiguration(content));
        if (decoded.isLeft()) {
            logUnreadableConfiguration(source, decoded.getLeft());
            return;
        }
        GatewayConfiguration offered = decoded.get();
        if (configuration
                .filter(active -> active.version() >= offered.version())
                .isPresent()) {
            return;
        }
        log.add(log.line("configuration-in-force")
                .put("version", offered.version())
                .put(
                        "previous",
                        configuration.map(GatewayConfiguration::version).orElse(-1L))
                .put("source", source));
        configuration = Optional.of(offered);
        configurationJson = Optional.of(content);
        compressedConfiguration = Optional.empty();
    }

    /**
     * Applies a configuration from a peer if it is newer than the active one.
     *
     * @param bytes the compressed content, as returned by {@link #compressedConfiguration} of the peer
     * @param peer the name of the peer
     */
    public void offerConfiguration(ByteString bytes, String peer) {
        try {
            offerConfiguration(JSON.readTree(Gzip.decompress(bytes).newInput()), peer);
        } catch (IOException e) {
            logUnreadableConfiguration(peer, e.getMessage());
        }
    }

    private void offerConfiguration(StoredObject object) {
        if (object.defect().isPresent()) {
            logUnreadableConfiguration(STORE, object.defect().get());
        } else {
            offerConfiguration(object.content(), STORE);
        }
    }

    private void logUnreadableConfiguration(String source, String reason) {
        log.add(log.line("configuration-unreadable").put("source", source).put("reason", reason));
    }

    /**
     * Returns all upstreams in the form in which peers fetch them.
     *
     * @return the compressed {@link UpstreamListing}
     */
    public ByteString compressedUpstreams() {
        UpstreamListing.Builder listing = UpstreamListing.newBuilder().setRevision(upstreamsRevision);
        for (StoredObject object : upstreamObjects.values()) {
            listing.addUpstreams(
                    UpstreamRecord.newBuilder().setId(object.name()).setContent(toJson(object.content())));
        }
        return Gzip.compress(listing.build().toByteString());
    }

    /**
     * Replaces all upstreams by those of a peer if the peer has a newer revision. The store is watched from there on.
     *
     * @param bytes the compressed listing, as returned by {@link #compressedUpstreams} of the peer
     * @param peer the name of the peer
     */
    public void offerUpstreams(ByteString bytes, String peer) {
        try {
            UpstreamListing listing = UpstreamListing.parseFrom(Gzip.decompress(bytes));
            if (listing.getRevision() <= upstreamsRevision) {
                return;
            }
            List<StoredObject> objects = new ArrayList<>();
            for (UpstreamRecord upstream : listing.getUpstreamsList()) {
                objects.add(decodeRecord(upstream, listing.getRevision()));
            }
            log.add(log.line("upstreams-from-peer").put("source", peer).put("revision", listing.getRevision()));
            replaceUpstreams(objects, listing.getRevision());
            upstreamWatcher.skipTo(listing.getRevision());
        } catch (InvalidProtocolBufferException e) {
            log.add(log.line("upstreams-unreadable").put("source", peer).put("reason", e.getMessage()));
        } catch (IOException e) {
            log.add(log.line("upstreams-unreadable").put("source", peer).put("reason", e.toString()));
        }
    }

    /**
     * Restarts the watch for upstreams if a peer has a newer revision than this gateway, once for each revision.
     *
     * <p>A reachable store should have reported the change to this gateway as well, so its watch is assumed to be lost.
     *
     * @param revision the revision of the latest change that the peer has received
     */
    public void onPeerRevision(long revision) {
        if (revision > upstreamWatcher.revision()
                && revision > restartRevision
                && storeHealth.isReachable()
                && isWatching) {
            restartRevision = revision;
            upstreamWatcher.restart();
        }
    }

    /** Restarts the watch for the configuration, because a peer has a newer version. */
    public void onNewerPeerConfiguration() {
        if (storeHealth.isReachable() && isWatching) {
            configurationWatcher.restart();
        }
    }

    private static StoredObject decodeRecord(UpstreamRecord upstream, long revision) {
        try {
            JsonNode content = JSON.readTree(upstream.getContent().newInput());
            return new StoredObject(upstream.getId(), revision, content);
        } catch (IOException e) {
            return StoredObject.unreadable(upstream.getId(), revision, e.toString());
        }
    }

    private void replaceUpstreams(List<StoredObject> objects, long revision) {
        upstreamObjects.clear();
        unreadable.retainAll(names(objects));
        List<UpstreamEntry> entries = new ArrayList<>();
        for (StoredObject object : objects) {
            Either<String, UpstreamEntry> decoded = decode(object);
            if (decoded.isRight()) {
                upstreamObjects.put(object.name(), object);
                unreadable.remove(object.name());
                entries.add(decoded.get());
            } else {
                unreadable.add(object.name(), decoded.getLeft(), scheduler.nowMillis());
            }
        }
        upstreamsListed = true;
        upstreamsRevision = Math.max(upstreamsRevision, revision);
        upstreamTable.replaceAll(entries, revision, storeHealth.recoveredMillis(), scheduler.nowMillis());
    }

    private static Set<String> names(List<StoredObject> objects) {
        return objects.stream().map(StoredObject::name).collect(Collectors.toSet());
    }

    private Either<String, UpstreamEntry> decode(StoredObject object) {
        return object.defect().isPresent()
                ? Either.left(object.defect().get())
                : decode(() -> decoder.decodeUpstream(object));
    }

    /** Decodes one object; an exception affects only that object. */
    private static <T> Either<String, T> decode(Supplier<Either<String, T>> decoding) {
        try {
            return decoding.get();
        } catch (RuntimeException e) {
            return Either.left(e.toString());
        }
    }

    private void applyChange(ObjectStore.Change change, long revision) {
        upstreamsRevision = Math.max(upstreamsRevision, revision);
        StoredObject object = change.object();
        long now = scheduler.nowMillis();
        if (change.isRemoved()) {
            upstreamObjects.remove(object.name());
            unreadable.remove(object.name());
            boolean removed =
                    upstreamTable.remove(object.name(), object.revision(), storeHealth.recoveredMillis(), now);
            log.add(log.line("upstream-removed")
                    .put("upstream", object.name())
                    .put("revision", revision)
                    .put("gone", removed));
            return;
        }
        Either<String, UpstreamEntry> decoded = decode(object);
        if (decoded.isLeft()) {
            upstreamObjects.remove(object.name());
            unreadable.add(object.name(), decoded.getLeft(), scheduler.nowMillis());
            upstreamTable.remove(object.name(), object.revision(), storeHealth.recoveredMillis(), now);
            return;
        }
        upstreamObjects.put(object.name(), object);
        unreadable.remove(object.name());
        if (upstreamTable.put(decoded.get(), object.revision(), now)) {
            log.add(log.line("upstream-changed")
                    .put("upstream", object.name())
                    .put("service", decoded.get().service())
                    .put("zone", decoded.get().zone())
                    .put("revision", revision)
                    .put(
                            "leaving",
                            upstreamTable
                                    .find(object.name())
                                    .filter(upstream -> upstream.entry().leaving())
                                    .isPresent()));
        }
    }

    /**
     * Records the outcome of a call to the store.
     *
     * @param processed whether the store processed the call
     */
    public void recordCall(boolean processed) {
        if (storeHealth.recordCall(processed, scheduler.nowMillis())) {
            log.add(log.line(storeHealth.isReachable() ? "store-regained" : "store-lost"));
            if (storeHealth.isReachable() && isWatching) {
                configurationWatcher.retryNow();
                upstreamWatcher.retryNow();
            }
        }
    }

    private void logFailure(Throwable failure) {
        log.add(log.line("store-change-failed").put("reason", failure.toString()));
    }

    private static ByteString toJson(JsonNode content) {
        try {
            return ByteString.copyFrom(JSON.writeValueAsBytes(content));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize JSON tree", e);
        }
    }

    private final class ConfigurationObserver implements KindWatcher.Observer {
        @Override
        public void onListing(List<StoredObject> objects, long revision) {
            objects.forEach(StateSync.this::offerConfiguration);
        }

        @Override
        public void onChange(ObjectStore.Change change, long revision) {
            if (!change.isRemoved()) {
                offerConfiguration(change.object());
            }
        }

        @Override
        public void onCallCompleted(boolean processed) {
            StateSync.this.recordCall(processed);
        }

        @Override
        public void onFailure(Throwable failure) {
            StateSync.this.logFailure(failure);
        }
    }

    private final class UpstreamObserver implements KindWatcher.Observer {
        @Override
        public void onListing(List<StoredObject> objects, long revision) {
            replaceUpstreams(objects, revision);
        }

        @Override
        public void onChange(ObjectStore.Change change, long revision) {
            StateSync.this.applyChange(change, revision);
        }

        @Override
        public void onUpToDate(long listedMillis) {
            recordListed(listedMillis);
        }

        @Override
        public void onCallCompleted(boolean processed) {
            StateSync.this.recordCall(processed);
        }

        @Override
        public void onFailure(Throwable failure) {
            StateSync.this.logFailure(failure);
        }
    }
}
