package org.lovagethread.gateway;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;

/**
 * Settings of a gateway.
 *
 * @param node the name of the gateway
 * @param host the IP address of the instance
 * @param zone the availability zone
 * @param regionByZone the region of each availability zone
 * @param front the address for callers
 * @param ready the address for readiness checks
 * @param directory the address at which callers ask where to connect
 * @param peerPort the port for other gateways, on UDP for state and on TCP for snapshots
 * @param metrics the address for metrics
 * @param capacity the relative strength of the instance
 * @param seeds IP addresses of gateways that are told at the start
 * @param bounds figures that the operators promise
 */
public record GatewaySettings(
        String node,
        String host,
        String zone,
        Map<String, String> regionByZone,
        InetSocketAddress front,
        InetSocketAddress ready,
        InetSocketAddress directory,
        int peerPort,
        InetSocketAddress metrics,
        int capacity,
        List<String> seeds,
        Bounds bounds) {

    /** Copies the collections. */
    public GatewaySettings {
        regionByZone = Map.copyOf(regionByZone);
        seeds = List.copyOf(seeds);
    }

    /**
     * Figures that the operators promise.
     *
     * @param graceMillis the time between the request to stop and the kill, in milliseconds
     * @param retryRatio the extra sends allowed for each request
     * @param retryAllowance the extra sends allowed in a window besides
     * @param retryWindowMillis the window of the retry budget in milliseconds
     * @param quotaTolerance the share of a quota that may be granted beyond it
     * @param quotaToleranceTokens the tokens that may be granted in a window beyond a quota besides
     * @param leaseMillis the time within which a duty must not return to an earlier holder, in milliseconds
     * @param usageWindowMillis the length of a usage window in milliseconds
     * @param usageLateMillis the time after a window's end by which its report is due, in milliseconds
     * @param mostAddressMillis the longest time for which callers may keep an address, in milliseconds
     */
    public record Bounds(
            long graceMillis,
            double retryRatio,
            double retryAllowance,
            long retryWindowMillis,
            double quotaTolerance,
            double quotaToleranceTokens,
            long leaseMillis,
            long usageWindowMillis,
            long usageLateMillis,
            long mostAddressMillis) {}
}
