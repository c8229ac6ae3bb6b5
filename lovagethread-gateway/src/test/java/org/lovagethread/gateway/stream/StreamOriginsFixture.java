package org.lovagethread.gateway.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;
import org.lovagethread.gateway.store.FakeStore;
import org.lovagethread.gateway.store.ObjectKind;
import org.lovagethread.gateway.store.StoredObject;
import org.lovagethread.gateway.upstream.UpstreamEntry;
import org.lovagethread.gateway.upstream.UpstreamTable;
import org.lovagethread.wire.generated.GatewayDatagram;

/** Runs processes of gateways beside one store in virtual time. */
abstract class StreamOriginsFixture {
    static final long EPOCH_MILLIS = 1_700_000_000_000L;
    static final long TICK_MILLIS = 20;
    static final long WRITE_MILLIS = 200;
    static final long SECOND_MILLIS = 1_000;
    static final long TIMEOUT_MILLIS = 15_000;
    static final long LIFETIME_MILLIS = 2 * TIMEOUT_MILLIS;
    static final int GATEWAYS = 6;
    static final String SERVICE = "pool";
    final FakeStore store = new FakeStore();
    final AtomicLong clusterMillis = new AtomicLong(EPOCH_MILLIS);
    final List<GatewayProcess> running = new ArrayList<>();

    /** One process of a gateway, whose own clock begins at another time. */
    final class GatewayProcess {
        final StreamVersions versions = new StreamVersions();
        final UpstreamTable upstreams = new UpstreamTable();
        final long startMillis = clusterMillis.get();
        final String host;
        final StreamQueries queries;
        final VersionRecorder recorder;
        final StreamOriginLookup lookup;
        final StreamOriginStore writer;
        final StreamOriginCleaner cleaner;
        final StreamOrigins origins;
        boolean storeOutage;
        boolean reachesPeers;
        boolean standsStill;
        long listedMillis;

        GatewayProcess(String name) {
            this(name, true);
        }

        GatewayProcess(String name, boolean isConfigured) {
            if (isConfigured) {
                versions.longestTimeout(TIMEOUT_MILLIS);
            }
            lookup = new StreamOriginLookup(store, clusterMillis::get, processed -> {}, () -> storeOutage);
            writer = new StreamOriginStore(
                    store, versions, name + "-" + clusterMillis, clusterMillis::get, processed -> {});
            cleaner = new StreamOriginCleaner(store, clusterMillis::get, processed -> {});
            host = name + clusterMillis;
            queries = new StreamQueries(versions, host, startMillis, this::peers, this::send);
            recorder = new VersionRecorder(store, versions, store::era, clusterMillis::get, () -> 0, processed -> {});
            origins = new StreamOrigins(
                    versions, queries, lookup, recorder, () -> GATEWAYS, store::era, clusterMillis::get);
            running.add(this);
        }

        long nowMillis() {
            return clusterMillis.get() - startMillis;
        }

        Set<String> peers() {
            return running.stream()
                    .filter(peer -> peer != this && reachesPeers && peer.reachesPeers)
                    .map(peer -> peer.host)
                    .collect(Collectors.toSet());
        }

        void send(GatewayDatagram datagram, Set<String> hosts) {
            running.stream()
                    .filter(peer -> hosts.contains(peer.host) && peer.reachesPeers && !peer.standsStill)
                    .forEach(peer -> peer.queries.receive(datagram));
        }

        void list(String id, String version, long bornMillis) {
            upstreams.put(
                    new UpstreamEntry(id, SERVICE, "10.0.0.1", 80, "a", 6, false, false, bornMillis, version),
                    clusterMillis.get(),
                    nowMillis());
        }

        void remove(String id) {
            upstreams.remove(id, clusterMillis.get() + 1, -SECOND_MILLIS * SECOND_MILLIS, nowMillis());
        }

        void tick() {
            if (standsStill) {
                return;
            }
            origins.tick(nowMillis());
            listedMillis = storeOutage ? listedMillis : nowMillis();
            versions.observe(upstreams.all(), OptionalLong.of(listedMillis), nowMillis());
            recorder.tick(
                    versions.lifetimeMillis() > 0 ? Set.of(SERVICE) : Set.of(),
                    GATEWAYS,
                    running.get(0) == this,
                    nowMillis());
            writer.tick(origins.writeIntervalMillis(), 0, nowMillis());
            if (running.get(0) == this) {
                boolean mayFindChunks = !versions.isComplete()
                        || !versions.mixedServices(nowMillis()).isEmpty();
                cleaner.tick(mayFindChunks, versions.lifetimeMillis(), WRITE_MILLIS, nowMillis());
            }
        }

        void begin(String requestId, String version) {
            origins.recordBeginning(request(requestId, OptionalLong.empty(), Optional.empty()), version, nowMillis());
        }

        AtomicReference<StreamOrigin> startTakingUp(String firstRequestId) {
            AtomicReference<StreamOrigin> found = new AtomicReference<>();
            origins.resolve(
                    request("next-" + firstRequestId, OptionalLong.of(3), Optional.of(firstRequestId)),
                    nowMillis(),
                    found::set);
            return found;
        }

        StreamOrigin takeUp(String firstRequestId) {
            AtomicReference<StreamOrigin> found = startTakingUp(firstRequestId);
            run(SECOND_MILLIS / 2);
            return found.get();
        }
    }

    static StreamRequest request(String id, OptionalLong lastEventId, Optional<String> resumed) {
        boolean isResumption = lastEventId.isPresent();
        return new StreamRequest(
                SERVICE, isResumption ? resumed : Optional.of(id), true, isResumption, false, TIMEOUT_MILLIS);
    }

    void run(long millis) {
        for (long end = clusterMillis.get() + millis; clusterMillis.get() < end; ) {
            clusterMillis.addAndGet(TICK_MILLIS);
            running.forEach(GatewayProcess::tick);
        }
    }

    GatewayProcess startGateway(String name, String... versions) {
        GatewayProcess gateway = new GatewayProcess(name);
        for (String version : versions) {
            gateway.list("i-" + version, version, EPOCH_MILLIS - LIFETIME_MILLIS);
        }
        return gateway;
    }

    void endAllProcesses() {
        running.clear();
        clusterMillis.addAndGet(2 * SECOND_MILLIS);
    }

    List<StoredObject> storedObjects() {
        List<StoredObject> objects = new ArrayList<>();
        store.list(
                ObjectKind.STREAMS,
                "",
                reply -> objects.addAll(reply.value().orElseThrow().objects()));
        return objects;
    }

    List<StoredObject> storedChunks() {
        return storedObjects().stream()
                .filter(object -> !object.name().equals(VersionRecord.NAME))
                .toList();
    }

    Set<String> recordedVersions() {
        return storedObjects().stream()
                .filter(object -> object.name().equals(VersionRecord.NAME))
                .flatMap(object -> VersionRecord.decode(object.content()).orElseThrow().versions(SERVICE).stream())
                .collect(Collectors.toSet());
    }

    static void assertVersion(StreamOrigin origin, String version) {
        assertThat(origin).isNotNull();
        assertThat(origin.version()).as(origin.toString()).contains(version);
    }

    static void assertUnknown(StreamOrigin origin) {
        assertThat(origin).isNotNull();
        assertThat(origin.isResolved()).as(origin.toString()).isFalse();
    }
}
