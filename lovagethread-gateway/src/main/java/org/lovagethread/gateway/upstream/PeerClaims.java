package org.lovagethread.gateway.upstream;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

/** The latest reports of peers about one brittle upstream. Not thread-safe. */
final class PeerClaims {
    /** Age from which the report of a peer is discarded, in milliseconds. */
    private static final long REPORT_TIMEOUT_MILLIS = 1_500;

    private final Map<String, Received> receivedByPeer = new HashMap<>();

    private record Received(BrittleReport report, long receivedMillis) {}

    void put(String peer, BrittleReport report, long nowMillis) {
        receivedByPeer.put(peer, new Received(report, nowMillis));
    }

    void remove(String peer) {
        receivedByPeer.remove(peer);
    }

    void expire(long nowMillis) {
        receivedByPeer.values().removeIf(received -> nowMillis - received.receivedMillis() >= REPORT_TIMEOUT_MILLIS);
    }

    /** Returns the number of gateways that have reported. */
    int gateways() {
        return sum(BrittleReport::gateways);
    }

    /** Returns the number of requests that the peers may have in progress. */
    int claimed() {
        return sum(report -> Math.max(report.claim(), report.inFlight()));
    }

    /** Returns the number of requests that wait for room at peers. */
    int waiting() {
        return sum(BrittleReport::waiting);
    }

    /** Returns the rejections in the last second, as far as the peers have reported them. */
    int rejections(long nowMillis) {
        int sum = 0;
        for (Received received : receivedByPeer.values()) {
            boolean isRecent = nowMillis - received.receivedMillis() < BrittleLimit.REJECTION_WINDOW_MILLIS;
            sum += isRecent ? received.report().rejections() : 0;
        }
        return sum;
    }

    /** Returns the smallest room that a peer assumes, or the given one if it is smaller. */
    int minRoom(int room) {
        int smallest = room;
        for (Received received : receivedByPeer.values()) {
            smallest = Math.min(smallest, received.report().room());
        }
        return smallest;
    }

    List<FairShare.Participant> participants() {
        List<FairShare.Participant> participants = new ArrayList<>();
        receivedByPeer.forEach((peer, received) -> participants.add(new FairShare.Participant(
                peer,
                received.report().gateways(),
                received.report().inFlight() + received.report().waiting())));
        return participants;
    }

    /** Returns the reports of the peers whose names match. */
    List<BrittleReport> reports(Predicate<String> peers) {
        return receivedByPeer.entrySet().stream()
                .filter(entry -> peers.test(entry.getKey()))
                .map(entry -> entry.getValue().report())
                .toList();
    }

    private int sum(ToIntFunction<BrittleReport> value) {
        return receivedByPeer.values().stream()
                .mapToInt(received -> value.applyAsInt(received.report()))
                .sum();
    }
}
