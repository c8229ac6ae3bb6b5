package org.lovagethread.gateway.policy;

import java.util.Map;

/**
 * Regions of the availability zones, and the distances between zones.
 *
 * @param zone the availability zone of this gateway
 * @param regionByZone the region of each availability zone
 */
public record ZoneTopology(String zone, Map<String, String> regionByZone) {

    /** Distance between two availability zones. */
    public enum Distance {
        /** The same zone. */
        SAME_ZONE("same-zone"),
        /** Different zones of the same region. */
        SAME_REGION("same-region"),
        /** Zones of different regions, or at least one unknown zone. */
        OTHER_REGION("other-region");

        private final String label;

        Distance(String label) {
            this.label = label;
        }

        /**
         * Returns the label in metrics.
         *
         * @return the label
         */
        public String label() {
            return label;
        }
    }

    /** Creates a topology from a copy of the map. */
    public ZoneTopology {
        regionByZone = Map.copyOf(regionByZone);
    }

    /**
     * Returns the distance between this gateway and an availability zone.
     *
     * @param other the availability zone
     * @return the distance
     */
    public Distance distance(String other) {
        return between(zone, other);
    }

    /**
     * Returns the distance between two availability zones.
     *
     * @param first the first availability zone
     * @param second the second availability zone
     * @return the distance
     */
    public Distance between(String first, String second) {
        if (first.equals(second)) {
            return Distance.SAME_ZONE;
        }
        String region = regionByZone.get(first);
        boolean sameRegion = region != null && region.equals(regionByZone.get(second));
        return sameRegion ? Distance.SAME_REGION : Distance.OTHER_REGION;
    }
}
