package org.lovagethread.supplier.objects;

import java.util.List;

/**
 * Describes one revision of the configuration.
 *
 * @param revision the number of the revision
 * @param digest the SHA-256 digest of the whole sheet in hexadecimal
 * @param chunks the digests of the parts of the sheet, in order
 * @param author who applied it
 * @param writer a text unique to the run of the command line that applied it
 * @param appliedAt the time of application in ISO 8601 form
 */
public record RevisionEntry(
        long revision, String digest, List<String> chunks, String author, String writer, String appliedAt) {

    /** Copies the list. */
    public RevisionEntry {
        chunks = List.copyOf(chunks);
    }
}
