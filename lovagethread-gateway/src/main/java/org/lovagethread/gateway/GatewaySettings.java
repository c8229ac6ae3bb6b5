package org.lovagethread.gateway;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lovagethread.gateway.rollout.RolloutBounds;

/**
 * Settings of a gateway.
 *
 * @param node the name of the gateway
 * @param host the IP address of the instance
 * @param zone the availability zone
 * @param regionByZone the region of each availability zone
 * @param callerAddress the listen address for requests of callers
 * @param readinessAddress the listen address for readiness checks
 * @param directoryAddress the listen address for queries of gateway addresses
 * @param peerPort the port for other gateways, with UDP for state messages and TCP for snapshots
 * @param metricsAddress the listen address for metrics
 * @param capacity the relative capacity of the instance
 * @param seeds the IP addresses of the gateways to contact at startup
 * @param bounds the operational limits guaranteed by the operators
 * @param firstStart whether the whole system starts for the first time, so that no stream can have begun before
 */
public record GatewaySettings(
        String node,
        String host,
        String zone,
        Map<String, String> regionByZone,
        InetSocketAddress callerAddress,
        InetSocketAddress readinessAddress,
        InetSocketAddress directoryAddress,
        int peerPort,
        InetSocketAddress metricsAddress,
        int capacity,
        List<String> seeds,
        Bounds bounds,
        boolean firstStart) {

    /** Creates settings of a gateway before whose start others may have run. */
    public GatewaySettings(
            String node,
            String host,
            String zone,
            Map<String, String> regionByZone,
            InetSocketAddress callerAddress,
            InetSocketAddress readinessAddress,
            InetSocketAddress directoryAddress,
            int peerPort,
            InetSocketAddress metricsAddress,
            int capacity,
            List<String> seeds,
            Bounds bounds) {
        this(
                node,
                host,
                zone,
                regionByZone,
                callerAddress,
                readinessAddress,
                directoryAddress,
                peerPort,
                metricsAddress,
                capacity,
                seeds,
                bounds,
                false);
    }

    /** Creates settings from copies of the collections. */
    public GatewaySettings {
        regionByZone = Map.copyOf(regionByZone);
        seeds = List.copyOf(seeds);
    }

    /**
     * Operational limits that are guaranteed by the operators.
     *
     * @param stopGraceMillis the time between the stop request and the kill of the process, in milliseconds
     * @param retryRatio the number of retries allowed per request
     * @param retryAllowance the number of retries allowed per window in addition
     * @param retryWindowMillis the length of the window of the retry budget in milliseconds
     * @param quotaTolerance the share of a quota that may be granted in excess of it
     * @param quotaToleranceTokens the number of tokens that may be granted per window in excess of a quota, in addition
     * @param leaseMillis the time within which a duty must not return to an earlier holder, in milliseconds
     * @param usageWindowMillis the length of a usage window in milliseconds
     * @param usageReportDeadlineMillis the time from the end of a window until its usage report is due, in milliseconds
     * @param maxAddressTtlMillis the maximum time for which callers may cache an address, in milliseconds
     * @param silenceTimeouts how soon the loss of connections without a reset must be noticed
     * @param rollout the limits of version rollouts; empty if they are not requested on this platform
     */
    public record Bounds(
            long stopGraceMillis,
            double retryRatio,
            double retryAllowance,
            long retryWindowMillis,
            double quotaTolerance,
            double quotaToleranceTokens,
            long leaseMillis,
            long usageWindowMillis,
            long usageReportDeadlineMillis,
            long maxAddressTtlMillis,
            SilenceTimeouts silenceTimeouts,
            Optional<RolloutBounds> rollout) {

        /** Creates limits without version rollouts. */
        public Bounds(
                long stopGraceMillis,
                double retryRatio,
                double retryAllowance,
                long retryWindowMillis,
                double quotaTolerance,
                double quotaToleranceTokens,
                long leaseMillis,
                long usageWindowMillis,
                long usageReportDeadlineMillis,
                long maxAddressTtlMillis,
                SilenceTimeouts silenceTimeouts) {
            this(
                    stopGraceMillis,
                    retryRatio,
                    retryAllowance,
                    retryWindowMillis,
                    quotaTolerance,
                    quotaToleranceTokens,
                    leaseMillis,
                    usageWindowMillis,
                    usageReportDeadlineMillis,
                    maxAddressTtlMillis,
                    silenceTimeouts,
                    Optional.empty());
        }
    }
}
