package org.lovagethread.gateway.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Distributes the instances of a service over availability zones by the demand of the zones. */
final class ZoneDistribution {
    private ZoneDistribution() {}

    /**
     * Distributes instances.
     *
     * @param zones the availability zones; zones with equal shares receive instances in this order
     * @param total the number of instances to distribute
     * @param minEach the minimum number of instances in each zone, even if this exceeds the total
     * @param maxEach the maximum number of instances in each zone; the total is reduced if it does not fit
     * @param shareByZone the share of each zone in the demand; a missing zone has none
     * @return the number of instances by zone
     */
    static Map<String, Integer> distribute(
            List<String> zones, int total, int minEach, int maxEach, Map<String, Double> shareByZone) {
        Map<String, Integer> counts = new HashMap<>();
        zones.forEach(zone -> counts.put(zone, minEach));
        int remaining = Math.min(total, maxEach * zones.size()) - minEach * zones.size();
        for (; remaining > 0; remaining--) {
            String neediest = "";
            double largestShortage = Double.NEGATIVE_INFINITY;
            for (String zone : zones) {
                double shortage = total * shareByZone.getOrDefault(zone, 0.0) - counts.get(zone);
                if (counts.get(zone) < maxEach && shortage > largestShortage) {
                    neediest = zone;
                    largestShortage = shortage;
                }
            }
            counts.merge(neediest, 1, Integer::sum);
        }
        return counts;
    }
}
