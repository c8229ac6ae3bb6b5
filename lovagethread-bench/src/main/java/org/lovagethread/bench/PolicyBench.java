package org.lovagethread.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import org.lovagethread.core.call.ReclaimPolicy;
import org.lovagethread.core.upstream.RoutingPolicy;

/** Compares the routing policies and the reclaim policies under both workloads; each run reclaims a whole zone. */
final class PolicyBench {
    private static final long[] SEEDS = {1, 2, 3};

    private PolicyBench() {}

    static void run() {
        System.out.printf(
                "%-12s %-16s %7s %10s %9s %10s %12s %8s%n",
                "WORKLOAD", "POLICY", "CALLS", "IN TARGET", "P95 MS", "COMPUTED", "RECOMPUTED", "REFUSED");
        for (Workload workload : Workload.values()) {
            for (RoutingPolicy policy : RoutingPolicy.values()) {
                reportRouting(workload, policy);
            }
        }
        System.out.printf(
                "%n%-12s %-16s %10s %9s %14s %16s%n",
                "WORKLOAD", "RECLAIM", "IN TARGET", "P95 MS", "MOVED TOKENS", "EXPORTED TOKENS");
        for (Workload workload : Workload.values()) {
            for (ReclaimPolicy policy : ReclaimPolicy.values()) {
                reportReclaims(workload, policy);
            }
        }
        System.out.println("seeds 1, 2, 3; each figure is the mean of the three runs");
    }

    private static double mean(
            List<PolicySimulation.Outcome> outcomes, ToDoubleFunction<PolicySimulation.Outcome> metric) {
        return outcomes.stream().mapToDouble(metric).average().orElse(0);
    }

    private static void reportReclaims(Workload workload, ReclaimPolicy policy) {
        List<PolicySimulation.Outcome> outcomes = new ArrayList<>();
        for (long seed : SEEDS) {
            outcomes.add(new PolicySimulation(workload, RoutingPolicy.PREDICTED, policy, seed).run());
        }
        System.out.printf(
                "%-12s %-16s %9.1f%% %9.0f %14.0f %16.0f%n",
                workload.name().toLowerCase(Locale.ROOT),
                policy.name().toLowerCase(Locale.ROOT),
                100 * mean(outcomes, PolicySimulation.Outcome::shareWithinTarget),
                mean(outcomes, PolicySimulation.Outcome::p95Millis),
                mean(outcomes, PolicySimulation.Outcome::movedTokens),
                mean(outcomes, PolicySimulation.Outcome::exportedTokens));
    }

    private static void reportRouting(Workload workload, RoutingPolicy policy) {
        List<PolicySimulation.Outcome> outcomes = new ArrayList<>();
        for (long seed : SEEDS) {
            outcomes.add(new PolicySimulation(workload, policy, ReclaimPolicy.CHOOSE, seed).run());
        }
        System.out.printf(
                "%-12s %-16s %7.0f %9.1f%% %9.0f %9.1f%% %11.1f%% %8.1f%n",
                workload.name().toLowerCase(Locale.ROOT),
                policy.name().toLowerCase(Locale.ROOT),
                mean(outcomes, PolicySimulation.Outcome::callCount),
                100 * mean(outcomes, PolicySimulation.Outcome::shareWithinTarget),
                mean(outcomes, PolicySimulation.Outcome::p95Millis),
                100 * mean(outcomes, PolicySimulation.Outcome::computedShare),
                100 * mean(outcomes, PolicySimulation.Outcome::recomputedShare),
                mean(outcomes, PolicySimulation.Outcome::refusedCalls));
    }
}
