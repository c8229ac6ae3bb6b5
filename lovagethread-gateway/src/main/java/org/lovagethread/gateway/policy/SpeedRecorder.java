package org.lovagethread.gateway.policy;

import org.lovagethread.gateway.engine.EngineModel;
import org.lovagethread.gateway.engine.SpeedBaseline;
import org.lovagethread.gateway.upstream.Upstream;

/**
 * Derives the speed of upstreams from the times of successful responses.
 *
 * <p>The performance model of a service receives times as they would be at an engine of speed one. Failures are not
 * recorded, so an upstream that fails quickly does not appear to be fast.
 */
public final class SpeedRecorder {
    /** Minimum time of a response that is recorded, in milliseconds; the clock has this resolution. */
    private static final double MIN_MILLIS = 1;

    private SpeedRecorder() {}

    /**
     * Records the time to the first event of a stream of a model engine.
     *
     * @param model the performance model of the service
     * @param choice the selected engine and the predicted times
     * @param millis the time to the first event in milliseconds
     * @param nowMillis the current time in milliseconds
     * @return the time relative to the one predicted for an engine of speed one
     */
    public static double recordFirstEvent(EngineModel model, Placement.Choice choice, long millis, long nowMillis) {
        Upstream upstream = choice.upstream();
        long normalizedMillis = normalizedMillis(upstream, millis, nowMillis);
        double deviation = model.recordFirstEvent(choice.queuedTokens(), normalizedMillis);
        upstream.stall().record(deviation, nowMillis);
        double speedFactor = normalizedMillis / (double) Math.max(1, millis);
        upstream.speed().record(model.speedBaseline().record(deviation), nowMillis);
        return deviation / speedFactor;
    }

    /**
     * Records that a stream of a model engine was completed.
     *
     * @param model the performance model of the service
     * @param upstream the engine
     * @param millis the time from its first event to its end in milliseconds
     * @param nowMillis the current time in milliseconds
     */
    public static void recordStream(EngineModel model, Upstream upstream, long millis, long nowMillis) {
        model.recordStream(normalizedMillis(upstream, millis, nowMillis));
    }

    /**
     * Records the time of a response of a plain service.
     *
     * <p>A response that probably waited for a slot shows a stall, but not the lasting speed. Loads are reported with a
     * delay, so upstreams that are thought to be fast receive more requests at once and their queues are
     * underestimated.
     *
     * @param model the performance model of the service
     * @param choice the selected upstream and the predicted times
     * @param millis the time of the response in milliseconds
     * @param nowMillis the current time in milliseconds
     */
    public static void recordResponse(EngineModel model, Placement.Choice choice, long millis, long nowMillis) {
        Upstream upstream = choice.upstream();
        SpeedBaseline baseline = model.speedBaseline();
        double normalizedMillis =
                Math.max(MIN_MILLIS, (double) millis) * upstream.speed().factor(nowMillis);
        if (choice.waitsForCapacity()) {
            double queueFactor = Math.max(1, choice.predictedLatencyMillis() / choice.processingMillis());
            upstream.stall().record(normalizedMillis / queueFactor / baseline.typical(), nowMillis);
        } else {
            double deviation = baseline.record(normalizedMillis);
            upstream.stall().record(deviation, nowMillis);
            upstream.speed().record(deviation, nowMillis);
        }
    }

    private static long normalizedMillis(Upstream upstream, long millis, long nowMillis) {
        return Math.max(1, Math.round(millis * upstream.speed().factor(nowMillis)));
    }
}
