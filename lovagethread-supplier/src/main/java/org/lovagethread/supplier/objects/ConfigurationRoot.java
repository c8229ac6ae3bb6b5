package org.lovagethread.supplier.objects;

import java.util.ArrayList;
import java.util.List;

/**
 * Root object, which identifies the active configuration.
 *
 * @param current the active revision
 * @param history earlier revisions, newest first
 */
public record ConfigurationRoot(RevisionEntry current, List<RevisionEntry> history) {
    /** Maximum number of earlier revisions in the history. */
    public static final int MAX_HISTORY = 100;

    /** Copies the list. */
    public ConfigurationRoot {
        history = List.copyOf(history);
    }

    /**
     * Returns the current revision and the earlier ones, newest first.
     *
     * @return the revisions
     */
    public List<RevisionEntry> allRevisions() {
        List<RevisionEntry> all = new ArrayList<>();
        all.add(current);
        all.addAll(history);
        return all;
    }

    /**
     * Returns a copy with a new current revision; the previous one moves to the history.
     *
     * @param next the new current revision
     * @return a root whose history starts with the revision that was current
     */
    public ConfigurationRoot withRevision(RevisionEntry next) {
        List<RevisionEntry> earlier = allRevisions();
        return new ConfigurationRoot(next, earlier.subList(0, Math.min(earlier.size(), MAX_HISTORY)));
    }
}
