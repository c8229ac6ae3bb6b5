package org.lovagethread.gateway;

/**
 * Settings of the traffic between availability zones.
 *
 * @param enabled whether the share of the requests that leaves the zone is controlled; if not, each request is placed by
 *     fixed costs of leaving the zone and the region
 * @param regionLinkBitsPerSecond the capacity of the link between two regions in each direction
 */
public record CrossZoneSettings(boolean enabled, double regionLinkBitsPerSecond) {
    /** Bits per megabit. */
    public static final double BITS_PER_MEGABIT = 1e6;

    /** Capacity of the narrowest link between regions that deployments have, in megabits per second. */
    public static final double DEFAULT_REGION_LINK_MEGABITS = 21;

    /** Controlled shares, and the narrowest link between regions. */
    public static final CrossZoneSettings CONTROLLED =
            new CrossZoneSettings(true, DEFAULT_REGION_LINK_MEGABITS * BITS_PER_MEGABIT);

    /** Fixed costs of leaving the zone, which is the default. */
    public static final CrossZoneSettings FIXED_COSTS =
            new CrossZoneSettings(false, DEFAULT_REGION_LINK_MEGABITS * BITS_PER_MEGABIT);

    /** Creates settings. */
    public CrossZoneSettings {
        if (!(regionLinkBitsPerSecond > 0) || Double.isInfinite(regionLinkBitsPerSecond)) {
            throw new IllegalArgumentException(
                    "regionLinkBitsPerSecond must be positive and finite, but is " + regionLinkBitsPerSecond);
        }
    }
}
