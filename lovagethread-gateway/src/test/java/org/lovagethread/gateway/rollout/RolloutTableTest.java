package org.lovagethread.gateway.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.policy.ZoneTopology;
import org.lovagethread.gateway.upstream.Upstream;
import org.lovagethread.gateway.upstream.UpstreamEntry;

class RolloutTableTest {
    private static final RolloutTable.RequestKind FIRST = new RolloutTable.RequestKind(true, true);

    private final RolloutTable table = table(Optional.of(new RolloutBounds(0.1, 0, 5_000)));
    private final List<Upstream> upstreams = new ArrayList<>();

    private static RolloutTable table(Optional<RolloutBounds> bounds) {
        return new RolloutTable(
                bounds,
                new ZoneTopology("a", Map.of("a", "r")),
                "g",
                () -> 0,
                new RolloutLog(new EventLog("g", new ByteArrayOutputStream())));
    }

    private void add(String version, int count) {
        for (int i = 0; i < count; i++) {
            String id = version + '-' + i;
            upstreams.add(
                    new Upstream(new UpstreamEntry(id, "desk", "10.0.0.1", 80, "a", 6, false, false, 1, version)));
        }
    }

    private List<String> versions(RolloutTable from, long nowMillis) {
        return from.candidates("desk", upstreams, FIRST, nowMillis).preferred().stream()
                .map(upstream -> upstream.entry().version())
                .distinct()
                .toList();
    }

    private static RolloutOrder order(String target) {
        return new RolloutOrder("desk", target, 10_000, false, Optional.empty());
    }

    /** Guards against a deployment without rollouts whose requests are restricted. */
    @Test
    void withoutLimitsAllVersionsServe() {
        RolloutTable disabled = table(Optional.empty());
        add("v1", 2);
        add("v2", 2);
        disabled.applyOrder(order("v2"), 5, 0);
        assertThat(versions(disabled, 0)).containsExactly("v1", "v2");
        assertThat(disabled.services()).isEmpty();
    }

    @Nested
    class NewVersions {
        /** Guards against requests to a new version whose order arrives after its entries. */
        @Test
        void areHeldBackForTwoSeconds() {
            add("v1", 2);
            assertThat(versions(table, 0)).containsExactly("v1");
            add("v2", 2);
            assertThat(versions(table, 1_000)).containsExactly("v1");
            assertThat(versions(table, 2_900)).containsExactly("v1");
            assertThat(versions(table, 3_000)).containsExactly("v1", "v2");
        }

        /** Guards against a service without upstreams because its only version is new. */
        @Test
        void serveIfNoOthersAreLeft() {
            add("v1", 2);
            versions(table, 0);
            upstreams.clear();
            add("v2", 2);
            assertThat(versions(table, 10)).containsExactly("v2");
        }
    }

    @Nested
    class CanaryStages {
        /** Guards against a share that a gateway exceeds on its own, whatever its peers do. */
        @Test
        void stayWithinTheShareOfTheGateway() {
            add("v1", 4);
            add("v2", 4);
            table.applyOrder(order("v2"), 5, 0);
            int target = 0;
            int requests = 0;
            for (long now = 0; now < 15_000; now += 5) {
                Upstream upstream = table.candidates("desk", upstreams, FIRST, now)
                        .preferred()
                        .get(0);
                table.recordSent("desk", "r", upstream, true);
                requests++;
                target += upstream.entry().version().equals("v2") ? 1 : 0;
                assertThat(target).isLessThanOrEqualTo((int) (0.08 * requests) + 1);
            }
            assertThat(target).isGreaterThan(50);
        }

        /** Guards against an unavailable service because the old upstreams are gone before the verdict. */
        @Test
        void useTheTargetIfNoOldUpstreamIsLeft() {
            add("v2", 2);
            table.applyOrder(order("v2"), 5, 0);
            assertThat(versions(table, 0)).containsExactly("v2");
        }

        /** Guards against retries that increase the exposure. */
        @Test
        void sendNoRetriesToTheTarget() {
            add("v1", 2);
            add("v2", 2);
            table.applyOrder(order("v2"), 5, 0);
            RolloutTable.RequestKind retry = new RolloutTable.RequestKind(false, true);
            for (long now = 0; now < 10_000; now += 50) {
                assertThat(table.candidates("desk", upstreams, retry, now).preferred())
                        .allMatch(upstream -> upstream.entry().version().equals("v1"));
            }
        }

        /** Guards against gateways that choose different canaries, so that none has the load of an old upstream. */
        @Test
        void useTheSameFewCanariesWhateverTheOrderOfTheEntries() {
            add("v2", 20);
            Rollout rollout = new Rollout("desk", "v2", 1, 10_000, 10_000);
            List<Upstream> canaries = CanaryPlan.canaries(rollout, upstreams);
            List<Upstream> reversed = new ArrayList<>(upstreams);
            Collections.reverse(reversed);
            assertThat(CanaryPlan.canaries(rollout, reversed)).isEqualTo(canaries);
            assertThat(canaries).hasSize(3);
        }
    }

