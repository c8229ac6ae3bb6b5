package org.lovagethread.gateway.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.store.FakeStore;
import org.lovagethread.gateway.store.ObjectKind;
import org.lovagethread.gateway.store.StoredObject;
import org.lovagethread.gateway.upstream.UpstreamEntry;
import org.lovagethread.gateway.upstream.UpstreamTable;
import org.lovagethread.wire.generated.GatewayState;

class StreamOriginsTest {
    private static final long EPOCH_MILLIS = 1_700_000_000_000L;
    private static final long TICK_MILLIS = 20;
    private static final long WRITE_MILLIS = 200;
    private static final long SECOND_MILLIS = 1_000;
    private static final long TIMEOUT_MILLIS = 15_000;
    private static final long LIFETIME_MILLIS = 2 * TIMEOUT_MILLIS;
    private static final int GATEWAYS = 6;
    private static final String SERVICE = "pool";
    private final FakeStore store = new FakeStore();
    private final AtomicLong clusterMillis = new AtomicLong(EPOCH_MILLIS);
    private final List<GatewayProcess> running = new ArrayList<>();

    /** One process of a gateway, whose own clock begins at another time. */
    private final class GatewayProcess {
        private final StreamVersions versions = new StreamVersions();
        private final UpstreamTable upstreams = new UpstreamTable();
        private final long startMillis = clusterMillis.get();
        private final StreamOriginLookup lookup;
        private final StreamOriginStore writer;
        private final StreamOriginCleaner cleaner;
        private final StreamOrigins origins;
        private boolean storeOutage;

        private GatewayProcess(String name) {
            this(name, true);
        }

        private GatewayProcess(String name, boolean isConfigured) {
            if (isConfigured) {
                versions.longestTimeout(TIMEOUT_MILLIS);
            }
            lookup = new StreamOriginLookup(store, clusterMillis::get, processed -> {}, () -> storeOutage);
            writer = new StreamOriginStore(
                    store, versions, name + "-" + clusterMillis, clusterMillis::get, processed -> {});
            cleaner = new StreamOriginCleaner(store, clusterMillis::get, processed -> {});
            origins = new StreamOrigins(versions, upstreams, lookup, () -> GATEWAYS, clusterMillis::get);
            running.add(this);
        }

        private long nowMillis() {
            return clusterMillis.get() - startMillis;
        }

        private void list(String id, String version, long bornMillis) {
            upstreams.put(
                    new UpstreamEntry(id, SERVICE, "10.0.0.1", 80, "a", 6, false, false, bornMillis, version),
                    clusterMillis.get(),
                    nowMillis());
        }

        private void remove(String id) {
            upstreams.remove(id, clusterMillis.get() + 1, -SECOND_MILLIS * SECOND_MILLIS, nowMillis());
        }

        private void tick() {
            origins.tick(nowMillis());
            versions.observe(upstreams.all(), nowMillis());
            writer.tick(origins.writeIntervalMillis(), 0, nowMillis());
            if (running.get(0) == this) {
                boolean mayFindChunks = !versions.isComplete()
                        || !versions.mixedServices(nowMillis()).isEmpty();
                cleaner.tick(mayFindChunks, versions.lifetimeMillis(), WRITE_MILLIS, nowMillis());
            }
        }

        private void begin(String requestId, String version) {
            origins.recordBeginning(request(requestId, OptionalLong.empty(), Optional.empty()), version, nowMillis());
        }

        private AtomicReference<StreamOrigin> startTakingUp(String firstRequestId) {
            AtomicReference<StreamOrigin> found = new AtomicReference<>();
            origins.resolve(
                    request("next-" + firstRequestId, OptionalLong.of(3), Optional.of(firstRequestId)),
                    nowMillis(),
                    found::set);
            return found;
        }

        private StreamOrigin takeUp(String firstRequestId) {
            AtomicReference<StreamOrigin> found = startTakingUp(firstRequestId);
            run(SECOND_MILLIS / 2);
            return found.get();
        }
    }

    private static StreamRequest request(String id, OptionalLong lastEventId, Optional<String> resumed) {
        boolean isResumption = lastEventId.isPresent();
        return new StreamRequest(SERVICE, isResumption ? resumed : Optional.of(id), true, isResumption, TIMEOUT_MILLIS);
    }

