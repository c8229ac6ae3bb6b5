package org.lovagethread.core;

/** Rendezvous hashing: nodes with the same candidates rank them in the same order for a key. */
public final class RendezvousHash {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long MIX_MULTIPLIER = 0xff51afd7ed558ccdL;

    private RendezvousHash() {}

    /**
     * Returns the rank of a candidate for a key.
     *
     * @param key the key; may be empty
     * @param candidate the name of the candidate
     * @return the rank; the candidate with the smallest rank comes first
     */
    public static long rank(String key, String candidate) {
        long hash = FNV_OFFSET;
        String text = key + '\n' + candidate;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        hash ^= hash >>> 33;
        hash *= MIX_MULTIPLIER;
        return hash ^ (hash >>> 33);
    }
}
