package org.lovagethread.gateway.upstream;

import java.util.Objects;
import java.util.Optional;
import org.lovagethread.gateway.store.StoreVersion;

/**
 * Identifies one process of an upstream that is leaving.
 *
 * <p>A process that has announced its shutdown is leaving for good. A process whose entry was removed has left unless
 * it is listed again at a later revision. Once the store has come back from an older copy, its entry may be listed
 * although it has left, so the mark applies to all entries of later eras.
 *
 * @param upstreamId the identifier of the upstream
 * @param startedAtMillis the start time of its process in milliseconds since the epoch
 * @param lastRevision the version of the store up to which the mark overrides an entry of the process
 */
public record LeavingMark(String upstreamId, long startedAtMillis, long lastRevision) {
    private static final char SEPARATOR = '@';
    private static final int PARTS = 3;

    /**
     * Returns the mark of a process that has announced its shutdown.
     *
     * @param entry an entry of the process
     * @return the mark
     */
    public static LeavingMark announced(UpstreamEntry entry) {
        return new LeavingMark(entry.id(), entry.startedAtMillis(), Long.MAX_VALUE);
    }

    /**
     * Returns the mark of a process whose entry was removed.
     *
     * @param entry the last entry of the process
     * @param revision the revision of the store at which the entry is missing
     * @return the mark
     */
    public static LeavingMark removed(UpstreamEntry entry, long revision) {
        return new LeavingMark(entry.id(), entry.startedAtMillis(), revision);
    }

    /**
     * Parses the text form of a mark.
     *
     * @param text the text, as returned by {@link #text}
     * @return the mark, or empty if the text is not a mark
     */
    public static Optional<LeavingMark> parse(String text) {
        String[] parts = text.split(String.valueOf(SEPARATOR), -1);
        if (parts.length != PARTS) {
            return Optional.empty();
        }
        try {
            return Optional.of(new LeavingMark(parts[0], Long.parseLong(parts[1]), Long.parseLong(parts[2])));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    /**
     * Returns the text form of this mark.
     *
     * @return the text, which {@link #parse} accepts
     */
    public String text() {
        return upstreamId + SEPARATOR + startedAtMillis + SEPARATOR + lastRevision;
    }

    /**
     * Returns whether the process has announced its shutdown.
     *
     * @return false if its entry was only removed
     */
    public boolean isAnnounced() {
        return lastRevision == Long.MAX_VALUE;
    }

    /**
     * Returns whether an entry describes the marked process and is not newer than the mark.
     *
     * @param entry the entry
     * @param version the version of the entry
     * @return true if the upstream must not be used because of this mark
     */
    public boolean appliesTo(UpstreamEntry entry, long version) {
        return concerns(entry) && !isRefutedBy(version);
    }

    /**
     * Returns whether an entry describes the marked process.
     *
     * @param entry the entry
     * @return true if the process is the same
     */
    public boolean concerns(UpstreamEntry entry) {
        return upstreamId.equals(entry.id()) && startedAtMillis == entry.startedAtMillis();
    }

    /**
     * Returns whether the store has come back from an older copy since the mark.
     *
     * @param version the version of an entry
     * @return true if the entry is of a later era of the store
     */
    public boolean isOfEarlierEra(long version) {
        return !isAnnounced() && StoreVersion.era(version) > StoreVersion.era(lastRevision);
    }

    /**
     * Returns whether an entry of the process shows that it has not left.
     *
     * @param version the version of the entry
     * @return true if the entry is later than the mark, in the same history of the store
     */
    public boolean isRefutedBy(long version) {
        return version > lastRevision && StoreVersion.era(version) == StoreVersion.era(lastRevision);
    }

    // Implemented explicitly, because linking the generated methods at run time delays the start of the process.
    @Override
    public boolean equals(Object other) {
        return other instanceof LeavingMark mark
                && upstreamId.equals(mark.upstreamId)
                && startedAtMillis == mark.startedAtMillis
                && lastRevision == mark.lastRevision;
    }

    @Override
    public int hashCode() {
        return Objects.hash(upstreamId, startedAtMillis, lastRevision);
    }
}
