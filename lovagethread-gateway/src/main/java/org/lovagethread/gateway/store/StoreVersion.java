package org.lovagethread.gateway.store;

import org.lovagethread.core.Checks;

/**
 * Versions of the store's state as single numbers, ordered by era and then by revision.
 *
 * <p>A store that comes back from an older copy begins a new era, in which it gives out its latest revisions again.
 * Revisions alone are therefore neither unique nor ordered, but versions are.
 */
public final class StoreVersion {
    /** Largest revision that a version can hold. */
    public static final long MAX_REVISION = (1L << 40) - 1;

    /** Largest era that a version can hold. */
    public static final long MAX_ERA = (1L << 23) - 1;

    private static final int REVISION_BITS = 40;

    private StoreVersion() {}

    /**
     * Returns the version of a state.
     *
     * @param era the era of the store; zero if the store does not name eras
     * @param revision the revision within the era
     * @return the version, which equals the revision in era zero
     * @throws IllegalArgumentException if an argument is negative or too large
     */
    public static long of(long era, long revision) {
        Checks.inRange(era, 0, MAX_ERA, "era");
        Checks.inRange(revision, 0, MAX_REVISION, "revision");
        return (era << REVISION_BITS) | revision;
    }

    /**
     * Returns the era of a version.
     *
     * @param version the version
     * @return the era
     */
    public static long era(long version) {
        return version >> REVISION_BITS;
    }

    /**
     * Returns the revision of a version.
     *
     * @param version the version
     * @return the revision within its era
     */
    public static long revision(long version) {
        return version & MAX_REVISION;
    }
}
