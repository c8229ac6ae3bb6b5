package org.lovagethread.gateway.stream;

/**
 * A stream of which this gateway has forwarded an event.
 *
 * @param sequence the position in the order in which this gateway recorded the streams of the service
 * @param key the key of the identifier under which the stream is taken up again
 * @param version the version of the software of its upstream
 * @param beganMillis when it was recorded, in milliseconds
 */
public record BegunStream(long sequence, long key, String version, long beganMillis) {
    private static final long HASH_BASIS = 0xcbf29ce484222325L;
    private static final long HASH_PRIME = 0x100000001b3L;
    private static final long MIX_FACTOR = 0xff51afd7ed558ccdL;
    private static final int MIX_SHIFT = 33;

    /** Number of bits in the fraction of a double. */
    private static final int FRACTION_BITS = 53;

    /**
     * Returns the key of an identifier.
     *
     * @param streamId the identifier of the request that brought the first event of a stream
     * @return the key, a hash of 64 bits
     */
    public static long keyOf(String streamId) {
        long hash = HASH_BASIS;
        for (int i = 0; i < streamId.length(); i++) {
            hash = (hash ^ streamId.charAt(i)) * HASH_PRIME;
        }
        hash = (hash ^ (hash >>> MIX_SHIFT)) * MIX_FACTOR;
        return hash ^ (hash >>> MIX_SHIFT);
    }

    /**
     * Returns a number that is the same for all requests of a stream, and uniformly distributed over streams.
     *
     * @param streamId the identifier of the request that brought the first event of a stream
     * @return a number in the range [0, 1)
     */
    public static double draw(String streamId) {
        return (keyOf(streamId) >>> (Long.SIZE - FRACTION_BITS)) * 0x1p-53;
    }
}
