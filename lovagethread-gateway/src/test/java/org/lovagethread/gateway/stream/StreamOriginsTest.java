package org.lovagethread.gateway.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.store.ObjectKind;
import org.lovagethread.wire.generated.GatewayState;

class StreamOriginsTest extends StreamOriginsFixture {
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
            assertThat(storedChunks()).hasSizeGreaterThan(2);
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
            assertThat(storedChunks()).isEmpty();
            assertThat(recordedVersions()).containsExactly("2");
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
            assertThat(storedChunks()).isEmpty();
            assertThat(recordedVersions()).containsExactly("2");
        }
    }

    @Nested
    class WithASingleVersion {
        @Test
        void noStreamIsStoredAndNothingIsRefused() {
            GatewayProcess first = startGateway("g-1", "1");
            GatewayProcess second = startGateway("g-2", "1");
            run(LIFETIME_MILLIS + SECOND_MILLIS);
            int lists = store.listCalls();
            long calls = first.recorder.calls() + second.recorder.calls();
            first.begin("a", "1");
            run(SECOND_MILLIS);
            assertThat(store.listCalls()).isEqualTo(lists);
            assertThat(second.startTakingUp("a").get()).isEqualTo(StreamOrigin.oneVersion("1"));
            assertThat(store.listCalls()).isEqualTo(lists + 1);
            assertThat(first.writer.calls() + second.writer.calls()).isZero();
            assertThat(first.recorder.calls() + second.recorder.calls()).isEqualTo(calls);
        }

        @Test
        void theVersionIsWrittenOnceByAllGatewaysTogether() {
            GatewayProcess first = startGateway("g-1", "1");
            GatewayProcess second = startGateway("g-2", "1");
            run(3 * LIFETIME_MILLIS);
            assertThat(first.recorder.calls()).isEqualTo(2);
            assertThat(second.recorder.calls()).isEqualTo(1);
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
            GatewayProcess first = startGateway("g-1", "1");
            first.versions.markComplete();
            first.begin("a", "1");
            run(SECOND_MILLIS);
            endAllProcesses();
            GatewayProcess next = startGateway("g-1", "1");
            next.list("i-started-now", "1", clusterMillis.get());
            run(TICK_MILLIS);
            assertThat(next.takeUp("a")).isEqualTo(StreamOrigin.oneVersion("1"));
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
            StreamVersionsCodec.addTo(state, peer.versions, peer.recorder);
            StreamVersionsCodec.applyPeer(state.build(), started.versions, started.recorder, started.nowMillis());
            return started;
        }

        @Test
        void whatAPeerKnowsIsAdopted() {
            GatewayProcess peer = startGateway("g-1", "1");
            peer.versions.markComplete();
            run(3 * SECOND_MILLIS);
            GatewayProcess started = startBesidePeer(peer, "1");
            assertThat(started.versions.isComplete()).isTrue();
            assertThat(started.startTakingUp("a").get()).isEqualTo(StreamOrigin.oneVersion("1"));
            assertThat(store.listCalls()).isEqualTo(1);
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
            run(3 * SECOND_MILLIS);
            assertThat(started.startTakingUp("a").get()).isEqualTo(StreamOrigin.oneVersion("1"));
        }
    }
}
