package org.lovagethread.gateway.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.CrossZoneSettings;
import org.lovagethread.gateway.config.ServiceSpec;
import org.lovagethread.gateway.engine.EngineModels;
import org.lovagethread.gateway.policy.CrossZoneRouting.ChangeKind;
import org.lovagethread.gateway.policy.Placement.Demand;
import org.lovagethread.gateway.upstream.Upstream;
import org.lovagethread.gateway.upstream.UpstreamEntry;
import org.lovagethread.gateway.upstream.UpstreamLoad.Work;

class CrossZoneRoutingTest {
    private static final Map<String, String> REGIONS = Map.of("a", "one", "b", "one", "c", "two");
    private static final String SERVICE = "stock";
    private static final ServiceSpec STOCK = new ServiceSpec(SERVICE, 100, Optional.empty(), Optional.empty());
    private static final int SLOTS = 6;
    private static final double RESPONSE_MILLIS = 100;
    private static final long INTERVAL_MILLIS = 50;

    private final List<Upstream> upstreams = new ArrayList<>();
    private final CrossZoneRouting routing = routing(true, 1);
    private final Placement placement = placement(routing);
    private long nowMillis = 1_000;

    CrossZoneRoutingTest() {
        for (String zone : List.of("a", "b", "c")) {
            for (int i = 1; i <= 4; i++) {
                UpstreamEntry entry =
                        new UpstreamEntry("i-" + zone + i, SERVICE, "10.0.0.1", 80, zone, SLOTS, false, false, 1);
                Upstream upstream = new Upstream(entry);
                upstreams.add(upstream);
            }
        }
    }

    private static CrossZoneRouting routing(boolean enabled, long seed) {
        return new CrossZoneRouting(new ZoneTopology("a", REGIONS), new CrossZoneSettings(enabled, 21e6), seed);
    }

    private static Placement placement(CrossZoneRouting routing) {
        return new Placement(new ZoneTopology("a", REGIONS), models(), routing);
    }

    /** Returns models that have learned the time of a response. */
    private static EngineModels models() {
        EngineModels models = new EngineModels();
        for (int i = 0; i < 100; i++) {
            models.of(SERVICE).speedBaseline().record(RESPONSE_MILLIS);
        }
        return models;
    }

    private void load(String zone, int inFlight) {
        for (Upstream upstream : upstreams) {
            if (upstream.entry().zone().equals(zone)) {
                upstream.load().updatePeer("peer", new Work(inFlight, 0, 0, 0), nowMillis);
            }
        }
    }

