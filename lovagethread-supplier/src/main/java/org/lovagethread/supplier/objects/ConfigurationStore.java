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
 * Keeps the configuration in the Object API.
 *
 * <p>A sheet is stored as immutable chunks named by their digests. One root object with a rising revision names the
 * chunks; it is moved by conditional update, so of two operators who race, one wins and the other sees a conflict.
 */
public final class ConfigurationStore {
    /** Path of the root object. */
    public static final String ROOT_PATH = "configuration/root";

    /** Start of the paths of the chunks. */
    public static final String CHUNK_PREFIX = "configuration/chunks/";

    /** Largest size of one chunk in bytes. */
    public static final int MAX_CHUNK_BYTES = 512 * 1024;

    private static final long ROOT_UPDATE_TIMEOUT_MILLIS = 10_000;
    private static final long ROOT_UPDATE_RETRY_MILLIS = 100;

    private final Clock clock;
    private final ObjectApiClient objects;

    /**
     * Creates the store.
     *
     * @param objects the client to use
     * @param clock tells the time of application and bounds the settling of unanswered writes
     */
    public ConfigurationStore(ObjectApiClient objects, Clock clock) {
        this.objects = objects;
        this.clock = clock;
    }

    /**
     * A root as it was read.
     *
     * @param version the version of the root object; zero if there is none
     * @param root the root, or empty if there is none
     */
    public record StoredRoot(long version, Optional<ConfigurationRoot> root) {
        /**
         * Returns the revision in force.
         *
         * @return the revision; zero if there is none
         */
        public long revision() {
            return root.map(present -> present.current().revision()).orElse(0L);
        }
    }

    /** Lists how an application of a sheet can end. */
    public enum ApplyStatus {
        /** The sheet is the configuration in force. */
        APPLIED,
        /** Another revision came first; the sheet is not in force. */
        CONFLICT,
        /** The Object API cannot be reached; the sheet is not in force. */
        UNAVAILABLE,
        /** The Object API gave no answer; the sheet may come into force. */
        UNKNOWN
    }

    /**
     * The result of an application.
     *
     * @param status how it ended
     * @param revision the revision applied, or the revision in force after a conflict; zero if not known
     */
    public record ApplyResult(ApplyStatus status, long revision) {}

    /**
     * Applies a sheet as the revision after the given root.
     *
     * @param base the root that the sheet was made from
     * @param sheet the bytes of the sheet
     * @param author who applies it
     * @param writer a text unique to this application
     * @return the result; never an exception for a failure of the service
     */
    public ApplyResult apply(StoredRoot base, byte[] sheet, String author, String writer) {
        List<String> chunks = new ArrayList<>();
        for (byte[] chunk : splitIntoChunks(sheet)) {
            String digest = Digests.sha256(chunk);
            chunks.add(digest);
            if (!writeChunk(digest, chunk)) {
                return new ApplyResult(ApplyStatus.UNAVAILABLE, base.revision());
            }
        }
        RevisionEntry entry = new RevisionEntry(
                base.revision() + 1,
                Digests.sha256(sheet),
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
     * @return the root, or empty if the service gave no answer
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
     * Reads the sheet of a revision and checks every digest.
     *
     * @param entry the revision
     * @return the bytes of the sheet, or empty if a chunk is missing, torn or corrupt
     */
    public Optional<byte[]> readSheet(RevisionEntry entry) {
        ByteArrayOutputStream sheet = new ByteArrayOutputStream();
        for (String digest : entry.chunks()) {
            Optional<byte[]> chunk = objects.read(CHUNK_PREFIX + digest).join().value();
            if (chunk.isEmpty() || !Digests.sha256(chunk.get()).equals(digest)) {
                return Optional.empty();
            }
            sheet.writeBytes(chunk.get());
        }
        byte[] whole = sheet.toByteArray();
        return Digests.sha256(whole).equals(entry.digest()) ? Optional.of(whole) : Optional.empty();
    }

    /**
     * Waits for the root to change.
     *
     * @param knownVersion the version known already; zero if none
     * @param waitMillis the longest wait
     * @return the root as it is then, or empty if the service gave no answer
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
            throw new IllegalStateException("the object " + ROOT_PATH + " is not a configuration root", e);
        }
    }

    private ApplyResult updateRoot(StoredRoot base, ConfigurationRoot next, String writer) {
        byte[] value = StoredJson.write(next);
        long settleByMillis = clock.millis() + ROOT_UPDATE_TIMEOUT_MILLIS;
        boolean uncertain = false;
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
                    if (!uncertain) {
                        return new ApplyResult(ApplyStatus.UNAVAILABLE, base.revision());
                    }
                }
                default -> uncertain = true;
            }
            pauseBeforeRetry();
        } while (clock.millis() < settleByMillis);
        return new ApplyResult(ApplyStatus.UNKNOWN, 0);
    }

    private static void pauseBeforeRetry() {
        try {
            Thread.sleep(ROOT_UPDATE_RETRY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static ApplyResult resolveConflict(ObjectReply reply, String writer) {
        if (reply.value().isEmpty()) {
            return new ApplyResult(ApplyStatus.CONFLICT, 0);
        }
        StoredRoot stored = parseRoot(reply);
        Optional<RevisionEntry> ours = stored.root().orElseThrow().allRevisions().stream()
                .filter(entry -> entry.writer().equals(writer))
                .findFirst();
        return ours.map(entry -> new ApplyResult(ApplyStatus.APPLIED, entry.revision()))
                .orElseGet(() -> new ApplyResult(ApplyStatus.CONFLICT, stored.revision()));
    }

    private boolean writeChunk(String digest, byte[] chunk) {
        for (int tries = 0; tries < 3; tries++) {
            StoreStatus status =
                    objects.write(CHUNK_PREFIX + digest, 0, chunk).join().status();
            if (status == StoreStatus.WRITTEN || status == StoreStatus.CONFLICT) {
                return true;
            }
        }
        return false;
    }
}
