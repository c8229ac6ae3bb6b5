package org.lovagethread.gateway.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.rollout.RolloutEmulation.Behaviour;
import org.lovagethread.gateway.rollout.RolloutEmulation.Outcome;
import org.lovagethread.gateway.upstream.Upstream;

/** Rollouts of good and bad versions at ten gateways, 30 seeds each; prints the figures of each case. */
class RolloutEmulationTest {
    private static final int SEEDS = 30;
    private static final double REQUESTS_PER_SECOND = 240;
    private static final double BASE_FAILURES = 0.005;

    private static boolean isTarget(Upstream upstream) {
        return upstream.entry().version().equals("v2");
    }

    private static double fail(double rate, Random random) {
        return random.nextDouble() < rate ? -1 : 1;
    }

    private static double good(Random random) {
        return fail(BASE_FAILURES, random);
    }

    private static Behaviour bad(Behaviour behaviour) {
        return (upstream, load, route, progress, random) ->
                isTarget(upstream) ? behaviour.respond(upstream, load, route, progress, random) : good(random);
    }

    /** Runs all seeds and checks the verdict, its time and the exposure of a bad version; prints the figures. */
    private static void check(String name, double requestsPerSecond, RolloutStage expected, Behaviour behaviour) {
        int wrong = 0;
        double maxShare = 0;
        double maxExcess = -Double.MAX_VALUE;
        long maxMillis = 0;
        double minProgress = 1;
        double maxProgress = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            Outcome outcome = new RolloutEmulation(seed, requestsPerSecond, behaviour).run();
            wrong += outcome.verdict() == expected ? 0 : 1;
            maxShare = Math.max(maxShare, (double) outcome.targetRequests() / outcome.requests());
            maxExcess = Math.max(maxExcess, outcome.excess());
            maxMillis = Math.max(maxMillis, outcome.millisAfterFiftiethBad());
            minProgress = Math.min(minProgress, outcome.verdictProgress());
            maxProgress = Math.max(maxProgress, outcome.verdictProgress());
        }
        System.out.printf(
                "rollout %s: wrong verdicts %d of %d, exposure up to %.3f, requests above the share up to %.0f,"
                        + " last request up to %d ms after the 50th bad response, verdict at %.2f to %.2f%n",
                name, wrong, SEEDS, maxShare, maxExcess, maxMillis, minProgress, maxProgress);
        assertThat(wrong).as("wrong verdicts of " + name).isZero();
        assertThat(maxProgress).as("verdict of " + name).isLessThan(1);
        if (expected == RolloutStage.ROLLED_BACK) {
            assertThat(maxExcess).as("exposure to " + name).isLessThanOrEqualTo(RolloutEmulation.BOUNDS.exposeSlack());
            assertThat(maxMillis).as("time to stop " + name).isLessThan(RolloutEmulation.BOUNDS.rollbackMillis());
        }
    }

    private static void check(String name, RolloutStage expected, Behaviour behaviour) {
        check(name, REQUESTS_PER_SECOND, expected, behaviour);
    }

    /** Guards against bad versions that are completed, exposed too much, or stopped too late. */
    @Nested
    class BadVersions {
        @Test
        void thatFailAtOnceAreRolledBack() {
            check("failing 0.2", RolloutStage.ROLLED_BACK, bad((u, load, route, p, random) -> fail(0.2, random)));
            check("failing 0.6", RolloutStage.ROLLED_BACK, bad((u, load, route, p, random) -> fail(0.6, random)));
        }

        @Test
        void thatAreSlowAreRolledBack() {
            check(
                    "slow 0.3 by 4",
                    RolloutStage.ROLLED_BACK,
                    bad((u, load, route, p, random) -> random.nextDouble() < 0.3 ? 4 : 1));
            check("slow always by 5", RolloutStage.ROLLED_BACK, bad((u, load, route, p, random) -> 5));
        }

        @Test
        void thatTurnBadLateAreRolledBack() {
            check(
                    "late failing 0.3 from 0.4",
                    RolloutStage.ROLLED_BACK,
                    bad((u, load, route, p, random) -> p < 0.4 ? good(random) : fail(0.3, random)));
            check(
                    "late failing 0.3 from 0.7",
                    RolloutStage.ROLLED_BACK,
                    bad((u, load, route, p, random) -> p < 0.7 ? good(random) : fail(0.3, random)));
            check(
                    "late failing 0.3 from 0.6",
                    RolloutStage.ROLLED_BACK,
                    bad((u, load, route, p, random) -> p < 0.6 ? good(random) : fail(0.3, random)));
        }

        @Test
        void thatFailUnderLoadAreRolledBack() {
            check(
                    "failing 0.4 under load",
                    RolloutStage.ROLLED_BACK,
                    bad((u, load, route, p, random) -> fail(load >= 3 ? 0.4 : BASE_FAILURES, random)));
        }

        @Test
        void thatFailOnOneRouteAreRolledBack() {
            check(
                    "failing 0.4 on one route",
                    RolloutStage.ROLLED_BACK,
                    bad((u, load, route, p, random) -> fail(route == 1 ? 0.4 : BASE_FAILURES, random)));
        }

        @Test
        void atFewRequestsAreRolledBack() {
            check(
                    "failing 0.3 at 40 requests/s",
                    40,
                    RolloutStage.ROLLED_BACK,
                    bad((u, load, route, p, random) -> fail(0.3, random)));
        }
    }

    /** Guards against good versions that are rolled back because of faults of single upstreams or of all. */
    @Nested
    class GoodVersions {
        @Test
        void areCompleted() {
            check("good", RolloutStage.COMPLETED, (u, load, route, p, random) -> good(random));
            check("good at 360/s", 360, RolloutStage.COMPLETED, (u, load, route, p, random) -> good(random));
            check("good at 60/s", 60, RolloutStage.COMPLETED, (u, load, route, p, random) -> good(random));
        }

        @Test
        void areCompletedAlthoughAnUpstreamFails() {
            check(
                    "good with a faulty new upstream",
                    RolloutStage.COMPLETED,
                    (u, load, route, p, random) -> u.entry().id().equals("new-2") ? fail(0.5, random) : good(random));
            check(
                    "good with a faulty old upstream",
                    RolloutStage.COMPLETED,
                    (u, load, route, p, random) -> u.entry().id().equals("old-2") ? fail(0.5, random) : good(random));
        }

        @Test
        void areCompletedAlthoughAllAreSlowOrFailForAWhile() {
            check(
                    "good with slow network from 0.3 to 0.5",
                    RolloutStage.COMPLETED,
                    (u, load, route, p, random) -> p > 0.3 && p < 0.5 ? 4 : good(random));
            check(
                    "good with failures of both from 0.2 to 0.4",
                    RolloutStage.COMPLETED,
                    (u, load, route, p, random) -> p > 0.2 && p < 0.4 ? fail(0.3, random) : good(random));
        }

        @Test
        void areCompletedUnderOverload() {
            check(
                    "good under overload",
                    700,
                    RolloutStage.COMPLETED,
                    (u, load, route, p, random) -> load > 12 ? -1 : good(random));
        }
    }

    /** Guards against a gateway without contact that exceeds its share or continues after the deadline. */
    @Test
    void aGatewayThatIsCutOffKeepsItsOwnShare() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            RolloutEmulation emulation = new RolloutEmulation(
                            seed, REQUESTS_PER_SECOND, (u, load, route, p, random) -> good(random))
                    .cutOff(3);
            assertThat(emulation.run().verdict()).isEqualTo(RolloutStage.COMPLETED);
            RolloutEmulation.CanaryCount count = emulation.count(3);
            assertThat(count.target()).as("seed " + seed).isLessThanOrEqualTo((long) (0.08 * count.all()) + 2);
        }
    }

    /** Guards against one gateway whose extreme reports decide alone. */
    @Test
    void aGatewayWithExtremeReportsDoesNotDecideAlone() {
        int wrong = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            Outcome outcome = new RolloutEmulation(
                            seed, REQUESTS_PER_SECOND, (u, load, route, p, random) -> good(random))
                    .reportExtremely(4)
                    .run();
            wrong += outcome.verdict() == RolloutStage.COMPLETED ? 0 : 1;
        }
        System.out.println("rollout with extreme reports: wrong verdicts " + wrong + " of " + SEEDS);
        assertThat(wrong).isZero();
    }
}
