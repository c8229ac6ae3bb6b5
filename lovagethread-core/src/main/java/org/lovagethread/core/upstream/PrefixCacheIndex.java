package org.lovagethread.core.upstream;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Bounded index of the prompt prefixes that this node has recently sent to each upstream.
 *
 * <p>The least recently used entries are evicted. The index is a hint only, since an upstream may have evicted the
 * prefix from its own cache.
 */
public final class PrefixCacheIndex {
    /** Maximum number of pairs of prefix and upstream. */
    public static final int MAX_ENTRIES = 8_192;

    private final Map<Entry, Boolean> entries = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Entry, Boolean> eldest) {
            return size() > MAX_ENTRIES;
        }
    };

    private record Entry(String prefixKey, String upstream) {
        // Implemented explicitly, because linking the generated methods at run time delays the start of the process by
        // tens of milliseconds.
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
     * Records that a prompt with a prefix was sent to an upstream.
     *
     * @param prefixKey the digest of the prefix; an empty string is ignored
     * @param upstream the identifier of the upstream
     */
    public void recordSent(String prefixKey, String upstream) {
        if (!prefixKey.isEmpty()) {
            entries.put(new Entry(prefixKey, upstream), true);
        }
    }

    /**
     * Returns whether an upstream probably has a prefix in its cache.
     *
     * @param prefixKey the digest of the prefix; an empty string is never cached
     * @param upstream the identifier of the upstream
     * @return true if the prefix was sent to the upstream and its entry has not been evicted
     */
    public boolean isLikelyCached(String prefixKey, String upstream) {
        return !prefixKey.isEmpty() && entries.containsKey(new Entry(prefixKey, upstream));
    }
}
