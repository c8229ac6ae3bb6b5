package org.lovagethread.gateway.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.policy.ZoneTopology;
import org.lovagethread.gateway.upstream.Upstream;
import org.lovagethread.gateway.upstream.UpstreamEntry;

/** Orders that replace others, and gateways that learn of a rollout late. */
class RolloutTableOrdersTest {
    private static final long DURATION = 10_000;
    private static final RolloutTable.RequestKind FIRST = new RolloutTable.RequestKind(true, true);

    private final List<String> dropped = new ArrayList<>();
    private final RolloutTable table = new RolloutTable(
            Optional.of(new RolloutBounds(0.1, 50, 5_000)),
            new ZoneTopology("a", Map.of("a", "r")),
            "g",
            () -> 0,
            new RolloutTable.Observer() {
                @Override
                public void onStage(Rollout rollout, RolloutStage stage, RolloutJudge judge) {}

                @Override
                public void onStopped(Rollout rollout, RolloutJudge judge) {}

                @Override
                public void onDropped(Rollout rollout) {
                    dropped.add(rollout.service());
                }
            });
    private final List<Upstream> upstreams = new ArrayList<>();

    private void add(String version, int count) {
        for (int i = 0; i < count; i++) {
            String id = version + '-' + i;
            upstreams.add(
                    new Upstream(new UpstreamEntry(id, "desk", "10.0.0.1", 80, "a", 6, false, false, 1, version)));
        }
    }

    private static RolloutOrder order(String service, String target, boolean isRunning) {
        return new RolloutOrder(service, target, DURATION, isRunning, Optional.empty());
    }

    private void report(String target, long revision, RolloutStage stage, long deadlineMillis, long now) {
        Rollout rollout = new Rollout("desk", target, revision, DURATION, deadlineMillis);
        table.applyReport("p", new RolloutReport(rollout, stage, 0, new VersionStatistics()), now);
    }

    private List<String> versions(long now) {
        return table.candidates("desk", upstreams, FIRST, now).preferred().stream()
                .map(upstream -> upstream.entry().version())
                .distinct()
                .toList();
    }

    /** Sends requests and returns the number of those to the target version. */
    private int send(int requests, long from, long until) {
        int sent = 0;
        for (int i = 0; i < requests; i++) {
            long now = from + (until - from) * i / requests;
            Upstream upstream =
                    table.candidates("desk", upstreams, FIRST, now).preferred().get(0);
            table.recordSent("desk", "r", upstream, true);
            sent += upstream.entry().version().equals("v2") ? 1 : 0;
        }
        return sent;
    }

    @Nested
    class ReplacedOrders {
        /** Guards against an unjudged version that counts as an old one and gets its full share. */
        @Test
        void rollBackTheVersionThatWasNotJudged() {
            add("v1", 2);
            add("v2", 2);
            add("v3", 2);
            table.applyOrder(order("desk", "v2", false), 5, 0);
            table.applyOrder(order("desk", "v3", false), 6, 500);
            for (long now = 500; now < DURATION; now += 50) {
                assertThat(versions(now)).doesNotContain("v2");
                table.recordSent("desk", "r", upstreams.get(4), true);
            }
            assertThat(table.stage("desk")).contains(RolloutStage.CANARY);
        }

        /** Guards against an ended rollout that starts again because its object is edited before its status. */
        @Test
        void withTheSameTargetThatAreStillRunningDoNotStartAgain() {
            table.applyOrder(order("desk", "v2", false), 5, 0);
            table.advance("desk", RolloutStage.ROLLED_BACK, 1_000);
            table.applyOrder(order("desk", "v2", true), 7, 1_200);
            assertThat(table.stage("desk")).contains(RolloutStage.ROLLED_BACK);
        }

