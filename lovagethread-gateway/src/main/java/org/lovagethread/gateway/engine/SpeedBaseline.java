package org.lovagethread.gateway.engine;

/**
 * The typical time of the responses of one service, as a multiple of a reference.
 *
 * <p>Speeds of upstreams are estimated relative to it, so what changes all of them, such as a model that is still being
 * learned or longer requests, does not appear as a speed. Not thread-safe.
 */
public final class SpeedBaseline {
    /** Number of recent samples that dominate the mean. */
    private static final double MEMORY_SAMPLES = 64;

    /** Maximum deviation of a sample from the mean that counts, as a logarithm. */
    private static final double MAX_DEVIATION = 1.5;

    private double samples;
    private double meanLog;

    /**
     * Records the time of one response and returns it relative to the typical time.
     *
     * @param millis the time as a multiple of the reference; must be positive
     * @return the time as a multiple of the typical time before this response; one for the first response
     */
    public double record(double millis) {
        double log = Math.log(millis);
        double deviation = samples == 0 ? 0 : log - meanLog;
        samples = Math.min(MEMORY_SAMPLES, samples + 1);
        meanLog = samples == 1 ? log : meanLog + Math.max(-MAX_DEVIATION, Math.min(MAX_DEVIATION, deviation)) / samples;
        return Math.exp(deviation);
    }

    /**
     * Returns the typical time.
     *
     * @return the time as a multiple of the reference; one if no response has been recorded
     */
    public double typical() {
        return Math.exp(meanLog);
    }
}
