package org.lovagethread.gateway.policy;

/**
 * Controls the share of the requests of one service that may be sent to the upstreams of one other zone.
 *
 * <p>The share rises step by step while leaving saves callers more time than it costs and the destination has capacity
 * to spare, and falls when one of the two no longer holds. Between the thresholds of rising and falling it stays.
 */
final class ZoneShare {
    /** Interval between two steps. Reports about the effect of a step arrive within it in a mesh, in milliseconds. */
    static final long STEP_INTERVAL_MILLIS = 250;

    /**
     * Maximum increase per step. With 0.05 the shares of a zone at three times its capacity oscillated, because the
     * effect is reported with a delay.
     */
    static final double MAX_INCREASE = 0.02;

    /** Minimum increase per step at full pressure. */
    private static final double MIN_INCREASE = 0.005;

    /**
     * Increase per step at full pressure, relative to the share. A zone with several times its capacity has a small share
     * of many requests, for which a step of a fixed size would be too large.
     */
    private static final double RELATIVE_INCREASE = 0.1;

    /** Relative decrease per step at full pressure. With 0.2 shares fell so far that they oscillated. */
    private static final double MAX_DECREASE = 0.1;

    /** Relative decrease per step if the own upstreams suffice again, or if the load of the destination is unknown. */
    private static final double FAST_DECREASE = 0.25;

    /** Share below which a falling share ends. */
    static final double MIN_SHARE = 0.02;

    /** Maximum share while the destination's gateways are silent, whose load is then unknown. */
    static final double MAX_SILENT_SHARE = 0.1;

    /** Pressure at which a share starts. It exceeds that at which one rises further, so that shares do not flap. */
    private static final double START_PRESSURE = 0.4;

    /** Pressure, in either direction, below which a share stays. */
    private static final double DEAD_BAND = 0.1;

    /** Minimum of the mean time saved, beyond the cost, that gives full pressure, in milliseconds. */
    private static final double FULL_GAIN_MILLIS = 50;

    /** Utilization up to which the own upstreams suffice, so nothing needs to leave. */
    private static final double OWN_UTILIZATION = 0.65;

    /**
     * Utilization of the destination that is aimed at while it helps. At 0.9 its own requests are served in time as often
     * as without helping, within 3 percentage points.
     */
    private static final double TARGET_UTILIZATION = 0.9;

    /** Utilization of the link between the regions that is aimed at. */
    private static final double LINK_UTILIZATION = 0.7;

    /** Distance from a utilization that gives full pressure. */
    private static final double FULL_UTILIZATION_DISTANCE = 0.3;

    /** Maximum number of steps made at once after a time without requests. */
    private static final long MAX_STEPS = 40;

    /** Time after a step was due from which a share counts as unused, in milliseconds. */
    private static final long UNUSED_MILLIS = 1_000;

    private double share;
    private double gainSumMillis;
    private double costSumMillis;
    private int gainSamples;
    private long nextStepMillis;

    /**
     * What a step is decided on.
     *
     * @param ownUtilization the utilization of the own upstreams of the service
     * @param targetUtilization the utilization of the destination's upstreams of the service
     * @param linkUtilization the utilization of the link; zero within the region
     * @param targetLeaves whether the destination itself sends requests of the service to other zones
     * @param targetSilent whether the gateways of the destination are silent
     */
    record Conditions(
            double ownUtilization,
            double targetUtilization,
            double linkUtilization,
            boolean targetLeaves,
            boolean targetSilent) {
        private double decrease() {
            return ownUtilization < OWN_UTILIZATION ? FAST_DECREASE : MAX_DECREASE;
        }

        /** Returns how strongly the share should rise, from -1 to 1: as much as the scarcest resource allows. */
        private double pressure(double gainPressure) {
            if (targetLeaves) {
                return -1;
            }
            double pressure = Math.min(gainPressure, (ownUtilization - OWN_UTILIZATION) / FULL_UTILIZATION_DISTANCE);
            pressure = Math.min(pressure, (TARGET_UTILIZATION - targetUtilization) / FULL_UTILIZATION_DISTANCE);
            pressure = Math.min(pressure, (LINK_UTILIZATION - linkUtilization) / FULL_UTILIZATION_DISTANCE);
            return Math.max(-1, Math.min(1, pressure));
        }
    }

    /** Returns the current share. */
    double share() {
        return share;
    }

    /** Returns the mean time that the requests since the last step would have saved by leaving, beyond the cost. */
    double meanGainMillis() {
        return gainSamples == 0 ? 0 : gainSumMillis / gainSamples;
    }

    /**
     * Records the time that one request would save by leaving.
     *
     * @param savedMillis the time saved without the cost; negative if the destination is slower
     * @param costMillis the cost of leaving
     */
    void recordGain(double savedMillis, double costMillis) {
        gainSumMillis += savedMillis - costMillis;
        costSumMillis += costMillis;
        gainSamples++;
    }

    /** A gain as large as the cost gives full pressure, so that the pressure falls smoothly as the cost rises. */
    private double gainPressure() {
        double meanCostMillis = gainSamples == 0 ? 0 : costSumMillis / gainSamples;
        return meanGainMillis() / Math.max(FULL_GAIN_MILLIS, meanCostMillis);
    }

    /** Returns whether the next step is due. */
    boolean isDue(long nowMillis) {
        return nowMillis >= nextStepMillis;
    }

    private double increase() {
        return Math.max(MIN_INCREASE, Math.min(MAX_INCREASE, RELATIVE_INCREASE * share));
    }

    /** Returns whether no step has been made for so long that the service has probably no requests. */
    boolean isUnused(long nowMillis) {
        return nowMillis >= nextStepMillis + UNUSED_MILLIS;
    }

    /** Makes the step that is due, or several falling ones after a time without requests. */
    void step(Conditions conditions, long nowMillis) {
        long missedSteps = nextStepMillis == 0 ? 0 : (nowMillis - nextStepMillis) / STEP_INTERVAL_MILLIS;
        share *= Math.pow(1 - FAST_DECREASE, (double) Math.min(MAX_STEPS, missedSteps));
        double pressure = conditions.pressure(gainPressure());
        if (conditions.targetSilent() && share > MAX_SILENT_SHARE) {
            share = Math.max(MAX_SILENT_SHARE, share * (1 - FAST_DECREASE));
        } else if (pressure < -DEAD_BAND) {
            share *= 1 + conditions.decrease() * pressure;
        } else if (pressure > (share == 0 ? START_PRESSURE : DEAD_BAND)) {
            double maxShare = conditions.targetSilent() ? MAX_SILENT_SHARE : 1;
            share = Math.min(maxShare, Math.max(MIN_SHARE, share + increase() * pressure));
        }
        share = share < MIN_SHARE ? 0 : share;
        gainSumMillis = 0;
        costSumMillis = 0;
        gainSamples = 0;
        nextStepMillis = nowMillis + STEP_INTERVAL_MILLIS;
    }
}
