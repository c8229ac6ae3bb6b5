package org.lovagethread.supplier.objects;

import java.util.List;

/**
 * Entry of one revision of the configuration.
 *
 * @param revision the number of the revision
 * @param digest the SHA-256 digest of the complete sheet in hexadecimal
 * @param chunks the digests of the chunks of the sheet, in order
 * @param author the user who applied the revision
 * @param writer a string unique to the command-line invocation that applied the revision
 * @param appliedAt the time at which the revision was applied, in ISO 8601 format
 */
public record RevisionEntry(
        long revision, String digest, List<String> chunks, String author, String writer, String appliedAt) {

    /** Copies the list. */
    public RevisionEntry {
        chunks = List.copyOf(chunks);
    }
}
