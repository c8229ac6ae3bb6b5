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

    /**
     * Change of a zone's share from which new shares are used. Each change moves instances, which takes an order for each
     * zone and the time of their start.
     */
    private static final double SUBSTANTIAL_CHANGE = 0.2;

    private final Map<String, Map<String, Double>> smoothedDemand = new HashMap<>();
    private final Map<String, Map<String, Double>> shares = new HashMap<>();
    private Function<String, Map<String, Double>> source = service -> Map.of();

    /** Sets what provides the demand of a service by zone, in tokens per second. */
    void source(Function<String, Map<String, Double>> newSource) {
        source = newSource;
    }

    /**
     * Returns the share of each zone in the demand of a service. The shares change neither while the demand of a zone is
     * unknown, for instance because its reports do not arrive, nor because of small changes.
     *
     * @param service the service
     * @param zones the zones in which the service may run; demand in others is ignored
     * @return the shares by zone; empty for even shares
     */
    Map<String, Double> update(String service, Collection<String> zones) {
        Map<String, Double> latest = source.apply(service);
        Map<String, Double> kept = shares.getOrDefault(service, Map.of());
        if (zones.stream().anyMatch(zone -> latest.getOrDefault(zone, 0.0) <= 0)) {
            return kept;
        }
        Map<String, Double> smoothed = smoothedDemand.computeIfAbsent(service, name -> new HashMap<>());
        double sum = 0;
        for (String zone : zones) {
            sum += smoothed.merge(zone, latest.get(zone), (old, added) -> old + SAMPLE_WEIGHT * (added - old));
        }
        if (!isSubstantiallyDifferent(kept, smoothed, sum)) {
            return kept;
        }
        Map<String, Double> updated = new HashMap<>();
        for (String zone : zones) {
            updated.put(zone, smoothed.get(zone) / sum);
        }
        shares.put(service, updated);
        return updated;
    }

    private static boolean isSubstantiallyDifferent(
            Map<String, Double> kept, Map<String, Double> smoothed, double sum) {
        double even = 1.0 / smoothed.size();
        return smoothed.entrySet().stream()
                .anyMatch(zone ->
                        Math.abs(zone.getValue() / sum - kept.getOrDefault(zone.getKey(), even)) > SUBSTANTIAL_CHANGE);
    }
}
