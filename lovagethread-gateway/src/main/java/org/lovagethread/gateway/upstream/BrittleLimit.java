package org.lovagethread.gateway.upstream;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * The number of requests that this gateway may have in progress at one process of a brittle upstream.
 *
 * <p>All gateways together keep within the room of the upstream without a coordinator. Each one states a claim in its
 * messages to the peers and keeps within it. A claim shrinks at once, when others have more need of the room. It grows
 * only into room that nobody claims, and the growth takes effect only after the peers had time to hear of it and to
 * object: if two gateways claim the same room at the same time, both withdraw. So the claims add up to no more than the
 * room even if the states of peers are old. For gateways that are not heard an equal share is left free.
 *
 * <p>The stated number of rejections is not spent on purpose. If half of it is used up nevertheless, nothing is sent
 * until the second is over. Not thread-safe.
 */
final class BrittleLimit {
    /** Time from the first statement of a busy upstream until its limit applies, in milliseconds. */
    private static final long ADOPTION_MILLIS = 500;

    /** Time in which the number of rejections that the upstream survives is counted, in milliseconds. */
    static final long REJECTION_WINDOW_MILLIS = 1_000;

    /** Time for which a cancelled request keeps its place, as the upstream notices later, in milliseconds. */
    private static final long CANCELLATION_MILLIS = 300;

    private static final long MILLIS_PER_SECOND = 1_000;

    private final UpstreamEntry upstream;
    private final RoomEstimate estimate;
    private final ExpiringCount rejections = new ExpiringCount(REJECTION_WINDOW_MILLIS);
    private final ExpiringCount cancellations = new ExpiringCount(CANCELLATION_MILLIS);
    private final PeerClaims peers = new PeerClaims();
    private final long appliesFromMillis;
    private int maxRejections;
    private long statedMillis;
    private boolean stated;
    private boolean sound;
    private int claim;
    private int pendingClaim;
    private long pendingFromMillis;
    private long singleIntervalMillis;
    private long nextSingleMillis;
    private int waiting;
    private int inFlight;
    private boolean yielding;

    /**
     * The gateways among which the room is divided.
     *
     * @param name the name of this gateway
     * @param gateways the estimated number of gateways, including this one
     * @param noticeMillis the time in which a message reaches all peers even if one is lost, in milliseconds
     * @param seed determines who gets places that cannot be divided; the same at all gateways
     */
    record Cluster(String name, int gateways, long noticeMillis, long seed) {}

    /**
     * Creates the limit of an upstream that has not stated a number itself.
     *
     * @param upstream the upstream
     * @param isNew whether this gateway has received nothing from its process yet
     * @param maxRejections the number that other upstreams of its service state
     * @param nowMillis the current time in milliseconds
     */
    BrittleLimit(UpstreamEntry upstream, boolean isNew, int maxRejections, long nowMillis) {
        this.upstream = upstream;
        this.estimate = new RoomEstimate(upstream.slots(), isNew, nowMillis);
        this.appliesFromMillis = isNew ? nowMillis : nowMillis + ADOPTION_MILLIS;
        this.maxRejections = maxRejections;
    }

    UpstreamEntry upstream() {
        return upstream;
    }

    int maxRejections() {
        return maxRejections;
    }

    /** Returns whether the upstream has stated a number, and has not ceased to do so. */
    boolean isStated() {
        return stated && !sound;
    }

    /** Returns whether the upstream responds without a statement, although others of its service are brittle. */
    boolean isSound() {
        return sound;
    }

    /** Returns when a response last stated the number, in milliseconds. */
    long statedMillis() {
        return statedMillis;
    }

    /** Records a statement of the upstream. Returns whether the number is new. */
    boolean recordStatement(int newMaxRejections, long newStatedMillis) {
        if (stated && newStatedMillis < statedMillis) {
            return false;
        }
        boolean changed = !isStated() || maxRejections != newMaxRejections;
        maxRejections = newMaxRejections;
        statedMillis = newStatedMillis;
        stated = true;
        sound = false;
        return changed;
    }

    /** Records that the upstream has responded without a statement. */
    void recordSound(long nowMillis) {
        sound = true;
        statedMillis = nowMillis;
    }

    /** Records a rejection for want of room. Returns whether less room is assumed now. */
    boolean recordRejection(long nowMillis) {
        rejections.add(nowMillis);
        return estimate.recordRejection(nowMillis);
    }

    /** Records that this gateway has closed the connection of a request in progress. */
    void recordCancelled(long nowMillis) {
        cancellations.add(nowMillis);
    }

    /** Records that a request is sent to the upstream. */
    void recordSent(long nowMillis) {
        nextSingleMillis = nowMillis + singleIntervalMillis;
    }

