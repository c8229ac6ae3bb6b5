package org.lovagethread.gateway.policy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.lovagethread.gateway.policy.ZoneTopology.Distance;

/**
 * Selects the gateways that a caller should connect to.
 *
 * <p>Callers are kept in their availability zone if it has enough gateways, otherwise in their region.
 */
public final class AddressPolicy {
    /** Time for which callers may cache the returned addresses, in milliseconds. */
    public static final long ADDRESS_TTL_MILLIS = 1_000;

    /** Maximum number of addresses returned. */
    private static final int MAX_ADDRESSES = 64;

    /** Number of selected gateways at which none at a greater distance are added. */
    private static final int MIN_GATEWAYS = 2;

    private final ZoneTopology zones;

    /**
     * Creates a policy.
     *
     * @param zones the distances between availability zones
     */
    public AddressPolicy(ZoneTopology zones) {
        this.zones = zones;
    }

    /**
     * Address of a gateway that accepts requests.
     *
     * @param host the IP address
     * @param zone the availability zone
     */
    public record GatewayAddress(String host, String zone) {}

    /**
     * Selects gateways for a caller.
     *
     * @param callerZone the caller's availability zone, or an empty string if unknown
     * @param gateways the gateways that accept requests
     * @return the IP addresses; empty if no gateway accepts requests
     */
    public List<String> choose(String callerZone, List<GatewayAddress> gateways) {
        List<String> chosen = new ArrayList<>();
        for (Distance distance : Distance.values()) {
            for (GatewayAddress gateway : gateways) {
                if (zones.between(callerZone, gateway.zone()) == distance) {
                    chosen.add(gateway.host());
                }
            }
            if (chosen.size() >= MIN_GATEWAYS) {
                break;
            }
        }
        if (chosen.size() > MAX_ADDRESSES) {
            Collections.shuffle(chosen);
            return chosen.subList(0, MAX_ADDRESSES);
        }
        return chosen;
    }
}
