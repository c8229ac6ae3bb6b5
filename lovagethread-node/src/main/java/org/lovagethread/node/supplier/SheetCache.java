package org.lovagethread.node.supplier;

import io.vavr.control.Either;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.lovagethread.core.event.Event;
import org.lovagethread.supplier.Digests;
import org.lovagethread.supplier.sheet.Sheet;
import org.lovagethread.supplier.sheet.SheetError;
import org.lovagethread.supplier.sheet.SheetParser;

/**
 * Caches the latest configuration sheet. Sheets from the Object API and from peers are verified before they are passed
 * to the core and become available to peers.
 */
public final class SheetCache {
    private static final Logger LOG = System.getLogger(SheetCache.class.getName());

    private final Consumer<Event> events;
    private VerifiedSheet latest = new VerifiedSheet(0, "", "");

    /**
     * Creates a cache without a sheet.
     *
     * @param events receives the verified configurations
     */
    public SheetCache(Consumer<Event> events) {
        this.events = events;
    }

    /**
     * A configuration sheet that passed all checks.
     *
     * @param revision the revision; zero if there is no sheet yet
     * @param digest the SHA-256 digest of the text in hexadecimal
     * @param text the text of the sheet
     */
    public record VerifiedSheet(long revision, String digest, String text) {}

    /**
     * Returns the latest sheet.
     *
     * @return the sheet, or empty if there is none yet
     */
    public synchronized Optional<VerifiedSheet> latest() {
        return latest.revision() == 0 ? Optional.empty() : Optional.of(latest);
    }

    /**
     * Verifies a sheet and accepts it if it is valid and newer than the cached one. Other sheets are ignored.
     *
     * @param revision the revision stated by the source
     * @param digest the digest stated by the source
     * @param text the text of the sheet
     * @return true if the sheet was accepted
     */
    public synchronized boolean offer(long revision, String digest, String text) {
        if (revision <= latest.revision()) {
            return false;
        }
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        if (!Digests.sha256Hex(bytes).equals(digest)) {
            LOG.log(Level.WARNING, "configuration-corrupt revision {0}", revision);
            return false;
        }
        Either<List<SheetError>, Sheet> parsed = SheetParser.parse(bytes);
        if (parsed.isLeft()) {
            LOG.log(Level.WARNING, "configuration-unreadable revision {0}: {1}", revision, parsed.getLeft());
            return false;
        }
        latest = new VerifiedSheet(revision, digest, text);
        events.accept(new Event.ConfigurationOffered(parsed.get().toConfiguration(revision)));
        return true;
    }
}