    void putPeer(String peer, BrittleReport report, long nowMillis) {
        estimate.learn(report.room());
        peers.put(peer, report, nowMillis);
    }

    void removePeer(String peer) {
        peers.remove(peer);
    }

    /** Returns whether a peer waits for room while this gateway claims more than it uses, or has more than its share. */
    boolean withholdsRoom() {
        return peers.waiting() > 0 && (yielding || Math.max(claim, pendingClaim) > inFlight);
    }

    /** Returns whether another request may be sent to the upstream. */
    boolean allows(int currentInFlight, long nowMillis) {
        if (sound) {
            return true;
        }
        int taken = currentInFlight + cancellations.count(nowMillis);
        if (rejections.count(nowMillis) + peers.rejections(nowMillis) >= rejectionsToPause()) {
            return false;
        }
        return nowMillis < appliesFromMillis
                || taken < claim(nowMillis)
                || (singleIntervalMillis > 0 && taken == 0 && nowMillis >= nextSingleMillis);
    }

    /** Returns the number of requests that this gateway may have in progress. */
    int claim(long nowMillis) {
        if (pendingClaim > claim && nowMillis >= pendingFromMillis) {
            claim = pendingClaim;
        }
        return claim;
    }

    int room(long nowMillis) {
        return peers.minRoom(estimate.room(nowMillis));
    }

    int rejections(long nowMillis) {
        return rejections.count(nowMillis);
    }

    /** Adapts the claim of this gateway to the latest reports of its peers. The claim must then be sent to them. */
    void divide(int newInFlight, int newWaiting, Cluster cluster, long nowMillis) {
        inFlight = newInFlight + cancellations.count(nowMillis);
        waiting = newWaiting;
        peers.expire(nowMillis);
        int room = room(nowMillis);
        int available = available(room, cluster);
        setSingleInterval(available > 0 ? 0 : MILLIS_PER_SECOND * cluster.gateways() / room, cluster.name(), nowMillis);
        int held = Math.max(claim(nowMillis), inFlight);
        int free = available - held - peers.claimed();
        int target = target(available, cluster);
        yielding = inFlight > target;
        if (pendingClaim > held && free < pendingClaim - held) {
            pendingClaim = held;
        }
        if (target < held) {
            claim = Math.max(inFlight, target);
            pendingClaim = claim;
        } else if (pendingClaim <= held) {
            claim = held;
            pendingClaim = held + Math.max(0, Math.min(free, target - held));
            pendingFromMillis = nowMillis + cluster.noticeMillis();
        }
    }

    /** Returns the report to the peers about this gateway alone. */
    BrittleReport report(long nowMillis) {
        return new BrittleReport(
                upstream.process(),
                maxRejections,
                Math.max(0, nowMillis - statedMillis),
                rejections.count(nowMillis),
                inFlight,
                waiting,
                Math.max(inFlight, Math.max(claim, pendingClaim)),
                estimate.room(nowMillis),
                1);
    }

    /** Returns the report about this gateway and the peers whose names match. */
    BrittleReport report(Predicate<String> included, long nowMillis) {
        BrittleReport report = report(nowMillis);
        for (BrittleReport peer : peers.reports(included)) {
            report = report.plus(peer);
        }
        return report;
    }

    /** Sets the interval of single requests. The first one is sent at a time that differs between gateways. */
    private void setSingleInterval(long intervalMillis, String name, long nowMillis) {
        if (singleIntervalMillis == 0 && intervalMillis > 0) {
            long phase = Math.floorMod((name + upstream.process()).hashCode(), intervalMillis);
            nextSingleMillis = nowMillis + phase;
        }
        singleIntervalMillis = intervalMillis;
    }

    private int rejectionsToPause() {
        return Math.max(1, (maxRejections + 1) / 2);
    }

    /** Returns the room without the share of the gateways that are not heard. */
    private int available(int room, Cluster cluster) {
        int heard = 1 + peers.gateways();
        int gateways = Math.max(cluster.gateways(), heard);
        long unheardRoom = (long) room * (gateways - heard);
        // Only the majority may round up, so the parts of a divided cluster do not add up to more than the room.
        long reserved = heard * 2 > gateways ? unheardRoom / gateways : (unheardRoom + gateways - 1) / gateways;
        return (int) (room - reserved);
    }

    private int target(int available, Cluster cluster) {
        List<FairShare.Participant> participants = new ArrayList<>(peers.participants());
        participants.add(new FairShare.Participant(cluster.name(), 1, inFlight + waiting));
        return FairShare.of(
                cluster.name(),
                participants,
                available,
                cluster.seed() + upstream.process().hashCode());
    }
}