    private void run(long millis) {
        for (long end = clusterMillis.get() + millis; clusterMillis.get() < end; ) {
            clusterMillis.addAndGet(TICK_MILLIS);
            running.forEach(GatewayProcess::tick);
        }
    }

    private GatewayProcess startGateway(String name, String... versions) {
        GatewayProcess gateway = new GatewayProcess(name);
        for (String version : versions) {
            gateway.list("i-" + version, version, EPOCH_MILLIS - LIFETIME_MILLIS);
        }
        return gateway;
    }

    private void endAllProcesses() {
        running.clear();
        clusterMillis.addAndGet(2 * SECOND_MILLIS);
    }

    private List<StoredObject> storedObjects() {
        List<StoredObject> objects = new ArrayList<>();
        store.list(
                ObjectKind.STREAMS,
                "",
                reply -> objects.addAll(reply.value().orElseThrow().objects()));
        return objects;
    }

    private static void assertVersion(StreamOrigin origin, String version) {
        assertThat(origin).isNotNull();
        assertThat(origin.version()).as(origin.toString()).contains(version);
    }

    private static void assertUnknown(StreamOrigin origin) {
        assertThat(origin).isNotNull();
        assertThat(origin.isResolved()).as(origin.toString()).isFalse();
    }

    @Nested
    class WithVersionsSideBySide {
        private final GatewayProcess first = startGateway("g-1", "1", "2");
        private final GatewayProcess second = startGateway("g-2", "1", "2");

        // Guards against a stream that another gateway continues at another version.
        @Test
        void streamsAreTakenUpAtTheirVersionAtAnyGateway() {
            first.begin("a", "1");
            first.begin("b", "2");
            run(SECOND_MILLIS);
            assertVersion(second.takeUp("a"), "1");
            assertVersion(second.takeUp("b"), "2");
            assertVersion(first.takeUp("a"), "1");
        }

        @Test
        void streamsAreFoundThatBeganJustBeforeTheyAreTakenUp() {
            run(SECOND_MILLIS);
            first.begin("a", "1");
            assertVersion(second.takeUp("a"), "1");
        }

        @Test
        void streamsAreFoundInEveryChunk() {
            for (int i = 0; i < 80; i++) {
                first.begin("s-" + i, Integer.toString(1 + i % 2));
                run(WRITE_MILLIS);
            }
            run(SECOND_MILLIS);
            assertThat(storedObjects()).hasSizeGreaterThan(2);
            List<AtomicReference<StreamOrigin>> found = new ArrayList<>();
            for (int i = 0; i < 80; i++) {
                found.add(second.startTakingUp("s-" + i));
            }
            run(SECOND_MILLIS / 2);
            for (int i = 0; i < 80; i++) {
                assertVersion(found.get(i).get(), Integer.toString(1 + i % 2));
            }
        }

        @Test
        void unknownStreamsAreRefusedWithinHalfASecond() {
            run(SECOND_MILLIS);
            assertUnknown(second.takeUp("nobody's"));
        }

        @Test
        void unknownStreamsAreRefusedAtOnceWhileTheStoreCannotBeReached() {
            run(SECOND_MILLIS);
            store.setUnavailable(true);
            second.storeOutage = true;
            assertUnknown(second.startTakingUp("nobody's").get());
        }

        @Test
        void streamsAreFoundAfterASingleFailedCall() {
            first.begin("a", "1");
            run(SECOND_MILLIS);
            store.setUnavailable(true);
            AtomicReference<StreamOrigin> found = second.startTakingUp("a");
            store.setUnavailable(false);
            run(SECOND_MILLIS / 2);
            assertVersion(found.get(), "1");
        }

        @Test
        void gatewaysWriteAtMostOnceInAnInterval() {
            for (int i = 0; i < 100; i++) {
                first.begin("s-" + i, "1");
                run(TICK_MILLIS);
            }
            assertThat(first.writer.calls()).isBetween(2L, 100 * TICK_MILLIS / WRITE_MILLIS + 1);
        }

        @Test
        void manySearchesShareAList() {
            run(SECOND_MILLIS);
            for (int i = 0; i < 100; i++) {
                second.startTakingUp("s-" + i);
            }
            run(SECOND_MILLIS);
            assertThat(second.lookup.lists()).isLessThanOrEqualTo(3);
        }

