package org.lovagethread.gateway.peer;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Agrees on the time of day with peers.
 *
 * <p>It keeps how far each clock is ahead of this gateway's steady clock and takes the median, so a lone clock that jumps
 * changes nothing.
 */
public final class ClockAgreement {
    /** Age from which a peer's word no longer counts, in milliseconds. */
    private static final long FORGOTTEN_MILLIS = 3_000;

    private final Map<String, Word> words = new HashMap<>();

    private record Word(long offsetMillis, long heardMillis) {}

    /**
     * Takes the time of day at a peer.
     *
     * @param peer the name of the peer
     * @param wallMillis its time of day in milliseconds since the epoch
     * @param steadyMillis the present time of the steady clock in milliseconds
     */
    public void heard(String peer, long wallMillis, long steadyMillis) {
        words.put(peer, new Word(wallMillis - steadyMillis, steadyMillis));
    }

    /**
     * Returns the agreed time of day.
     *
     * @param wallMillis this instance's time of day in milliseconds since the epoch
     * @param steadyMillis the present time of the steady clock in milliseconds
     * @return milliseconds since the epoch
     */
    public long trueMillis(long wallMillis, long steadyMillis) {
        words.values().removeIf(word -> steadyMillis - word.heardMillis() > FORGOTTEN_MILLIS);
        long[] offsets = new long[words.size() + 1];
        int i = 0;
        for (Word word : words.values()) {
            offsets[i++] = word.offsetMillis();
        }
        offsets[i] = wallMillis - steadyMillis;
        Arrays.sort(offsets);
        int middle = offsets.length / 2;
        long median = offsets.length % 2 == 1 ? offsets[middle] : (offsets[middle - 1] + offsets[middle]) / 2;
        return steadyMillis + median;
    }
}