    /** Places requests for some time and returns the zones that they were sent to. */
    private List<String> play(Placement policy, int requests, Map<String, Integer> inFlightByZone) {
        List<String> sentTo = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            inFlightByZone.forEach(this::load);
            REGIONS.keySet().forEach(zone -> policy.routing().traffic().recordHeard(zone, nowMillis));
            sentTo.add(policy.choose(STOCK, upstreams, Set.of(), Demand.PLAIN, false, nowMillis)
                    .orElseThrow()
                    .upstream()
                    .entry()
                    .zone());
            nowMillis += INTERVAL_MILLIS;
        }
        return sentTo;
    }

    @Nested
    class Requests {
        /** Guards against requests that leave a zone whose own upstreams suffice. */
        @Test
        void stayWhileOwnUpstreamsSuffice() {
            assertThat(play(placement, 200, Map.of("a", SLOTS / 2, "b", 0, "c", 0)))
                    .containsOnly("a");
        }

        /** Guards against a zone that is overloaded while its neighbour is idle. */
        @Test
        void leaveForNeighbourFirst() {
            List<String> sentTo = play(placement, 400, Map.of("a", 3 * SLOTS, "b", 1, "c", 1));
            long toNeighbour = sentTo.stream().filter("b"::equals).count();
            assertThat(toNeighbour).isGreaterThan(100);
            assertThat(sentTo.stream().filter("c"::equals).count()).isLessThan(toNeighbour);
            assertThat(sentTo.subList(0, 20)).containsOnly("a");
        }

        /** Guards against requests that leave for zones that are as full as their own. */
        @Test
        void stayIfAllZonesAreFull() {
            assertThat(play(placement, 400, Map.of("a", 3 * SLOTS, "b", 3 * SLOTS, "c", 3 * SLOTS)))
                    .containsOnly("a");
        }

        /** Guards against callers that wait for a share to rise although their zone has no upstream at all. */
        @Test
        void leaveAtOnceWithoutOwnUpstream() {
            upstreams.removeIf(upstream -> upstream.entry().zone().equals("a"));
            assertThat(play(placement, 20, Map.of("b", 0, "c", 0))).containsOnly("b");
        }

        /** Guards against requests that wait for one of a few own upstreams while those of the neighbour are idle. */
        @Test
        void leaveByCostIfOwnUpstreamsAreFew() {
            upstreams.removeIf(
                    upstream -> Set.of("i-a3", "i-a4").contains(upstream.entry().id()));
            assertThat(play(placement, 20, Map.of("a", SLOTS, "b", 0, "c", 0))).containsOnly("b");
        }

        /** Guards against a zone that stays overloaded while others with capacity to spare await the rise of a share. */
        @Test
        void overflowOnceOwnUpstreamsAreSaturated() {
            List<String> sentTo = play(placement, 200, Map.of("a", 3 * SLOTS, "b", 0, "c", 0));
            assertThat(sentTo.subList(140, 200).stream().filter("b"::equals).count())
                    .isGreaterThan(30);
        }

        /** Guards against a retry that is held in a zone whose upstreams were all tried. */
        @Test
        void leaveAtOnceIfAllOwnUpstreamsWereTried() {
            Set<String> tried = new HashSet<>(Set.of("i-a1", "i-a2", "i-a3", "i-a4"));
            assertThat(placement
                            .choose(STOCK, upstreams, tried, Demand.PLAIN, false, nowMillis)
                            .orElseThrow()
                            .upstream()
                            .entry()
                            .zone())
                    .isEqualTo("b");
        }

        /** Guards against a difference from the former fixed costs while the control is switched off. */
        @Test
        void followFixedCostsIfSwitchedOff() {
            Placement fixed = placement(routing(false, 1));
            Placement former = new Placement(new ZoneTopology("a", REGIONS), models());
            Map<String, Integer> load = Map.of("a", 2, "b", 0, "c", 0);
            assertThat(play(fixed, 50, load)).isEqualTo(play(former, 50, load)).containsOnly("b");
        }
    }

    @Nested
    class Shares {
        /** Guards against gateways that leave at the same moments because they draw the same numbers. */
        @Test
        void areDrawnDifferentlyByEachGateway() {
            Map<String, Integer> load = Map.of("a", 3 * SLOTS, "b", 1, "c", 1);
            List<String> first = play(placement, 200, load);
            nowMillis = 1_000;
            List<String> second = play(placement(routing(true, 2)), 200, load);
            nowMillis = 1_000;
            assertThat(second).isNotEqualTo(first);
            assertThat(play(placement(routing(true, 1)), 200, load)).isEqualTo(first);
        }

        /** Guards against shares whose start and end cannot be followed in the log. */
        @Test
        void areReported() {
            play(placement, 200, Map.of("a", 3 * SLOTS, "b", 1, "c", 1));
            assertThat(routing.share(SERVICE, "b")).isPositive();
            assertThat(routing.takeChanges())
                    .extracting(CrossZoneRouting.Change::kind)
                    .contains(ChangeKind.STARTED, ChangeKind.CHANGED);
            assertThat(routing.traffic().report()).anyMatch(flow -> flow.zone().equals("b") && flow.share() > 0);
            play(placement, 200, Map.of("a", 1, "b", 1, "c", 1));
            assertThat(routing.share(SERVICE, "b")).isZero();
            assertThat(routing.takeChanges())
                    .extracting(CrossZoneRouting.Change::kind)
                    .contains(ChangeKind.ENDED);
        }

        /** Guards against a reported share that remains when a service has no requests any more. */
        @Test
        void endWithoutRequests() {
            play(placement, 200, Map.of("a", 3 * SLOTS, "b", 1, "c", 1));
            for (int i = 0; i < 20; i++) {
                nowMillis += 2_000;
                routing.tick(nowMillis);
            }
            assertThat(routing.share(SERVICE, "b")).isZero();
        }
    }
}