        @Test
        void streamsAreStoredAgainIfTheStoreHasLostThem() {
            first.begin("a", "1");
            run(SECOND_MILLIS);
            storedObjects().forEach(object -> store.remove(ObjectKind.STREAMS, object.name(), reply -> {}));
            first.begin("b", "2");
            run(SECOND_MILLIS);
            assertVersion(second.takeUp("a"), "1");
            assertVersion(second.takeUp("b"), "2");
        }

        @Test
        void streamsAreStoredThatCouldNotBeWhileTheStoreWasAway() {
            store.setUnavailable(true);
            first.begin("a", "1");
            run(3 * SECOND_MILLIS);
            store.setUnavailable(false);
            run(SECOND_MILLIS);
            assertVersion(second.takeUp("a"), "1");
        }

        @Test
        void lostRepliesToWritesDoNoHarm() {
            store.setWriteRepliesDropped(true);
            first.begin("a", "1");
            run(SECOND_MILLIS);
            store.setWriteRepliesDropped(false);
            first.begin("b", "1");
            run(SECOND_MILLIS);
            assertVersion(second.takeUp("a"), "1");
            assertVersion(second.takeUp("b"), "1");
        }

        @Test
        void nothingIsLeftInTheStoreAfterTheEndOfAllProcesses() {
            first.begin("a", "1");
            run(SECOND_MILLIS);
            endAllProcesses();
            startGateway("g-1", "2");
            run(3 * LIFETIME_MILLIS);
            assertThat(storedObjects()).isEmpty();
        }

        @Test
        void nothingIsLeftInTheStoreAfterwards() {
            startGateway("g-3", "1", "2").begin("c", "1");
            first.begin("a", "1");
            run(SECOND_MILLIS);
            running.remove(2);
            first.remove("i-1");
            second.remove("i-1");
            run(3 * LIFETIME_MILLIS);
            assertThat(storedObjects()).isEmpty();
        }
    }

    @Nested
    class WithASingleVersion {
        @Test
        void nothingIsStoredAndNothingIsRefused() {
            GatewayProcess first = startGateway("g-1", "1");
            GatewayProcess second = startGateway("g-2", "1");
            run(LIFETIME_MILLIS + SECOND_MILLIS);
            int lists = store.listCalls();
            first.begin("a", "1");
            run(SECOND_MILLIS);
            assertThat(second.startTakingUp("a").get()).isEqualTo(StreamOrigin.oneVersion(Optional.of("1")));
            assertThat(store.listCalls()).isEqualTo(lists);
            assertThat(first.writer.calls() + second.writer.calls()).isZero();
        }

        @Test
        void streamsThatBeganBeforeAnotherVersionAppearedGoOnAtTheirs() {
            GatewayProcess first = startGateway("g-1", "1");
            GatewayProcess second = startGateway("g-2", "1");
            run(LIFETIME_MILLIS + SECOND_MILLIS);
            first.begin("a", "1");
            run(SECOND_MILLIS);
            first.list("i-2", "2", clusterMillis.get());
            second.list("i-2", "2", clusterMillis.get());
            run(SECOND_MILLIS);
            assertVersion(second.takeUp("a"), "1");
        }

        @Test
        void streamsDoNotGoOnAtTheOnlyVersionIfAnotherOneHasJustLeft() {
            GatewayProcess first = startGateway("g-1", "1", "2");
            GatewayProcess second = startGateway("g-2", "1", "2");
            first.begin("a", "1");
            run(SECOND_MILLIS);
            first.remove("i-1");
            second.remove("i-1");
            run(TIMEOUT_MILLIS);
            assertVersion(second.takeUp("a"), "1");
            assertUnknown(second.takeUp("nobody's"));
        }
    }

    @Nested
    class AfterTheEndOfAllProcesses {
        // Guards against streams joined from two versions after all gateways had lost power.
        @Test
        void streamsGoOnAtTheirVersion() {
            startGateway("g-1", "1", "2").begin("a", "1");
            run(SECOND_MILLIS);
            endAllProcesses();
            GatewayProcess next = startGateway("g-1", "1", "2");
            run(TICK_MILLIS);
            assertVersion(next.takeUp("a"), "1");
            assertUnknown(next.takeUp("nobody's"));
        }

        // Guards against streams of a version that left just before or while no gateway ran.
        @Test
        void streamsDoNotGoOnAtTheOnlyVersionThatIsLeft() {
            startGateway("g-1", "1", "2").begin("a", "1");
            run(SECOND_MILLIS);
            endAllProcesses();
            GatewayProcess next = startGateway("g-1", "2");
            run(TICK_MILLIS);
            assertVersion(next.takeUp("a"), "1");
            assertUnknown(next.takeUp("nobody's"));
        }

