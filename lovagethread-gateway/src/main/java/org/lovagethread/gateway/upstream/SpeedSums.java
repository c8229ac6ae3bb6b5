package org.lovagethread.gateway.upstream;

import java.util.Optional;

/**
 * Sums over recent samples of the speed of one upstream, from which its speed is estimated.
 *
 * <p>A sample is the natural logarithm of the speed that one response shows, relative to the typical upstream of the
 * service. Older samples are forgotten exponentially. The sums of several gateways can be added. Not thread-safe.
 */
public final class SpeedSums {
    /** Number of recent samples that dominate the sums. */
    static final double MEMORY_SAMPLES = 64;

    /** Maximum number of samples of one peer or cell that count, which bounds its weight. */
    private static final double MAX_SAMPLES = 4_096;

    /** Maximum absolute logarithm of a mean or deviation that is accepted from a peer. */
    private static final double MAX_LOG = 3;

    private static final double DECAY = 1 - 1 / MEMORY_SAMPLES;

    private double samples;
    private double logSum;
    private double deviationSum;

    /** Creates empty sums. */
    public SpeedSums() {}

    /**
     * Creates sums from exchanged values.
     *
     * @param samples the number of samples
     * @param logSum the sum of the logarithms
     * @param deviationSum the sum of the absolute deviations of the samples from the estimate
     * @return the sums, or empty if no gateway can have sent such values
     */
    public static Optional<SpeedSums> of(double samples, double logSum, double deviationSum) {
        boolean isValid = samples > 0
                && samples <= MAX_SAMPLES
                && Math.abs(logSum) <= MAX_LOG * samples
                && deviationSum >= 0
                && deviationSum <= MAX_LOG * samples;
        if (!isValid) {
            return Optional.empty();
        }
        SpeedSums sums = new SpeedSums();
        sums.samples = samples;
        sums.logSum = logSum;
        sums.deviationSum = deviationSum;
        return Optional.of(sums);
    }

    /**
     * Records a sample.
     *
     * @param logSpeed the logarithm of the speed
     * @param deviation the absolute deviation from the estimate before outliers were limited
     */
    void record(double logSpeed, double deviation) {
        samples = samples * DECAY + 1;
        logSum = logSum * DECAY + Math.max(-MAX_LOG, Math.min(MAX_LOG, logSpeed));
        deviationSum = deviationSum * DECAY + Math.min(MAX_LOG, deviation);
    }

    /**
     * Adds other sums.
     *
     * @param other the sums to add
     */
    void add(SpeedSums other) {
        samples += other.samples;
        logSum += other.logSum;
        deviationSum += other.deviationSum;
    }

    /**
     * Returns the number of samples.
     *
     * @return the number, in which older samples count less
     */
    public double samples() {
        return samples;
    }

    /**
     * Returns the sum of the logarithms.
     *
     * @return the sum
     */
    public double logSum() {
        return logSum;
    }

    /**
     * Returns the sum of the absolute deviations.
     *
     * @return the sum
     */
    public double deviationSum() {
        return deviationSum;
    }
}
