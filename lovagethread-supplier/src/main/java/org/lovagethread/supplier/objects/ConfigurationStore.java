package org.lovagethread.supplier.objects;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Clock;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.lovagethread.core.store.StoreStatus;
import org.lovagethread.supplier.Digests;
import org.lovagethread.supplier.Json;

/**
 * Stores the configuration in the Object API.
 *
 * <p>A sheet is stored as immutable chunks whose paths contain their digests. One root object with an increasing
 * revision lists the chunks. The root is replaced by a conditional update, so one of two concurrent updates succeeds
 * and the other fails with a conflict.
 */
public final class ConfigurationStore {
    /** Path of the root object. */
    public static final String ROOT_PATH = "configuration/root";

    /** Path prefix of the chunks. */
    public static final String CHUNK_PREFIX = "configuration/chunks/";

    /** Maximum size of a chunk in bytes. */
    public static final int MAX_CHUNK_BYTES = 512 * 1024;

    private static final long ROOT_UPDATE_TIMEOUT_MILLIS = 10_000;
    private static final long ROOT_UPDATE_RETRY_DELAY_MILLIS = 100;

    private final Clock clock;
    private final ObjectApiClient objects;

    /**
     * Creates the store.
     *
     * @param objects the client of the Object API
     * @param clock provides the time recorded for a revision and limits the retries of unanswered writes
     */
    public ConfigurationStore(ObjectApiClient objects, Clock clock) {
        this.objects = objects;
        this.clock = clock;
    }

    /**
     * Root object as it was read, with its version.
     *
     * @param version the version of the root object; zero if it does not exist
     * @param root the root, or empty if it does not exist
     */
    public record StoredRoot(long version, Optional<ConfigurationRoot> root) {
        /**
         * Returns the active revision.
         *
         * @return the revision; zero if there is none
         */
        public long revision() {
            return root.map(present -> present.current().revision()).orElse(0L);
        }
    }

    /** Outcome of applying a sheet. */
    public enum ApplyStatus {
        /** The sheet is the active configuration. */
        APPLIED,
        /** Another revision was applied concurrently; the sheet is not active. */
        CONFLICT,
        /** The Object API is unreachable; the sheet is not active. */
        UNAVAILABLE,
        /** The Object API did not respond; the sheet may still become active. */
        UNKNOWN
    }

    /**
     * Result of applying a sheet.
     *
     * @param status the outcome
     * @param revision the applied revision, or the active revision after a conflict; zero if unknown
     */
    public record ApplyResult(ApplyStatus status, long revision) {}

    /**
     * Applies a sheet as the revision that follows a root.
     *
     * @param base the root on which the sheet is based
     * @param sheet the bytes of the sheet
     * @param author the user who applies the sheet
     * @param writer a string unique to this invocation, by which it recognizes its own revision
     * @return the result; failures of the service are reported here and not as an exception
     */
    public ApplyResult apply(StoredRoot base, byte[] sheet, String author, String writer) {
        List<String> chunks = new ArrayList<>();
        for (byte[] chunk : splitIntoChunks(sheet)) {
            String digest = Digests.sha256Hex(chunk);
            chunks.add(digest);
            if (!writeChunk(digest, chunk)) {
                return new ApplyResult(ApplyStatus.UNAVAILABLE, base.revision());
            }
        }
        RevisionEntry entry = new RevisionEntry(
                base.revision() + 1,
                Digests.sha256Hex(sheet),
                chunks,
                author,
                writer,
                clock.instant().toString());
        ConfigurationRoot next = base.root()
                .map(root -> root.withRevision(entry))
                .orElseGet(() -> new ConfigurationRoot(entry, List.of()));
        return updateRoot(base, next, writer);
    }

    /**
     * Reads the root.
     *
     * @return the root, or empty if the service did not respond
     */
    public Optional<StoredRoot> readRoot() {
        ObjectReply reply = objects.read(ROOT_PATH).join();
        return switch (reply.status()) {
            case FOUND -> Optional.of(parseRoot(reply));
            case MISSING -> Optional.of(new StoredRoot(0, Optional.empty()));
            default -> Optional.empty();
        };
    }

