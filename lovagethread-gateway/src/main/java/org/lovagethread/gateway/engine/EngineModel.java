package org.lovagethread.gateway.engine;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Performance model of the engines of one service.
 *
 * <p>It combines the statistics of this gateway with those reported by its peers, so a gateway that has just started
 * predicts as well as the others. Not thread-safe.
 */
public final class EngineModel {
    /** Age from which the statistics of a peer are discarded, in milliseconds. */
    private static final long PEER_TIMEOUT_MILLIS = 30_000;

    /** Interval between two calculations of the estimate, in milliseconds. */
    private static final long REFRESH_INTERVAL_MILLIS = 200;

    /** Maximum recorded time to a first event as a multiple of the predicted time; larger ones are outliers. */
    private static final double MAX_DEVIATION = 4;

    private final EngineStatistics local = new EngineStatistics();
    private final SpeedBaseline speedBaseline = new SpeedBaseline();
    private final Map<String, PeerStatistics> statisticsByPeer = new HashMap<>();
    private EngineEstimate estimate = EngineEstimate.PRIOR;
    private long nextRefreshMillis;

    private record PeerStatistics(EngineStatistics statistics, long expiryMillis) {}

    /**
     * Returns the current estimate.
     *
     * @param nowMillis the current time in milliseconds
     * @return the estimate
     */
    public EngineEstimate estimate(long nowMillis) {
        if (nowMillis >= nextRefreshMillis) {
            nextRefreshMillis = nowMillis + REFRESH_INTERVAL_MILLIS;
            statisticsByPeer.values().removeIf(peer -> peer.expiryMillis() <= nowMillis);
            estimate = totalExcept(peer -> false).estimate(EngineEstimate.PRIOR);
        }
        return estimate;
    }

    /**
     * Records that a request was sent to an engine.
     *
     * @param unreadTokens the prompt tokens that the engine probably has to process
     * @param requestedTokens the prompt tokens and the maximum output tokens of the request
     */
    public void recordPrompt(long unreadTokens, long requestedTokens) {
        local.recordPrompt((double) unreadTokens, (double) requestedTokens);
    }

    /**
     * Records the time to the first event of a stream.
     *
     * @param queuedTokens the prompt tokens that the engine had to process until then
     * @param millis the time to the first event of an engine of speed one, in milliseconds
     * @return the time as a multiple of the predicted time
     */
    public double recordFirstEvent(long queuedTokens, long millis) {
        double predictedMillis = estimate.firstEventMillis((double) queuedTokens);
        double deviation = Math.min(MAX_DEVIATION, (double) millis / predictedMillis);
        local.recordFirstEvent((double) queuedTokens, deviation * predictedMillis, predictedMillis);
        return deviation;
    }

    /**
     * Records that a stream was completed.
     *
     * @param millis the time from its first event to its end at an engine of speed one, in milliseconds
     */
    public void recordStream(long millis) {
        local.recordStream((double) millis);
    }

    /**
     * Replaces the statistics of a peer.
     *
     * @param peer the name and incarnation of the peer
     * @param statistics the statistics
     * @param nowMillis the current time in milliseconds
     */
    public void updatePeer(String peer, EngineStatistics statistics, long nowMillis) {
        statisticsByPeer.put(peer, new PeerStatistics(statistics, nowMillis + PEER_TIMEOUT_MILLIS));
    }

    /**
     * Returns the typical time of responses. For engines, it is a multiple of the predicted time; for plain services, it
     * is the time without a queue in milliseconds.
     *
     * @return the baseline
     */
    public SpeedBaseline speedBaseline() {
        return speedBaseline;
    }

    /**
     * Returns the statistics of this gateway alone.
     *
     * @return the statistics
     */
    public EngineStatistics local() {
        return local;
    }

    /**
     * Returns the sum of the statistics of this gateway and of its peers, except some.
     *
     * @param excluded selects the names of the excluded peers
     * @return the sum
     */
    public EngineStatistics totalExcept(Predicate<String> excluded) {
        EngineStatistics total = new EngineStatistics();
        total.add(local);
        statisticsByPeer.forEach((peer, entry) -> {
            if (!excluded.test(peer)) {
                total.add(entry.statistics());
            }
        });
        return total;
    }
}
