package org.lovagethread.gateway.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.config.ServiceSpec;
import org.lovagethread.gateway.config.ServiceSpec.EngineSpec;
import org.lovagethread.gateway.engine.EngineModels;
import org.lovagethread.gateway.policy.Placement.Demand;
import org.lovagethread.gateway.upstream.SpeedSums;
import org.lovagethread.gateway.upstream.Upstream;
import org.lovagethread.gateway.upstream.UpstreamEntry;
import org.lovagethread.gateway.upstream.UpstreamLoad.Work;

class PlacementTest {
    private static final Map<String, String> REGIONS = Map.of("a", "one", "b", "one", "c", "two", "d", "two");
    private static final ServiceSpec POOL =
            new ServiceSpec("pool", 100, Optional.of(new EngineSpec(24, 730_000)), Optional.empty());

    private final List<Upstream> upstreams = new ArrayList<>();

    PlacementTest() {
        for (String zone : List.of("a", "b", "c", "d")) {
            for (int i = 1; i <= 4; i++) {
                UpstreamEntry entry =
                        new UpstreamEntry("i-" + zone + i, "pool", "10.0.0.1", 80, zone, 24, false, false, 1);
                upstreams.add(new Upstream(entry));
            }
        }
    }

    private static Placement gateway(String zone) {
        return new Placement(new ZoneTopology(zone, REGIONS), new EngineModels());
    }

    private static Demand demand(String document, int request) {
        PromptPrefix prefix = PromptPrefix.parse("base:512," + document + ":4870,r" + request + ":6610");
        return new Demand(prefix, 11_992, 1_100);
    }

    private Upstream choose(Placement placement, Demand demand) {
        return placement
                .choose(POOL, upstreams, Set.of(), demand, false, 0)
                .orElseThrow()
                .upstream();
    }

    @Nested
    class SharedPrompts {
        @Test
        void areProcessedOncePerRegionOverAllGateways() {
            Random random = new Random(7);
            List<Placement> gateways = new ArrayList<>();
            for (int i = 0; i < 24; i++) {
                gateways.add(gateway(List.of("a", "b", "c", "d").get(i % 4)));
            }
            Set<String> read = new HashSet<>();
            int reads = 0;
            for (int request = 0; request < 4_000; request++) {
                String document = "d" + random.nextInt(400);
                Placement placement = gateways.get(random.nextInt(gateways.size()));
                Demand demand = demand(document, request);
                Upstream chosen = choose(placement, demand);
                placement.recordSent(demand, chosen);
                reads += read.add(document + '@' + chosen.entry().id()) ? 1 : 0;
            }
            assertThat(reads).isLessThanOrEqualTo(2 * 400);
        }

        @Test
        void stayAtPreferredEngineUnderSlightlyHigherLoad() {
            Upstream preferred = choose(gateway("a"), demand("d1", 1));
            preferred.load().updatePeer("peer", new Work(6, 4, 5_000, 60_000), 0);
            assertThat(choose(gateway("b"), demand("d1", 2))).isEqualTo(preferred);
        }

        @Test
        void leaveOverloadedPreferredEngine() {
            Upstream preferred = choose(gateway("a"), demand("d1", 1));
            preferred.load().updatePeer("peer", new Work(20, 10, 40_000, 200_000), 0);
            assertThat(choose(gateway("b"), demand("d1", 2))).isNotEqualTo(preferred);
        }

        @Test
        void havePreferredEngineInRegionOfGateway() {
            for (int document = 0; document < 50; document++) {
                String zone = choose(gateway("c"), demand("d" + document, document))
                        .entry()
                        .zone();
                assertThat(REGIONS.get(zone)).isEqualTo("two");
            }
        }
    }

    @Nested
    class OtherRegions {
        @Test
        void receiveRequestsWhenLocalRegionIsFull() {
            for (Upstream upstream : upstreams) {
                if (REGIONS.get(upstream.entry().zone()).equals("one")) {
                    upstream.load().updatePeer("peer", new Work(40, 24, 60_000, 400_000), 0);
                }
            }
            String zone = choose(gateway("a"), demand("d1", 1)).entry().zone();
            assertThat(REGIONS.get(zone)).isEqualTo("two");
        }
    }

    @Nested
    class Speeds {
        private static final long LATER_MILLIS = 1_000;

        private void setSpeed(Upstream upstream, double speed, long nowMillis) {
            upstream.speed()
                    .updatePeer(
                            "g",
                            SpeedSums.of(2_000, 2_000 * Math.log(speed), 600).orElseThrow(),
                            nowMillis);
        }

        private List<Upstream> preferred(int documents, long nowMillis) {
            List<Upstream> preferred = new ArrayList<>();
            for (int document = 0; document < documents; document++) {
                preferred.add(gateway("a")
                        .choose(POOL, upstreams, Set.of(), demand("d" + document, document), false, nowMillis)
                        .orElseThrow()
                        .upstream());
            }
            return preferred;
        }

        /** Fails if a fast engine is preferred for as few shared prompts as the others, or takes over all of them. */
        @Test
        void weightPreferredEngines() {
            List<Upstream> local = List.copyOf(upstreams.subList(0, 4));
            upstreams.subList(4, upstreams.size()).clear();
            setSpeed(local.get(0), 2, 0);
            long toFast = preferred(2_000, 0).stream()
                    .filter(upstream -> upstream.equals(local.get(0)))
                    .count();
            assertThat(toFast / 2_000.0).isBetween(0.33, 0.5);
        }

        /** Fails if a change of one engine's speed moves shared prompts between other engines. */
        @Test
        void moveOnlyPromptsOfTheChangedEngine() {
            List<Upstream> before = preferred(500, 0);
            setSpeed(upstreams.get(0), 1.6, 0);
            List<Upstream> after = preferred(500, LATER_MILLIS);
            for (int i = 0; i < before.size(); i++) {
                assertThat(after.get(i)).isIn(before.get(i), upstreams.get(0));
            }
        }

        /** Fails if queued prompts are assumed to take as long at a fast engine as at a slow one. */
        @Test
        void shortenPredictedTimes() {
            upstreams.subList(2, upstreams.size()).clear();
            setSpeed(upstreams.get(0), 2, 0);
            for (Upstream upstream : upstreams) {
                upstream.load().updatePeer("peer", new Work(10, 5, 30_000, 100_000), 0);
            }
            Placement.Choice choice = gateway("a")
                    .choose(POOL, upstreams, Set.of(), demand("d1", 1), false, 0)
                    .orElseThrow();
            assertThat(choice.upstream()).isEqualTo(upstreams.get(0));
        }
    }
}
