package org.lovagethread.gateway.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.store.FakeStore;
import org.lovagethread.gateway.upstream.Upstream;

class StreamOriginProofTest extends StreamOriginsFixture {
    /** A gateway that stands still, or is cut off, while upstreams of another version join. */
    @Nested
    class OutOfStep {
        private final GatewayProcess first = startGateway("g-1", "1");
        private final GatewayProcess second = startGateway("g-2", "1");

        @BeforeEach
        void letTheSecondGatewayMissTheOtherVersion() {
            first.versions.markComplete();
            second.versions.markComplete();
            run(3 * SECOND_MILLIS);
            second.standsStill = true;
            first.list("i-2", "2", clusterMillis.get());
            run(SECOND_MILLIS);
            first.begin("a", "2");
        }

        // Guards against a stream that goes on at the version of an outdated list.
        @Test
        void streamsGoOnAtTheVersionThatTheStoreHas() {
            run(SECOND_MILLIS);
            second.standsStill = false;
            assertVersion(second.takeUp("a"), "2");
        }

        @Test
        void streamsGoOnAtTheVersionThatAPeerTellsWhileTheStoreIsAway() {
            first.reachesPeers = true;
            second.reachesPeers = true;
            second.standsStill = false;
            store.setUnavailable(true);
            second.storeOutage = true;
            StreamOrigin origin = second.startTakingUp("a").get();
            assertVersion(origin, "2");
            assertThat(origin.source()).isEqualTo(StreamOrigin.Source.PEER);
        }

        @Test
        void streamsAreRefusedThatNeitherAPeerNorTheStoreKnows() {
            running.remove(first);
            second.standsStill = false;
            assertUnknown(second.takeUp("a"));
        }

        @Test
        void streamsAreRefusedAtOnceWhileTheGatewayHearsNobody() {
            second.standsStill = false;
            store.setUnavailable(true);
            second.storeOutage = true;
            assertUnknown(second.startTakingUp("a").get());
        }

        @Test
        void peersThatDoNotReplyAreNotWaitedForLong() {
            first.reachesPeers = true;
            second.reachesPeers = true;
            second.standsStill = false;
            run(SECOND_MILLIS);
            first.standsStill = true;
            assertVersion(second.takeUp("a"), "2");
        }
    }

    @Nested
    class WhatTheStoreHasLost {
        private final GatewayProcess first = startGateway("g-1", "1");

        @BeforeEach
        void recordTheOnlyVersion() {
            first.versions.markComplete();
            run(3 * SECOND_MILLIS);
        }

        private List<String> beginnable() {
            List<Upstream> all = List.copyOf(first.upstreams.all());
            return first
                    .origins
                    .beginnable(request("b", OptionalLong.empty(), Optional.empty()), all, first.nowMillis())
                    .stream()
                    .map(upstream -> upstream.entry().version())
                    .toList();
        }

        // Guards against a stream that goes on at the version that is left after all gateways have ended.
        @Test
        void streamsAreRefusedThatBeganWhileTheStoreWasAway() {
            store.setUnavailable(true);
            first.list("i-2", "2", clusterMillis.get());
            run(LIFETIME_MILLIS);
            assertThat(beginnable()).containsExactly("1");
            first.begin("a", "1");
            run(SECOND_MILLIS);
            endAllProcesses();
            store.setUnavailable(false);
            GatewayProcess next = new GatewayProcess("g-1");
            next.list("i-2", "2", EPOCH_MILLIS);
            run(TICK_MILLIS);
            assertUnknown(next.takeUp("a"));
        }

        @Test
        void streamsMayBeginAtAnotherVersionOnceItIsRecorded() {
            first.list("i-2", "2", clusterMillis.get());
            run(SECOND_MILLIS);
            assertThat(beginnable()).containsExactly("1", "2");
            assertThat(recordedVersions()).containsExactlyInAnyOrder("1", "2");
        }

        // Guards against a stream at a version that is not recorded yet, where all upstreams change at once.
        @Test
        void streamsWaitUntilTheOnlyVersionIsRecorded() {
            first.list("i-2", "2", clusterMillis.get());
            first.remove("i-1");
            first.versions.observe(first.upstreams.all(), OptionalLong.of(first.nowMillis()), first.nowMillis());
            store.setUnavailable(true);
            run(2 * TICK_MILLIS);
            assertThat(beginnable()).isEmpty();
            store.setUnavailable(false);
            run(SECOND_MILLIS / 2);
            assertThat(beginnable()).containsExactly("2");
            assertThat(recordedVersions()).contains("2");
        }

        @Test
        void streamsMayBeginAtAnUnrecordedVersionIfThereIsNoOtherAndTheStoreIsAway() {
            store.setUnavailable(true);
            first.list("i-2", "2", clusterMillis.get());
            first.remove("i-1");
            run(SECOND_MILLIS / 2);
            assertThat(beginnable()).isEmpty();
            run(SECOND_MILLIS);
            assertThat(beginnable()).containsExactly("2");
        }

        // Guards against a store that has come back from a copy of before a version appeared.
        @Test
        void streamsAreRefusedThatBeganAfterTheCopyFromWhichTheStoreCameBack() {
            FakeStore.Copy copy = store.copy();
            first.list("i-2", "2", clusterMillis.get());
            run(SECOND_MILLIS);
            first.begin("a", "2");
            run(SECOND_MILLIS);
            store.restore(copy);
            endAllProcesses();
            GatewayProcess next = startGateway("g-1", "1");
            run(TICK_MILLIS);
            assertUnknown(next.takeUp("a"));
            run(LIFETIME_MILLIS / 2);
            assertUnknown(next.takeUp("a"));
        }

        @Test
        void streamsGoOnSoonAfterARestoreIfAGatewayHasRun() {
            store.restore(store.copy());
            run(3 * SECOND_MILLIS);
            GatewayProcess second = startGateway("g-2", "1");
            run(TICK_MILLIS);
            assertVersion(second.takeUp("a"), "1");
        }
    }
}
