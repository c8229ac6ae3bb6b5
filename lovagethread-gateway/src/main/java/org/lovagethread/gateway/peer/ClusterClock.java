package org.lovagethread.gateway.peer;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Computes the cluster time, the median of the wall clocks of this gateway and its peers.
 *
 * <p>Stores the offset of each wall clock from this gateway's monotonic clock and applies the median offset. With two
 * or more peers, a jump of a single clock therefore changes the result at most by the differences between the others.
 */
public final class ClusterClock {
    /** Age beyond which the offset of a peer is discarded, in milliseconds. */
    private static final long OFFSET_TIMEOUT_MILLIS = 3_000;

    private final Map<String, ClockOffset> offsetByPeer = new HashMap<>();

    private record ClockOffset(long offsetMillis, long receivedMillis) {}

    /**
     * Updates the offset of a peer's clock.
     *
     * @param peer the name of the peer
     * @param wallMillis the wall-clock time of the peer in milliseconds since the epoch
     * @param monotonicMillis the current time of this gateway's monotonic clock in milliseconds
     */
    public void update(String peer, long wallMillis, long monotonicMillis) {
        offsetByPeer.put(peer, new ClockOffset(wallMillis - monotonicMillis, monotonicMillis));
    }

    /**
     * Returns the cluster time.
     *
     * @param wallMillis the wall-clock time of this instance in milliseconds since the epoch
     * @param monotonicMillis the current time of this gateway's monotonic clock in milliseconds
     * @return the time in milliseconds since the epoch
     */
    public long clusterMillis(long wallMillis, long monotonicMillis) {
        offsetByPeer.values().removeIf(offset -> monotonicMillis - offset.receivedMillis() > OFFSET_TIMEOUT_MILLIS);
        long[] offsets = new long[offsetByPeer.size() + 1];
        int i = 0;
        for (ClockOffset offset : offsetByPeer.values()) {
            offsets[i++] = offset.offsetMillis();
        }
        offsets[i] = wallMillis - monotonicMillis;
        Arrays.sort(offsets);
        int middle = offsets.length / 2;
        long median = offsets.length % 2 == 1 ? offsets[middle] : (offsets[middle - 1] + offsets[middle]) / 2;
        return monotonicMillis + median;
    }
}
