package org.lovagethread.gateway.policy;

import org.lovagethread.gateway.engine.EngineEstimate;

/**
 * Queue of the prompts at engines, modelled as a queue with few servers and random arrivals.
 *
 * <p>This handles prompts of very different lengths: a long one delays all requests behind it, so engines with long
 * prompts or tight latency targets must run at a lower utilization.
 */
final class PromptQueue {
    /** Share of the requests that may miss the latency target. */
    private static final double MAX_LATE_SHARE = 0.05;

    /** Engines among which a request is effectively placed: the preferred one of its shared prompt and another one. */
    private static final int SERVERS = 2;

    /** Utilization below which further engines hardly shorten the wait. */
    private static final double MIN_UTILIZATION = 0.3;

    private static final double MAX_UTILIZATION = 0.9;
    private static final double UTILIZATION_STEP = 0.01;

    private PromptQueue() {}

    /**
     * Returns the highest utilization at which few enough requests miss their latency target.
     *
     * @param estimate the estimated performance of the engines
     * @param targetMillis the target time to the first event in milliseconds
     * @return the share of the time in which an engine may process prompts
     */
    static double maxUtilization(EngineEstimate estimate, double targetMillis) {
        double slackMillis = targetMillis - estimate.firstEventMillis(estimate.unreadTokens());
        double utilization = MAX_UTILIZATION;
        while (utilization > MIN_UTILIZATION
                && lateShare(utilization, slackMillis, estimate.residualMillis()) > MAX_LATE_SHARE) {
            utilization -= UTILIZATION_STEP;
        }
        return utilization;
    }

    /** Returns the probability that the wait exceeds the slack, from Sakasegawa's approximation and an exponential tail. */
    private static double lateShare(double utilization, double slackMillis, double residualMillis) {
        double waitProbability = Math.pow(utilization, Math.sqrt(2.0 * (SERVERS + 1)) - 1);
        double decayRate = SERVERS * (1 - utilization) / residualMillis;
        return waitProbability * Math.exp(-Math.max(0, slackMillis) * decayRate);
    }
}
