package org.lovagethread.gateway.duty;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

/**
 * Determines the share of each zone in the demand of services. Shares change only when the demand has shifted
 * substantially, because each change replaces instances.
 */
final class ZoneDemand {
    /** Weight of the latest sample in the smoothed demand, at ten samples per second. */
    private static final double SAMPLE_WEIGHT = 0.02;

    /** Change of a zone's share from which new shares are used. */
    private static final double SUBSTANTIAL_CHANGE = 0.1;

    /** Demand in tokens per second below which the shares are unknown. */
    private static final double MIN_TOKENS_PER_SECOND = 1;

    private final Map<String, Map<String, Double>> smoothedDemand = new HashMap<>();
    private final Map<String, Map<String, Double>> shares = new HashMap<>();
    private Function<String, Map<String, Double>> source = service -> Map.of();

    /** Sets what provides the demand of a service by zone, in tokens per second. */
    void source(Function<String, Map<String, Double>> newSource) {
        source = newSource;
    }

    /**
     * Returns the share of each zone in the demand of a service.
     *
     * @param service the service
     * @param zones the zones in which the service may run; demand in others is ignored
     * @return the shares by zone; empty if the demand is unknown
     */
    Map<String, Double> update(String service, Collection<String> zones) {
        Map<String, Double> latest = source.apply(service);
        Map<String, Double> smoothed = smoothedDemand.computeIfAbsent(service, name -> new HashMap<>());
        double sum = 0;
        for (String zone : zones) {
            double sample = latest.getOrDefault(zone, 0.0);
            sum += smoothed.merge(zone, sample, (old, added) -> old + SAMPLE_WEIGHT * (added - old));
        }
        if (sum < MIN_TOKENS_PER_SECOND) {
            shares.remove(service);
            return Map.of();
        }
        Map<String, Double> kept = shares.get(service);
        if (kept == null || isSubstantiallyDifferent(kept, smoothed, sum)) {
            Map<String, Double> updated = new HashMap<>();
            for (String zone : zones) {
                updated.put(zone, smoothed.get(zone) / sum);
            }
            shares.put(service, updated);
            return updated;
        }
        return kept;
    }

    private static boolean isSubstantiallyDifferent(
            Map<String, Double> kept, Map<String, Double> smoothed, double sum) {
        return smoothed.entrySet().stream()
                .anyMatch(zone ->
                        Math.abs(zone.getValue() / sum - kept.getOrDefault(zone.getKey(), 0.0)) > SUBSTANTIAL_CHANGE);
    }
}
