package org.lovagethread.gateway.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class BrittleUpstreamsTest {
    private static final int SLOTS = 8;
    private static final long ADOPTED_MILLIS = 1_000;

    private final UpstreamTable table = new UpstreamTable();
    private final BrittleUpstreams brittle = table.brittle();
    private long now = 10_000;

    private static UpstreamEntry entry(String id, String service, long startedAtMillis) {
        return new UpstreamEntry(id, service, "10.0.0.1", 80, "a", SLOTS, false, false, startedAtMillis);
    }

    private Upstream add(String id, long startedAtMillis) {
        table.put(entry(id, "desk", startedAtMillis), 1, now);
        return table.find(id).orElseThrow();
    }

    private Upstream addInUse(String id) {
        Upstream upstream = add(id, 1);
        upstream.recordReceived(now);
        return upstream;
    }

    private void state(Upstream upstream, int maxRejections) {
        brittle.recordResponse(upstream, BrittleNotice.stated(maxRejections), now);
    }

    private void divide(int gateways) {
        brittle.divide(table.all(), new BrittleUpstreams.Cluster("g-0", gateways, 150, now), service -> 0, now);
    }

    private boolean hasRoom(Upstream upstream) {
        return !brittle.withRoom(List.of(upstream), now).isEmpty();
    }

    /** Fills the room of an upstream, and returns the number of requests that were sent. */
    private int fill(Upstream upstream) {
        int sent = 0;
        while (sent < 1_000 && hasRoom(upstream)) {
            upstream.load().recordStart(0, 0);
            sent++;
        }
        return sent;
    }

    private static BrittleReport report(Upstream upstream, long ageMillis, int rejections, int claim) {
        return new BrittleReport(upstream.entry().process(), 4, ageMillis, rejections, claim, 0, claim, SLOTS, 1);
    }

    private void divideUntilSettled(int gateways) {
        for (int i = 0; i < 8; i++) {
            divide(gateways);
            now += 140;
        }
    }

    @Nested
    class Statements {
        private Upstream upstream;

        @BeforeEach
        void addUpstream() {
            upstream = addInUse("i-1");
        }

        @Test
        void limitTheRequestsToTheSlots() {
            state(upstream, 3);
            divideUntilSettled(1);
            assertThat(fill(upstream)).isEqualTo(SLOTS);
        }

        @Test
        void doNotConcernOtherServices() {
            state(upstream, 3);
            table.put(entry("i-2", "shop", 1), 1, now);
            divideUntilSettled(1);
            assertThat(fill(table.find("i-2").orElseThrow())).isEqualTo(1_000);
        }

        @Test
        void leaveUpstreamsAloneThatAreNotBrittle() {
            List<Upstream> upstreams = List.of(upstream);
            brittle.recordResponse(upstream, BrittleNotice.NONE, now);
            brittle.recordRejection(upstream.entry(), now);
            brittle.applyPeer("g-1", List.of(), table, now);
            divide(1);
            assertThat(brittle.withRoom(upstreams, now)).isSameAs(upstreams);
            assertThat(brittle.withoutBrittle(upstreams, now)).isSameAs(upstreams);
            assertThat(brittle.reports(now)).isEmpty();
            assertThat(brittle.takeUnreported()).isEmpty();
        }

        @Test
        void thatAreMalformedCountAsZeroOrAsTheLastNumber() {
            brittle.recordResponse(upstream, BrittleNotice.MALFORMED, now);
            assertThat(brittle.reports(now))
                    .extracting(BrittleReport::maxRejections)
                    .containsExactly(0);
            state(upstream, 5);
            brittle.recordResponse(upstream, BrittleNotice.MALFORMED, now);
            assertThat(brittle.reports(now))
                    .extracting(BrittleReport::maxRejections)
                    .containsExactly(5);
            assertThat(brittle.malformedNotices()).isEqualTo(2);
        }

        @Test
        void areForgottenWhenResponsesCeaseToContainThem() {
            state(upstream, 3);
            brittle.recordResponse(upstream, BrittleNotice.NONE, now + 10);
            assertThat(brittle.isEmpty()).isFalse();
            now += 600;
            brittle.recordResponse(upstream, BrittleNotice.NONE, now);
            assertThat(brittle.isEmpty()).isTrue();
            assertThat(fill(upstream)).isEqualTo(1_000);
        }

        /** Guards against gateways that tell each other for ever what the upstream has ceased to say. */
        @Test
        void doNotReturnFromAPeerOnceForgotten() {
            state(upstream, 3);
            now += 600;
            brittle.recordResponse(upstream, BrittleNotice.NONE, now);
            now += 100;
            brittle.applyPeer("g-1", List.of(report(upstream, 300, 0, 2)), table, now);
            assertThat(brittle.isEmpty()).isTrue();
            brittle.applyPeer("g-1", List.of(report(upstream, 20, 0, 2)), table, now);
            assertThat(brittle.isEmpty()).isFalse();
        }

        @Test
        void areForgottenAfterALongTimeWithoutAResponse() {
            state(upstream, 3);
            now += 30_000;
            divide(1);
            assertThat(brittle.isEmpty()).isTrue();
        }

        @Test
        void areLoggedOnlyWhenTheyChange() {
            state(upstream, 3);
            state(upstream, 3);
            state(upstream, 4);
            now += 600;
            brittle.recordResponse(upstream, BrittleNotice.NONE, now);
            assertThat(brittle.takeUnreported())
                    .extracting(BrittleUpstreams.Change::kind)
                    .containsExactly(
                            BrittleUpstreams.ChangeKind.STATED,
                            BrittleUpstreams.ChangeKind.STATED,
                            BrittleUpstreams.ChangeKind.ENDED);
        }
    }

    @Nested
    class Returns {
        /** Guards against a burst at a process of which nothing is known but the number of the others of its service. */
        @Test
        void ofAnUpstreamBeginWithFewRequests() {
            state(addInUse("i-1"), 3);
            divideUntilSettled(1);
            Upstream returned = add("i-1", 2);
            divide(1);
            now += 150;
            assertThat(fill(returned)).isBetween(1, SLOTS / 2);
        }

        /** Guards against a gateway that knows nothing and fills the room that its peers use. */
        @Test
        void ofAGatewayTakeOnlyRoomThatNobodyClaims() {
            Upstream upstream = add("i-1", 1);
            brittle.applyPeer("g-1", List.of(report(upstream, 20, 0, SLOTS - 2)), table, now);
            assertThat(hasRoom(upstream)).isFalse();
            divideUntilSettled(2);
            assertThat(fill(upstream)).isBetween(1, 2);
        }
    }

    @Nested
    class Rejections {
        private Upstream upstream;

        @BeforeEach
        void addUpstream() {
            upstream = addInUse("i-1");
            state(upstream, 4);
            divideUntilSettled(1);
            now += ADOPTED_MILLIS;
        }

        @Test
        void pauseTheUpstreamForASecondWhenHalfOfTheNumberIsUsedUp() {
            brittle.recordRejection(upstream.entry(), now);
            assertThat(hasRoom(upstream)).isTrue();
            brittle.recordRejection(upstream.entry(), now);
            assertThat(hasRoom(upstream)).isFalse();
            now += 1_000;
            assertThat(hasRoom(upstream)).isTrue();
        }

        @Test
        void ofPeersCountToo() {
            brittle.recordRejection(upstream.entry(), now);
            brittle.applyPeer("g-1", List.of(report(upstream, 20, 1, 0)), table, now);
            assertThat(hasRoom(upstream)).isFalse();
        }

        @Test
        void reduceTheRoom() {
            brittle.recordRejection(upstream.entry(), now);
            now += 1_000;
            divideUntilSettled(1);
            assertThat(fill(upstream)).isLessThan(SLOTS);
        }
    }

    @Nested
    class Claims {
        private Upstream upstream;

        @BeforeEach
        void addUpstream() {
            upstream = addInUse("i-1");
            state(upstream, 0);
            now += ADOPTED_MILLIS;
        }

        @Test
        void growOnlyAfterThePeersHadTimeToObject() {
            brittle.applyPeer("g-1", List.of(report(upstream, 20, 0, 0)), table, now);
            divide(2);
            now += 149;
            assertThat(hasRoom(upstream)).isFalse();
            now += 1;
            assertThat(hasRoom(upstream)).isTrue();
        }

        @Test
        void areWithdrawnIfAPeerClaimsTheSameRoom() {
            brittle.applyPeer("g-1", List.of(report(upstream, 20, 0, 0)), table, now);
            divide(2);
            brittle.applyPeer("g-1", List.of(report(upstream, 20, 0, SLOTS)), table, now);
            now += 140;
            divide(2);
            now += 10;
            assertThat(hasRoom(upstream)).isFalse();
        }

        @Test
        void leaveAnEqualShareToPeersThatAreNotHeard() {
            divideUntilSettled(4);
            assertThat(fill(upstream)).isEqualTo(SLOTS / 4);
        }

        @Test
        void areReducedToSingleRequestsIfTheShareIsLessThanOne() {
            divideUntilSettled(SLOTS * 2);
            now += 2_000;
            assertThat(hasRoom(upstream)).isTrue();
            brittle.recordSent(upstream.entry(), now);
            now += 1_000;
            assertThat(hasRoom(upstream)).isFalse();
            now += 1_000;
            assertThat(hasRoom(upstream)).isTrue();
        }
    }
}
