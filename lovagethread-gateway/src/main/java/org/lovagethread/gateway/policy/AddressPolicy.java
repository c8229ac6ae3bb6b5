package org.lovagethread.gateway.policy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.lovagethread.gateway.policy.Zones.Distance;

/**
 * Chooses the gateways that a caller should connect to.
 *
 * <p>Callers stay in their availability zone while it has enough gateways, then in their region.
 */
public final class AddressPolicy {
    /** Time for which callers keep an answer, in milliseconds. */
    public static final long KEEP_MILLIS = 1_000;

    /** The most addresses of an answer. */
    private static final int MOST_ADDRESSES = 64;

    /** Gateways from which on an availability zone serves its own callers alone. */
    private static final int ENOUGH = 2;

    private final Zones zones;

    /**
     * Creates a policy.
     *
     * @param zones tells how far availability zones are
     */
    public AddressPolicy(Zones zones) {
        this.zones = zones;
    }

    /**
     * A gateway that accepts requests.
     *
     * @param host its IP address
     * @param zone its availability zone
     */
    public record Entrance(String host, String zone) {}

    /**
     * Chooses gateways.
     *
     * @param callerZone the caller's availability zone; an empty text if unknown
     * @param entrances the gateways that accept requests
     * @return IP addresses; empty if no gateway accepts requests
     */
    public List<String> choose(String callerZone, List<Entrance> entrances) {
        List<String> chosen = new ArrayList<>();
        for (Distance distance : Distance.values()) {
            for (Entrance entrance : entrances) {
                if (zones.between(callerZone, entrance.zone()) == distance) {
                    chosen.add(entrance.host());
                }
            }
            if (chosen.size() >= ENOUGH) {
                break;
            }
        }
        if (chosen.size() > MOST_ADDRESSES) {
            Collections.shuffle(chosen);
            return chosen.subList(0, MOST_ADDRESSES);
        }
        return chosen;
    }
}
