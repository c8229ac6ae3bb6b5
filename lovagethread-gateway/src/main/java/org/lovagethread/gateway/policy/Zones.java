package org.lovagethread.gateway.policy;

import java.util.Map;

/**
 * Tells how far availability zones are from this gateway.
 *
 * @param zone the availability zone of this gateway
 * @param regionByZone the region of each availability zone
 */
public record Zones(String zone, Map<String, String> regionByZone) {

    /** Distances between a gateway and an availability zone. */
    public enum Distance {
        /** The zone of the gateway. */
        SAME_ZONE,
        /** Another zone of the gateway's region. */
        SAME_REGION,
        /** A zone of another region, or an unknown one. */
        OTHER_REGION
    }

    /** Copies the map. */
    public Zones {
        regionByZone = Map.copyOf(regionByZone);
    }

    /**
     * Returns how far an availability zone is.
     *
     * @param other the availability zone
     * @return the distance
     */
    public Distance distance(String other) {
        return between(zone, other);
    }

    /**
     * Returns how far two availability zones are from each other.
     *
     * @param one an availability zone
     * @param other another, or the same
     * @return the distance
     */
    public Distance between(String one, String other) {
        if (one.equals(other)) {
            return Distance.SAME_ZONE;
        }
        String region = regionByZone.get(one);
        boolean near = region != null && region.equals(regionByZone.get(other));
        return near ? Distance.SAME_REGION : Distance.OTHER_REGION;
    }
}
