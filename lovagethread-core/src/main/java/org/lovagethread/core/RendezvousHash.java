package org.lovagethread.core;

/** Ranks places for a key by rendezvous hashing: every node that knows the same places finds the same order. */
public final class RendezvousHash {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long MIX_MULTIPLIER = 0xff51afd7ed558ccdL;

    private RendezvousHash() {}

    /**
     * Returns the rank of a place for a key.
     *
     * @param key the key; may be empty
     * @param place the name of the place
     * @return a number; the place with the smallest one comes first
     */
    public static long rank(String key, String place) {
        long hash = FNV_OFFSET;
        String text = key + '\n' + place;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        hash ^= hash >>> 33;
        hash *= MIX_MULTIPLIER;
        return hash ^ (hash >>> 33);
    }
}
