package org.lovagethread.gateway.upstream;

/**
 * Estimates how many requests an upstream can have in progress without rejecting one.
 *
 * <p>An upstream has room for the requests that it processes concurrently. It may have less, for example if a request
 * takes more memory than usual: a rejection reduces the estimate, which recovers only slowly, because finding the limit
 * costs another rejection. A process that has just started receives few requests first. Not thread-safe.
 */
final class RoomEstimate {
    /** Assumed room of an upstream that does not state how many requests it processes concurrently. */
    private static final int UNKNOWN_ROOM = 8;

    /** Factor by which a rejection reduces the estimate. */
    private static final double REDUCTION = 0.8;

    /** Minimum interval between two reductions, as rejections of one burst arrive together, in milliseconds. */
    private static final long REDUCTION_INTERVAL_MILLIS = 500;

    /** Time after a rejection in which the estimate does not grow, in milliseconds. */
    private static final long HOLD_MILLIS = 10_000;

    /** Share of the full room by which the estimate grows per second after a rejection. */
    private static final double RECOVERY_PER_SECOND = 0.02;

    /** Share of the full room that a process has when it starts. */
    private static final double START_SHARE = 0.25;

    /** Share of the full room by which the estimate grows per second after the start of a process. */
    private static final double START_PER_SECOND = 0.25;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final double fullRoom;
    private double room;
    private boolean starting;
    private boolean rejected;
    private long lastRejectionMillis;
    private long updatedMillis;

    /**
     * Creates an estimate.
     *
     * @param slots the number of requests that the upstream processes concurrently; zero if unknown
     * @param starting whether its process has just started
     * @param nowMillis the current time in milliseconds
     */
    RoomEstimate(int slots, boolean starting, long nowMillis) {
        this.fullRoom = slots > 0 ? slots : UNKNOWN_ROOM;
        this.starting = starting;
        this.room = starting ? Math.max(1, START_SHARE * fullRoom) : fullRoom;
        this.updatedMillis = nowMillis;
    }

    /** Returns the estimated room, at least one. */
    int room(long nowMillis) {
        long growsFromMillis = rejected ? Math.max(updatedMillis, lastRejectionMillis + HOLD_MILLIS) : updatedMillis;
        double seconds = Math.max(0, nowMillis - growsFromMillis) / MILLIS_PER_SECOND;
        double perSecond = rejected ? RECOVERY_PER_SECOND : START_PER_SECOND;
        room = Math.min(fullRoom, room + seconds * perSecond * fullRoom);
        starting = starting && room < fullRoom;
        updatedMillis = nowMillis;
        return Math.max(1, (int) room);
    }

    /** Reduces the estimate after a rejection. Returns whether it changed. */
    boolean recordRejection(long nowMillis) {
        int before = room(nowMillis);
        boolean isNew = !rejected || nowMillis - lastRejectionMillis >= REDUCTION_INTERVAL_MILLIS;
        if (isNew) {
            room = Math.max(1, Math.min(before - 1, REDUCTION * before));
            lastRejectionMillis = nowMillis;
            rejected = true;
        }
        starting = false;
        return isNew && room(nowMillis) < before;
    }

    /** Adopts the estimate of a peer that has known the process for longer. */
    void learn(int peerRoom) {
        if (starting) {
            room = Math.max(room, Math.min(fullRoom, peerRoom));
        }
    }
}