    @Nested
    class StreamsThatGoOn {
        private List<String> continuing(String version, long nowMillis) {
            return table.continuing("desk", upstreams, version, nowMillis).preferred().stream()
                    .map(upstream -> upstream.entry().version())
                    .distinct()
                    .toList();
        }

        /** Guards against streams joined from two versions. */
        @Test
        void doSoOnlyAtTheirVersion() {
            add("v1", 2);
            add("v2", 2);
            assertThat(continuing("v1", 0)).containsExactly("v1");
            assertThat(continuing("v2", 0)).containsExactly("v2");
            assertThat(continuing("v3", 0)).isEmpty();
            table.applyOrder(order("v2"), 5, 0);
            assertThat(continuing("v1", 0)).containsExactly("v1");
        }

        /** Guards against resumed streams that exceed the share of the target version. */
        @Test
        void stayWithinTheShareOfTheGatewayAtTheTarget() {
            add("v1", 4);
            add("v2", 4);
            table.applyOrder(order("v2"), 5, 0);
            int target = 0;
            for (int requests = 1; requests <= 1_000; requests++) {
                List<Upstream> same =
                        table.continuing("desk", upstreams, "v2", requests).preferred();
                Upstream upstream = same.isEmpty() ? upstreams.get(0) : same.get(0);
                table.recordSent("desk", "r", upstream, true);
                target += same.isEmpty() ? 0 : 1;
                assertThat(target).isLessThanOrEqualTo((int) (0.1 * requests) + 1);
            }
            assertThat(target).isGreaterThan(50);
        }

        /** Guards against resumed streams at a version that lost its rollout. */
        @Test
        void areNotSentToALosingVersion() {
            add("v1", 2);
            add("v2", 2);
            table.applyOrder(order("v2"), 5, 0);
            table.advance("desk", RolloutStage.ROLLED_BACK, 10);
            assertThat(continuing("v2", 20)).isEmpty();
            assertThat(continuing("v1", 20)).containsExactly("v1");
        }
    }

    @Nested
    class Ends {
        /** Guards against requests to the losing version after the end, also during the next rollout. */
        @Test
        void excludeTheLosingVersion() {
            add("v1", 2);
            add("v2", 2);
            table.applyOrder(order("v2"), 5, 0);
            versions(table, 0);
            table.advance("desk", RolloutStage.ROLLED_BACK, 1_000);
            assertThat(versions(table, 9_000)).containsExactly("v1");
            add("v3", 2);
            table.applyOrder(order("v3"), 9, 9_000);
            assertThat(versions(table, 9_000)).containsExactly("v1");
            table.advance("desk", RolloutStage.COMPLETED, 9_500);
            assertThat(versions(table, 9_500)).containsExactly("v3");
        }

        /** Guards against traffic to a version that was not judged by the deadline, if the store is away. */
        @Test
        void areAssumedAtTheDeadline() {
            add("v1", 2);
            add("v2", 2);
            table.applyOrder(order("v2"), 5, 0);
            table.advance("desk", RolloutStage.SHIFTING, 7_000);
            assertThat(versions(table, 9_999)).containsExactly("v2");
            assertThat(versions(table, 10_000)).containsExactly("v1");
        }

        /** Guards against a late report that takes a rollout back to an earlier stage. */
        @Test
        void areNotRevertedByLateReports() {
            table.applyOrder(order("v2"), 5, 0);
            Rollout rollout = table.find("desk").orElseThrow();
            table.advance("desk", RolloutStage.COMPLETED, 100);
            table.applyReport("p", new RolloutReport(rollout, RolloutStage.CANARY, 0, new VersionStatistics()), 200);
            table.applyReport(
                    "p", new RolloutReport(rollout, RolloutStage.ROLLED_BACK, 0, new VersionStatistics()), 200);
            assertThat(table.stage("desk")).contains(RolloutStage.COMPLETED);
        }
    }

    @Nested
    class Reports {
        /** Guards against gateways that do not watch the store and never learn of an order or its deadline. */
        @Test
        void makeAnOrderKnown() {
            add("v1", 2);
            add("v2", 2);
            Rollout rollout = new Rollout("desk", "v2", 7, 10_000, 4_000);
            table.applyReport("p", new RolloutReport(rollout, RolloutStage.CANARY, 0, new VersionStatistics()), 0);
            table.applyOrder(order("v2"), 7, 100);
            assertThat(table.find("desk").orElseThrow().deadlineMillis()).isEqualTo(4_000);
        }

        /** Guards against a successor that completes a version that its peers have already found bad. */
        @Test
        void ofManyStoppedGatewaysStopThisOne() {
            table.tick(6, -1_000);
            table.applyOrder(order("v2"), 5, 0);
            Rollout rollout = table.find("desk").orElseThrow();
            RolloutReport stopped = new RolloutReport(rollout, RolloutStage.CANARY, 1, new VersionStatistics());
            table.applyReport("p1", stopped, 10);
            table.tick(6, 300);
            assertThat(table.nextStage("desk", 300)).isEmpty();
            table.applyReport("p2", stopped, 310);
            table.tick(6, 600);
            assertThat(table.nextStage("desk", 600)).contains(RolloutStage.ROLLED_BACK);
        }
    }
}