        /** Guards against a peer that has seen the edit but not the verdict. */
        @Test
        void reportedWithTheDeadlineOfTheEndedOneDoNotStartAgain() {
            table.applyOrder(order("desk", "v2", false), 5, 0);
            table.advance("desk", RolloutStage.ROLLED_BACK, 1_000);
            report("v2", 7, RolloutStage.CANARY, DURATION + 20, 1_200);
            assertThat(table.stage("desk")).contains(RolloutStage.ROLLED_BACK);
            report("v2", 8, RolloutStage.CANARY, DURATION + 1_300, 1_300);
            assertThat(table.stage("desk")).contains(RolloutStage.CANARY);
        }
    }

    /** A process that starts during a rollout does not know what its predecessor has sent. */
    @Nested
    class RunningRollouts {
        /** Guards against restarts, each of which sends the slack of a gateway again. */
        @Test
        void leaveNoSlackToAGatewayThatLearnsOfThemLate() {
            add("v1", 2);
            add("v2", 2);
            report("v2", 5, RolloutStage.CANARY, DURATION, 2_000);
            assertThat(send(100, 2_000, 6_500)).isLessThanOrEqualTo(8);
        }

        /** Guards against requests to a version whose rollout has long been shifted or rolled back. */
        @Test
        void getNothingUntilTheirStageIsConfirmed() {
            add("v1", 2);
            add("v2", 2);
            table.applyOrder(order("desk", "v2", true), 5, 0);
            assertThat(send(200, 0, 6_500)).isZero();
            assertThat(table.reports(peer -> false, 6_500)).isEmpty();
            report("v2", 5, RolloutStage.SHIFTING, 8_000, 6_600);
            assertThat(versions(6_700)).contains("v2");
        }

        /** Guards against a lease holder that is started alone and never confirms the stage to its peers. */
        @Test
        void areConfirmedByTheStoredDecision() {
            table.applyOrder(order("desk", "v2", true), 5, 0);
            table.merge("desk", 5, 9_000);
            assertThat(table.reports(peer -> false, 100)).hasSize(1);
        }

        /** Guards against gateways that each take the whole slack because they know few others at the start. */
        @Test
        void haveLessSlackIfMoreGatewaysAppear() {
            CanaryLimiter limiter = new CanaryLimiter(new RolloutBounds(0, 50, 5_000), 1, true);
            limiter.raiseGatewayCount(10);
            limiter.raiseGatewayCount(2);
            int permitted = 0;
            while (limiter.permits()) {
                limiter.recordTargetRequest();
                permitted++;
            }
            assertThat(permitted).isEqualTo(3);
        }
    }

    @Nested
    class ManyServices {
        /** Guards against orders that are ignored forever because sixteen earlier ones have ended. */
        @Test
        void replaceTheRolloutThatEndedFirst() {
            for (int i = 0; i < 16; i++) {
                table.applyOrder(order("s" + i, "v2", false), 5, 0);
            }
            table.applyOrder(order("another", "v2", false), 6, 10);
            assertThat(table.find("another")).isEmpty();
            table.applyOrder(order("another", "v2", false), 7, 20);
            assertThat(dropped).containsExactly("another");
            table.advance("s3", RolloutStage.ROLLED_BACK, 100);
            table.advance("s4", RolloutStage.ROLLED_BACK, 50);
            table.applyOrder(order("another", "v2", false), 6, 200);
            assertThat(table.find("another")).isPresent();
            assertThat(table.services()).hasSize(16).contains("s3").doesNotContain("s4");
        }
    }

    /** Guards against requests that are refused because only upstreams of a version not seen before can serve. */
    @Test
    void newVersionsAreTheFallbackOfTheOthers() {
        add("v1", 2);
        versions(0);
        add("v2", 2);
        RolloutTable.Candidates candidates = table.candidates("desk", upstreams, FIRST, 100);
        assertThat(candidates.preferred()).isEqualTo(upstreams.subList(0, 2));
        assertThat(candidates.fallback()).isEqualTo(upstreams.subList(2, 4));
    }
}