        @Test
        void streamsAreRefusedIfTheVersionMayHaveChangedMeanwhile() {
            startGateway("g-1", "1").begin("a", "1");
            run(SECOND_MILLIS);
            endAllProcesses();
            GatewayProcess next = new GatewayProcess("g-1");
            next.list("i-2", "2", clusterMillis.get() - SECOND_MILLIS);
            run(TICK_MILLIS);
            assertUnknown(next.takeUp("a"));
        }

        @Test
        void streamsGoOnIfTheVersionHasBeenTheOnlyOneForLong() {
            startGateway("g-1", "1").begin("a", "1");
            run(SECOND_MILLIS);
            endAllProcesses();
            GatewayProcess next = startGateway("g-1", "1");
            next.list("i-started-now", "1", clusterMillis.get());
            run(TICK_MILLIS);
            assertThat(next.takeUp("a")).isEqualTo(StreamOrigin.oneVersion(Optional.of("1")));
        }

        @Test
        void streamsAreRefusedWhileTheStoreCannotBeReached() {
            startGateway("g-1", "1").begin("a", "1");
            run(SECOND_MILLIS);
            endAllProcesses();
            GatewayProcess next = startGateway("g-1", "1");
            run(TICK_MILLIS);
            store.setUnavailable(true);
            AtomicReference<StreamOrigin> found = next.startTakingUp("a");
            run(SECOND_MILLIS);
            assertUnknown(found.get());
        }
    }

    @Nested
    class AfterAStart {
        private GatewayProcess startBesidePeer(GatewayProcess peer, String... versions) {
            GatewayProcess started = new GatewayProcess("g-2");
            for (String version : versions) {
                started.list("i-" + version, version, clusterMillis.get());
            }
            run(TICK_MILLIS);
            GatewayState.Builder state = GatewayState.newBuilder();
            StreamVersionsCodec.addTo(state, peer.versions);
            StreamVersionsCodec.applyPeer(state.build(), started.versions, started.nowMillis());
            return started;
        }

        @Test
        void whatAPeerKnowsIsAdopted() {
            GatewayProcess peer = startGateway("g-1", "1");
            peer.versions.markComplete();
            run(SECOND_MILLIS);
            GatewayProcess started = startBesidePeer(peer, "1");
            assertThat(started.startTakingUp("a").get()).isEqualTo(StreamOrigin.oneVersion(Optional.of("1")));
            assertThat(store.listCalls()).isZero();
        }

        // Guards against a take-up that is judged before the lifetime of streams is known.
        @Test
        void nothingIsTrustedBeforeTheFirstTick() {
            GatewayProcess started = new GatewayProcess("g-2", false);
            started.list("i-2", "2", clusterMillis.get() - SECOND_MILLIS);
            run(TICK_MILLIS);
            assertUnknown(started.takeUp("a"));
        }

        // Guards against a peer whose list is behind, and which knows one version only.
        @Test
        void aPeerThatKnowsAnotherVersionIsNotTrustedForThisOne() {
            GatewayProcess peer = startGateway("g-1", "1");
            peer.versions.markComplete();
            run(SECOND_MILLIS);
            GatewayProcess started = startBesidePeer(peer, "2");
            assertUnknown(started.takeUp("a"));
            run(LIFETIME_MILLIS / 2);
            assertUnknown(started.takeUp("a"));
        }

        @Test
        void versionsThatOnlyAPeerHasSeenCount() {
            GatewayProcess peer = startGateway("g-1", "1", "2");
            peer.versions.markComplete();
            peer.begin("a", "2");
            run(SECOND_MILLIS);
            GatewayProcess started = startBesidePeer(peer, "1");
            assertVersion(started.takeUp("a"), "2");
            assertUnknown(started.takeUp("nobody's"));
        }

        @Test
        void streamsGoOnIfTheWholeSystemWasStarted() {
            GatewayProcess started = new GatewayProcess("g-1");
            started.versions.markComplete();
            started.list("i-1", "1", clusterMillis.get());
            run(TICK_MILLIS);
            assertThat(started.startTakingUp("a").get()).isEqualTo(StreamOrigin.oneVersion(Optional.of("1")));
        }
    }
}
