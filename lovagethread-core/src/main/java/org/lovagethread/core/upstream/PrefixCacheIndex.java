package org.lovagethread.core.upstream;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers at which upstreams this node has lately sent a prompt prefix.
 *
 * <p>It is a hint: an upstream may have dropped the prefix from its cache since.
 */
public final class PrefixCacheIndex {
    /** The most pairs of prefix and upstream that are remembered. */
    public static final int MAX_ENTRIES = 8_192;

    private final Map<Entry, Boolean> entries = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Entry, Boolean> eldest) {
            return size() > MAX_ENTRIES;
        }
    };

    private record Entry(String prefixKey, String upstream) {
        // Written out: the generated methods are linked at run time, which costs a restarted process tens of
        // milliseconds.
        @Override
        public boolean equals(Object other) {
            return other instanceof Entry entry && prefixKey.equals(entry.prefixKey) && upstream.equals(entry.upstream);
        }

        @Override
        public int hashCode() {
            return 31 * prefixKey.hashCode() + upstream.hashCode();
        }
    }

    /**
     * Notes that a prompt with a prefix was sent to an upstream.
     *
     * @param prefixKey the digest of the prefix; an empty text is passed over
     * @param upstream the identifier of the upstream
     */
    public void recordSent(String prefixKey, String upstream) {
        if (!prefixKey.isEmpty()) {
            entries.put(new Entry(prefixKey, upstream), true);
        }
    }

    /**
     * Tests whether an upstream probably holds a prefix in its cache.
     *
     * @param prefixKey the digest of the prefix; an empty text is never held
     * @param upstream the identifier of the upstream
     * @return true if the prefix was sent there and has not been displaced from this memory
     */
    public boolean isLikelyCached(String prefixKey, String upstream) {
        return !prefixKey.isEmpty() && entries.containsKey(new Entry(prefixKey, upstream));
    }
}
