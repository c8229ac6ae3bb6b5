package org.lovagethread.gateway.http;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;

/**
 * Limits the memory for responses that are buffered until they, or their next event, are complete. If too much is held,
 * the largest response is given up, so that one upstream that sends bytes without end costs only its own requests.
 *
 * <p>Not thread-safe: used on the gateway's event loop only.
 */
final class ResponseMemory {
    private final long limitBytes;
    private final Map<Holder, Long> bytesByHolder = new HashMap<>();
    private long totalBytes;

    /** A response that is being received. */
    interface Holder {
        /** Returns the number of bytes that are buffered. */
        long bufferedBytes();

        /** Gives the response up. */
        void evict();
    }

    /**
     * Creates a limit.
     *
     * @param limitBytes the maximum number of bytes that all responses may hold together
     */
    ResponseMemory(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /**
     * Accounts for the bytes of a response, and evicts the largest responses while the limit is exceeded.
     *
     * @param holder the response that has received bytes
     */
    void update(Holder holder) {
        long bytes = holder.bufferedBytes();
        if (bytes == 0) {
            release(holder);
            return;
        }
        Long previous = bytesByHolder.put(holder, bytes);
        totalBytes += bytes - (previous == null ? 0 : previous);
        while (totalBytes > limitBytes) {
            evictLargest();
        }
    }

    /**
     * Accounts for the end of a response.
     *
     * @param holder the response
     */
    void release(Holder holder) {
        Long bytes = bytesByHolder.remove(holder);
        totalBytes -= bytes == null ? 0 : bytes;
    }

    /** Returns the number of bytes that all responses hold together. */
    long totalBytes() {
        return totalBytes;
    }

    private void evictLargest() {
        Holder largest = bytesByHolder.entrySet().stream()
                .max(Comparator.comparingLong(Map.Entry::getValue))
                .orElseThrow()
                .getKey();
        release(largest);
        largest.evict();
    }
}