    /**
     * Reads the sheet of a revision and verifies the digests of its chunks and of the complete sheet.
     *
     * @param entry the revision
     * @return the bytes of the sheet, or empty if a chunk is missing, truncated or corrupt
     */
    public Optional<byte[]> readSheet(RevisionEntry entry) {
        ByteArrayOutputStream sheet = new ByteArrayOutputStream();
        for (String digest : entry.chunks()) {
            Optional<byte[]> chunk = objects.read(CHUNK_PREFIX + digest).join().value();
            if (chunk.isEmpty() || !Digests.sha256Hex(chunk.get()).equals(digest)) {
                return Optional.empty();
            }
            sheet.writeBytes(chunk.get());
        }
        byte[] sheetBytes = sheet.toByteArray();
        return Digests.sha256Hex(sheetBytes).equals(entry.digest()) ? Optional.of(sheetBytes) : Optional.empty();
    }

    /**
     * Waits by long polling until the root changes.
     *
     * @param knownVersion the version that the caller already has; zero if none
     * @param waitMillis the maximum time to wait, in milliseconds
     * @return the stored root when it changes or the wait ends; empty if there is none or the service did not respond
     */
    public Optional<StoredRoot> watchRoot(long knownVersion, long waitMillis) {
        ObjectReply reply = objects.watch(ROOT_PATH, knownVersion, waitMillis).join();
        return reply.status() == StoreStatus.FOUND ? Optional.of(parseRoot(reply)) : Optional.empty();
    }

    private static List<byte[]> splitIntoChunks(byte[] sheet) {
        List<byte[]> chunks = new ArrayList<>();
        for (int from = 0; from < sheet.length; from += MAX_CHUNK_BYTES) {
            chunks.add(Arrays.copyOfRange(sheet, from, Math.min(sheet.length, from + MAX_CHUNK_BYTES)));
        }
        return chunks;
    }

    private static StoredRoot parseRoot(ObjectReply reply) {
        try {
            ConfigurationRoot root = Json.mapper().readValue(reply.value().orElseThrow(), ConfigurationRoot.class);
            return new StoredRoot(reply.version(), Optional.of(root));
        } catch (IOException e) {
            throw new IllegalStateException(
                    "the object " + ROOT_PATH + " does not contain a valid configuration root", e);
        }
    }

    private ApplyResult updateRoot(StoredRoot base, ConfigurationRoot next, String writer) {
        byte[] value = StoredJson.write(next);
        long deadlineMillis = clock.millis() + ROOT_UPDATE_TIMEOUT_MILLIS;
        boolean outcomeUnknown = false;
        do {
            ObjectReply reply = objects.write(ROOT_PATH, base.version(), value).join();
            switch (reply.status()) {
                case WRITTEN -> {
                    return new ApplyResult(ApplyStatus.APPLIED, next.current().revision());
                }
                case CONFLICT -> {
                    return resolveConflict(reply, writer);
                }
                case REJECTED -> {
                    if (!outcomeUnknown) {
                        return new ApplyResult(ApplyStatus.UNAVAILABLE, base.revision());
                    }
                }
                default -> outcomeUnknown = true;
            }
            pauseBeforeRetry();
        } while (clock.millis() < deadlineMillis);
        return new ApplyResult(ApplyStatus.UNKNOWN, 0);
    }

    private static void pauseBeforeRetry() {
        try {
            Thread.sleep(ROOT_UPDATE_RETRY_DELAY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static ApplyResult resolveConflict(ObjectReply reply, String writer) {
        if (reply.value().isEmpty()) {
            return new ApplyResult(ApplyStatus.CONFLICT, 0);
        }
        StoredRoot stored = parseRoot(reply);
        Optional<RevisionEntry> ownEntry = stored.root().orElseThrow().allRevisions().stream()
                .filter(entry -> entry.writer().equals(writer))
                .findFirst();
        return ownEntry.map(entry -> new ApplyResult(ApplyStatus.APPLIED, entry.revision()))
                .orElseGet(() -> new ApplyResult(ApplyStatus.CONFLICT, stored.revision()));
    }

    private boolean writeChunk(String digest, byte[] chunk) {
        for (int attempt = 0; attempt < 3; attempt++) {
            StoreStatus status =
                    objects.write(CHUNK_PREFIX + digest, 0, chunk).join().status();
            if (status == StoreStatus.WRITTEN || status == StoreStatus.CONFLICT) {
                return true;
            }
        }
        return false;
    }
}
