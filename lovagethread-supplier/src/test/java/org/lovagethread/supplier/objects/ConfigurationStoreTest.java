package org.lovagethread.supplier.objects;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.standins.ObjectApi;
import org.lovagethread.standins.StandInServer;
import org.lovagethread.supplier.objects.ConfigurationStore.ApplyResult;
import org.lovagethread.supplier.objects.ConfigurationStore.ApplyStatus;
import org.lovagethread.supplier.objects.ConfigurationStore.StoredRoot;

/** Tests {@link ConfigurationStore} against the stand-in for the Object API. */
class ConfigurationStoreTest {
    private static final int CONCURRENT_ROUNDS = 100;

    private StandInServer server;
    private ObjectApiClient objects;
    private ConfigurationStore store;

    @BeforeEach
    void start() throws InterruptedException {
        server = new StandInServer(0, new ObjectApi()::handle);
        objects = new ObjectApiClient(URI.create("http://127.0.0.1:" + server.port()));
        store = new ConfigurationStore(objects, Clock.systemUTC());
        control("{\"rateLimits\":false}");
    }

    @AfterEach
    void stop() {
        server.close();
    }

    private void control(String command) throws InterruptedException {
        URI uri = URI.create("http://127.0.0.1:" + server.port() + "/control");
        HttpRequest request = HttpRequest.newBuilder(uri)
                .POST(HttpRequest.BodyPublishers.ofString(command))
                .build();
        HttpClient.newHttpClient()
                .sendAsync(request, HttpResponse.BodyHandlers.discarding())
                .join();
    }

    private StoredRoot root() {
        return store.readRoot().orElseThrow();
    }

    private ApplyResult apply(StoredRoot base, String sheet, String writer) {
        return store.apply(base, sheet.getBytes(StandardCharsets.UTF_8), "test", writer);
    }

    @Nested
    class Apply {
        @Test
        void appliesExactlyOneOfTwoConcurrentUpdates() {
            for (int round = 0; round < CONCURRENT_ROUNDS; round++) {
                StoredRoot base = root();
                String left = "left-" + round;
                String right = "right-" + round;
                CompletableFuture<ApplyResult> other = CompletableFuture.supplyAsync(() -> apply(base, left, left));
                List<ApplyStatus> statuses = Stream.of(apply(base, right, right), other.join())
                        .map(ApplyResult::status)
                        .sorted()
                        .toList();
                assertThat(statuses).containsExactly(ApplyStatus.APPLIED, ApplyStatus.CONFLICT);
                assertThat(root().revision()).isEqualTo(base.revision() + 1);
            }
        }

        @Test
        void rejectsAnOutdatedBase() {
            StoredRoot outdated = root();
            apply(outdated, "one", "w1");
            assertThat(apply(outdated, "two", "w2")).isEqualTo(new ApplyResult(ApplyStatus.CONFLICT, 1));
        }

        @Test
        void recognizesItsOwnRevisionAfterALostResponse() throws InterruptedException {
            StoredRoot base = root();
            control("{\"loseWriteAnswers\":2}");
            assertThat(apply(base, "one", "w1")).isEqualTo(new ApplyResult(ApplyStatus.APPLIED, 1));
            assertThat(root().revision()).isEqualTo(1);
        }

        @Test
        void changesNothingDuringAnOutage() throws InterruptedException {
            StoredRoot base = root();
            control("{\"outage\":true}");
            assertThat(apply(base, "one", "w1").status()).isEqualTo(ApplyStatus.UNAVAILABLE);
            control("{\"outage\":false}");
            assertThat(root().revision()).isZero();
        }
    }

    @Nested
    class ReadSheet {
        @Test
        void joinsTheChunksOfASheetOverAMegabyte() {
            byte[] sheet = new byte[3 * ConfigurationStore.MAX_CHUNK_BYTES + 17];
            Arrays.fill(sheet, (byte) 'x');
            store.apply(root(), sheet, "test", "w1");
            RevisionEntry entry = root().root().orElseThrow().current();
            assertThat(entry.chunks()).hasSize(4);
            assertThat(store.readSheet(entry).orElseThrow()).isEqualTo(sheet);
        }

        @Test
        void rejectsATruncatedOrCorruptChunk() {
            apply(root(), "the whole sheet", "w1");
            RevisionEntry entry = root().root().orElseThrow().current();
            String path = ConfigurationStore.CHUNK_PREFIX + entry.chunks().get(0);
            ObjectReply chunk = objects.read(path).join();
            objects.write(path, chunk.version(), "the whole".getBytes(StandardCharsets.UTF_8))
                    .join();
            assertThat(store.readSheet(entry)).isEmpty();
        }
    }

    @Nested
    class History {
        @Test
        void recordsARollbackAsANewRevision() {
            apply(root(), "one", "w1");
            apply(root(), "two", "w2");
            apply(root(), "one", "w3");
            assertThat(root().root().orElseThrow().allRevisions())
                    .extracting(RevisionEntry::revision)
                    .containsExactly(3L, 2L, 1L);
        }
    }
}
