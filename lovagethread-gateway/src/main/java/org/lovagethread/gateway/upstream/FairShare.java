package org.lovagethread.gateway.upstream;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Divides places among gateways so that they all reach the same result from the same demands.
 *
 * <p>The smallest demands are met first, as by max-min fairness. What no gateway demands is divided equally, as headroom.
 * Places that cannot be divided go to gateways in an order that depends on a seed.
 */
final class FairShare {
    private FairShare() {}

    /**
     * A gateway or a group of gateways.
     *
     * @param name the name
     * @param gateways the number of gateways
     * @param demand the number of places that it could use
     */
    record Participant(String name, int gateways, int demand) {}

    /**
     * Returns the number of places of one participant.
     *
     * @param name its name
     * @param participants all participants
     * @param places the number of places
     * @param seed determines the order in which single places are given away
     * @return the number of places; zero if the participant is unknown
     */
    static int of(String name, List<Participant> participants, int places, long seed) {
        List<Participant> ordered = new ArrayList<>(participants);
        ordered.sort(Comparator.<Participant>comparingInt(participant -> order(participant.name(), seed))
                .thenComparing(Participant::name));
        Map<String, Integer> shares = new HashMap<>();
        int left = meetDemands(ordered, shares, places);
        return shares.getOrDefault(name, 0) + headroom(name, ordered, left);
    }

    /** Gives places to the participants whose demand is not met, and returns the number of places left. */
    private static int meetDemands(List<Participant> ordered, Map<String, Integer> shares, int places) {
        int left = places;
        List<Participant> unmet = new ArrayList<>(ordered);
        unmet.removeIf(participant -> participant.demand() <= 0);
        while (left > 0 && !unmet.isEmpty()) {
            int perGateway = left / gateways(unmet);
            for (Participant participant : unmet) {
                int given = shares.getOrDefault(participant.name(), 0);
                int offered = perGateway == 0 ? 1 : perGateway * participant.gateways();
                int added = Math.min(left, Math.min(offered, participant.demand() - given));
                shares.put(participant.name(), given + added);
                left -= added;
            }
            unmet.removeIf(participant -> shares.get(participant.name()) >= participant.demand());
        }
        return left;
    }

    private static int headroom(String name, List<Participant> ordered, int places) {
        int gateways = gateways(ordered);
        int rest = places % gateways;
        for (Participant participant : ordered) {
            int ofRest = Math.min(rest, participant.gateways());
            if (participant.name().equals(name)) {
                return places / gateways * participant.gateways() + ofRest;
            }
            rest -= ofRest;
        }
        return 0;
    }

    private static int gateways(List<Participant> participants) {
        return participants.stream().mapToInt(Participant::gateways).sum();
    }

    private static int order(String name, long seed) {
        long mixed = (name.hashCode() + seed * 0x9E3779B97F4A7C15L) * 0xBF58476D1CE4E5B9L;
        long mixedAgain = (mixed ^ (mixed >>> 29)) * 0x94D049BB133111EBL;
        return (int) (mixedAgain >>> 32);
    }
}
