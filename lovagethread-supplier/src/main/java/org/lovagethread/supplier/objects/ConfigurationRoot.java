package org.lovagethread.supplier.objects;

import java.util.ArrayList;
import java.util.List;

/**
 * Holds the one object that says which configuration is in force.
 *
 * @param current the revision in force
 * @param history earlier revisions, newest first
 */
public record ConfigurationRoot(RevisionEntry current, List<RevisionEntry> history) {
    /** The most earlier revisions that are kept. */
    public static final int MAX_HISTORY = 100;

    /** Copies the list. */
    public ConfigurationRoot {
        history = List.copyOf(history);
    }

    /**
     * Returns all revisions that are known, newest first.
     *
     * @return the current revision and the history
     */
    public List<RevisionEntry> allRevisions() {
        List<RevisionEntry> all = new ArrayList<>();
        all.add(current);
        all.addAll(history);
        return all;
    }

    /**
     * Returns the root that follows when a revision is applied.
     *
     * @param next the revision to apply
     * @return a root whose history starts with the present revision
     */
    public ConfigurationRoot withRevision(RevisionEntry next) {
        List<RevisionEntry> earlier = allRevisions();
        return new ConfigurationRoot(next, earlier.subList(0, Math.min(earlier.size(), MAX_HISTORY)));
    }
}
