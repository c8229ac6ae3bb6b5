package org.lovagethread.gateway.upstream;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The lasting speed of one process of an upstream, relative to the typical upstream of its service.
 *
 * <p>The estimate is a mean of logarithms in which outliers are limited, so a short stall hardly changes it. It is shrunk
 * towards a speed of one: by a prior that weighs as much as a few samples, and to exactly one while its deviation is
 * within the noise of the samples. A gateway uses the samples of all gateways. Not thread-safe.
 */
public final class UpstreamSpeed {
    /** Maximum estimated speed; its inverse is the minimum. */
    public static final double MAX_FACTOR = 4;

    /** Age from which the sums of a peer are discarded, in milliseconds. Reports of many upstreams take turns. */
    private static final long PEER_TIMEOUT_MILLIS = 30_000;

    /** Interval between two calculations of the estimate, in milliseconds. */
    private static final long REFRESH_INTERVAL_MILLIS = 200;

    /** Number of samples that weigh as much as the prior. */
    private static final double PRIOR_SAMPLES = 8;

    /** Mean absolute deviation of samples that is assumed by the prior. */
    private static final double PRIOR_DEVIATION = 0.4;

    /** Maximum deviation of a sample that counts in full, as a multiple of the mean absolute deviation. */
    private static final double OUTLIER_DEVIATIONS = 1.5;

    /** Standard deviation of normally distributed values as a multiple of their mean absolute deviation. */
    private static final double STANDARD_DEVIATIONS = 1.25;

    /** Number of standard errors within which a deviation from one is considered noise. */
    private static final double NOISE_ERRORS = 2.5;

    /** Standard error that remains with many samples, since samples of the same seconds are not independent. */
    private static final double MIN_ERROR = 0.02;

    /** Distance between two levels of the weight, as a logarithm. */
    private static final double WEIGHT_STEP = 0.25;

    /** Difference between estimate and weight from which the weight follows; more than half of the step. */
    private static final double WEIGHT_TOLERANCE = 0.2;

    private final SpeedSums local = new SpeedSums();
    private final Map<String, PeerSums> sumsByPeer = new HashMap<>();
    private double center;
    private double meanDeviation = PRIOR_DEVIATION;
    private double error = PRIOR_DEVIATION;
    private double factor = 1;
    private double logWeight;
    private double weight = 1;
    private long nextRefreshMillis;

    private record PeerSums(SpeedSums sums, long expiryMillis) {}

    /**
     * Returns the sum of the speeds of upstreams: their capacity in typical upstreams.
     *
     * @param upstreams the upstreams
     * @param nowMillis the current time in milliseconds
     * @return the sum
     */
    public static double sum(Collection<Upstream> upstreams, long nowMillis) {
        double sum = 0;
        for (Upstream upstream : upstreams) {
            sum += upstream.speed().factor(nowMillis);
        }
        return sum;
    }

    /**
     * Returns the mean speed of upstreams.
     *
     * @param upstreams the upstreams
     * @param nowMillis the current time in milliseconds
     * @return the arithmetic mean; one if there are none
     */
    public static double mean(Collection<Upstream> upstreams, long nowMillis) {
        return upstreams.isEmpty() ? 1 : sum(upstreams, nowMillis) / upstreams.size();
    }

    /**
     * Records the time of one response.
     *
     * @param relativeMillis the time that the response took as a multiple of the time that is expected at the current
     *     estimate; must be positive
     * @param nowMillis the current time in milliseconds
     */
    public void record(double relativeMillis, long nowMillis) {
        double sample = Math.log(factor(nowMillis)) - Math.log(relativeMillis);
        double deviation = sample - center;
        double limit = OUTLIER_DEVIATIONS * meanDeviation;
        local.record(center + Math.max(-limit, Math.min(limit, deviation)), Math.abs(deviation));
    }

    /**
     * Replaces the sums of a peer.
     *
     * @param peer the name and incarnation of the peer
     * @param sums the sums
     * @param nowMillis the current time in milliseconds
     */
    public void updatePeer(String peer, SpeedSums sums, long nowMillis) {
        sumsByPeer.put(peer, new PeerSums(sums, nowMillis + PEER_TIMEOUT_MILLIS));
    }

    /**
     * Returns the sums of this gateway alone.
     *
     * @return the sums
     */
    public SpeedSums local() {
        return local;
    }

    /**
     * Returns the sums of this gateway and of its peers, except some.
     *
     * @param excluded selects the names of the excluded peers
     * @return the sums
     */
    public SpeedSums totalExcept(Predicate<String> excluded) {
        SpeedSums total = new SpeedSums();
        total.add(local);
        sumsByPeer.forEach((peer, entry) -> {
            if (!excluded.test(peer)) {
                total.add(entry.sums());
            }
        });
        return total;
    }

    /**
     * Returns the estimated speed.
     *
     * @param nowMillis the current time in milliseconds
     * @return the speed as a multiple of that of the typical upstream of the service; one if it is unknown
     */
    public double factor(long nowMillis) {
        if (nowMillis >= nextRefreshMillis) {
            nextRefreshMillis = nowMillis + REFRESH_INTERVAL_MILLIS;
            sumsByPeer.values().removeIf(peer -> peer.expiryMillis() <= nowMillis);
            refresh();
        }
        return factor;
    }

    /**
     * Returns the speed in few levels, which changes only if the estimate has changed clearly.
     *
     * @param nowMillis the current time in milliseconds
     * @return the level
     */
    public double weight(long nowMillis) {
        factor(nowMillis);
        return weight;
    }

    /**
     * Returns the uncertainty of the estimate.
     *
     * @return the standard error of the logarithm of the speed
     */
    public double error() {
        return error;
    }

    private void refresh() {
        SpeedSums total = totalExcept(peer -> false);
        double samples = total.samples() + PRIOR_SAMPLES;
        center = total.logSum() / samples;
        meanDeviation = (total.deviationSum() + PRIOR_SAMPLES * PRIOR_DEVIATION) / samples;
        error = MIN_ERROR + STANDARD_DEVIATIONS * meanDeviation / Math.sqrt(samples);
        double noise = NOISE_ERRORS * error / Math.max(Math.abs(center), Double.MIN_NORMAL);
        double logMax = Math.log(MAX_FACTOR);
        double logFactor = Math.max(-logMax, Math.min(logMax, center * Math.max(0, 1 - noise * noise)));
        factor = Math.exp(logFactor);
        if (Math.abs(logFactor - logWeight) > WEIGHT_TOLERANCE) {
            logWeight = WEIGHT_STEP * Math.round(logFactor / WEIGHT_STEP);
            weight = Math.exp(logWeight);
        }
    }
}
