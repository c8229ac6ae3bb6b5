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

/** Checks sheets from the Object API and from peers, offers them to the core, and keeps the newest for peers. */
public final class SheetHolder {
    private static final Logger LOG = System.getLogger(SheetHolder.class.getName());

    private final Consumer<Event> events;
    private HeldSheet newest = new HeldSheet(0, "", "");

    /**
     * Creates a holder without a sheet.
     *
     * @param events takes the offers to the core
     */
    public SheetHolder(Consumer<Event> events) {
        this.events = events;
    }

    /**
     * A sheet that passed every check.
     *
     * @param revision the revision; zero if there is none yet
     * @param digest the SHA-256 digest in hexadecimal
     * @param text the text of the sheet
     */
    public record HeldSheet(long revision, String digest, String text) {}

    /**
     * Returns the newest sheet.
     *
     * @return the sheet, or empty before the first one
     */
    public synchronized Optional<HeldSheet> newest() {
        return newest.revision() == 0 ? Optional.empty() : Optional.of(newest);
    }

    /**
     * Takes in a sheet; an older or corrupt one is passed over.
     *
     * @param revision the revision that the source states
     * @param digest the digest that the source states
     * @param text the text of the sheet
     * @return true if the sheet is newer than the one held and whole
     */
    public synchronized boolean offer(long revision, String digest, String text) {
        if (revision <= newest.revision()) {
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
        newest = new HeldSheet(revision, digest, text);
        events.accept(new Event.ConfigurationOffered(parsed.get().toConfiguration(revision)));
        return true;
    }
}
