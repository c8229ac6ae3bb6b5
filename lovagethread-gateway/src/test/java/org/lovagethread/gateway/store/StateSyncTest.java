package org.lovagethread.gateway.store;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.IntNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.TextNode;
import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.SilenceTimeouts;
import org.lovagethread.gateway.config.ClientLimits;
import org.lovagethread.gateway.config.ConfigurationDecoder;
import org.lovagethread.gateway.config.GatewayConfiguration;
import org.lovagethread.gateway.config.RouteTable;
import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.store.ObjectStore.Change;
import org.lovagethread.gateway.store.ObjectStore.Changes;
import org.lovagethread.gateway.store.ObjectStore.Page;
import org.lovagethread.gateway.store.StoreReply.Status;
import org.lovagethread.gateway.upstream.UpstreamEntry;
import org.lovagethread.gateway.upstream.UpstreamTable;
import org.lovagethread.wire.generated.UpstreamListing;
import org.lovagethread.wire.generated.UpstreamRecord;

class StateSyncTest implements Scheduler, ConfigurationDecoder {
    private static final String SERVICE = "pool";

    private final ScriptedStore store = new ScriptedStore();
    private final UpstreamTable upstreams = new UpstreamTable();
    private final ByteArrayOutputStream logText = new ByteArrayOutputStream();
    private final EventLog log = new EventLog("node", logText);
    private final StateSync sync = new StateSync(store, this, upstreams, this, new SilenceTimeouts(4_000), log);
    private long now = 10_000;

    /** Captures the last call of each kind, to which a test then replies. */
    private static final class ScriptedStore implements ObjectStore {
        private final Map<ObjectKind, Consumer<StoreReply<Page>>> listReplies = new HashMap<>();
        private final Map<ObjectKind, Consumer<StoreReply<Changes>>> watchReplies = new HashMap<>();

        @Override
        public void list(ObjectKind kind, String afterName, Consumer<StoreReply<Page>> reply) {
            listReplies.put(kind, reply);
        }

        @Override
        public void watch(ObjectKind kind, long revision, long waitMillis, Consumer<StoreReply<Changes>> reply) {
            watchReplies.put(kind, reply);
        }

        @Override
        public void read(ObjectKind kind, String name, Consumer<StoreReply<StoredObject>> reply) {}

        @Override
        public void create(ObjectKind kind, String name, JsonNode content, Consumer<StoreReply<StoredObject>> reply) {}

        @Override
        public void replace(
                ObjectKind kind, StoredObject expected, JsonNode content, Consumer<StoreReply<StoredObject>> reply) {}

        @Override
        public void replaceStatus(
                ObjectKind kind, StoredObject expected, JsonNode status, Consumer<StoreReply<StoredObject>> reply) {}

        @Override
        public void remove(ObjectKind kind, String name, Consumer<StoreReply<StoredObject>> reply) {}
    }

    @Override
    public long nowMillis() {
        return now;
    }

    @Override
    public void schedule(long delayMillis, Runnable action) {}

    /** Decodes a number as the version of a configuration. */
    @Override
    public Either<String, GatewayConfiguration> decodeConfiguration(JsonNode content) {
        if (content.asText().equals("fail")) {
            throw new IllegalStateException("decoder");
        }
        return content.isInt()
                ? Either.right(new GatewayConfiguration(
                        content.asInt(),
                        new RouteTable(List.of()),
                        Map.of(),
                        Map.of(),
                        List.of(),
                        ClientLimits.DEFAULT))
                : Either.left("no version");
    }

    /** Decodes a text as the host of an upstream. */
    @Override
    public Either<String, UpstreamEntry> decodeUpstream(StoredObject object) {
        if (object.content().asText().equals("fail")) {
            throw new IllegalStateException("decoder");
        }
        return object.content().isTextual()
                ? Either.right(new UpstreamEntry(
                        object.name(), SERVICE, object.content().asText(), 80, "a", 1, false, false, 0))
                : Either.left("no host");
    }

    private static StoredObject sound(String name) {
        return new StoredObject(name, 4, TextNode.valueOf("10.0.0.1"));
    }

    private static StoredObject odd(String name) {
        return StoredObject.unreadable(name, 4, "too deep");
    }

    private void list(ObjectKind kind, StoredObject... objects) {
        store.listReplies.get(kind).accept(StoreReply.of(Status.OK, new Page(List.of(objects), false, 4)));
    }

    private void change(ObjectKind kind, long revision, StoredObject object) {
        Changes changes = new Changes(List.of(new Change(object, false)), revision);
        store.watchReplies.get(kind).accept(StoreReply.of(Status.OK, changes));
    }

    private List<String> availableIds() {
        return upstreams.available(SERVICE).stream()
                .map(upstream -> upstream.entry().id())
                .toList();
    }

    private List<String> logLines(String event) {
        log.start();
        log.close();
        return logText.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.contains("\"" + event + "\""))
                .toList();
    }

    private static UpstreamListing decompress(ByteString bytes) throws Exception {
        return UpstreamListing.parseFrom(Gzip.decompress(bytes));
    }

    @Nested
    class AgeOfTheUpstreams {
        // Guards against a list of which nobody knows how old it is, and that counts as up to date.
        @Test
        void isUnknownUntilTheStoreOrAPeerHasStatedIt() {
            assertThat(sync.upstreamsListedMillis()).isEmpty();
            sync.onPeerList(sync.upstreamsRevision() + 1, 0);
            assertThat(sync.upstreamsListedMillis()).isEmpty();
            sync.onPeerList(sync.upstreamsRevision(), 700);
            assertThat(sync.upstreamsListedMillis()).hasValue(now - 700);
        }

        // Guards against a reply without the history, which shows that the list is out of date.
        @Test
        void beginsWithTheCallThatTheStoreAnswered() {
            sync.start();
            store.listReplies
                    .get(ObjectKind.UPSTREAMS)
                    .accept(StoreReply.of(Status.OK, new ObjectStore.Page(List.of(), false, 5)));
            assertThat(sync.upstreamsListedMillis()).hasValue(10_000);
            now = 12_000;
            store.watchReplies.get(ObjectKind.UPSTREAMS).accept(StoreReply.of(Status.HISTORY_GONE));
            assertThat(sync.upstreamsListedMillis()).hasValue(10_000);
        }
    }

    @Nested
    class UnreadableUpstreams {
        @Test
        void doNotHideOthersOfAListing() {
            sync.start();
            list(ObjectKind.UPSTREAMS, sound("a"), odd("b"), new StoredObject("c", 4, IntNode.valueOf(1)), sound("d"));
            assertThat(availableIds()).containsExactly("a", "d");
            assertThat(logLines("upstream-unreadable"))
                    .hasSize(2)
                    .first()
                    .asString()
                    .contains("\"b\"", "too deep");
        }

        @Test
        void areNoLongerUsedAfterAChange() {
            sync.start();
            list(ObjectKind.UPSTREAMS, sound("a"), sound("b"));
            change(ObjectKind.UPSTREAMS, 5, odd("b"));
            assertThat(availableIds()).containsExactly("a");
        }

        @Test
        void areLoggedOnceWhileTheyStayTheSame() {
            sync.start();
            list(ObjectKind.UPSTREAMS, odd("b"));
            for (int i = 0; i < 100; i++) {
                change(ObjectKind.UPSTREAMS, 5 + i, odd("b"));
                now += 1_000;
            }
            change(ObjectKind.UPSTREAMS, 200, sound("b"));
            change(ObjectKind.UPSTREAMS, 201, odd("b"));
            assertThat(logLines("upstream-unreadable")).hasSize(2);
        }

        @Test
        void doNotFloodTheLog() {
            sync.start();
            list(ObjectKind.UPSTREAMS);
            for (int i = 0; i < 200; i++) {
                change(ObjectKind.UPSTREAMS, 5 + i, StoredObject.unreadable("b", 5 + i, i + "x".repeat(10_000)));
            }
            now += 1_000;
            change(ObjectKind.UPSTREAMS, 2_000, odd("b"));
            List<String> lines = logLines("upstream-unreadable");
            assertThat(lines).hasSizeBetween(2, 100).allMatch(line -> line.length() < 1_000);
            assertThat(lines.get(lines.size() - 1)).contains("omitted_before", "too deep");
        }

        @Test
        void thatMakeTheDecoderFailDoNotHideOthers() {
            sync.start();
            list(ObjectKind.UPSTREAMS, new StoredObject("a", 4, TextNode.valueOf("fail")), sound("b"));
            assertThat(availableIds()).containsExactly("b");
        }

        @Test
        void areNotSentToPeers() throws Exception {
            sync.start();
            list(ObjectKind.UPSTREAMS, sound("a"), odd("b"), sound("c"));
            change(ObjectKind.UPSTREAMS, 5, odd("c"));
            assertThat(decompress(sync.compressedUpstreams()).getUpstreamsList())
                    .extracting(UpstreamRecord::getId)
                    .containsExactly("a");
        }

        @Test
        void ofAPeerDoNotHideOthers() {
            UpstreamListing listing = UpstreamListing.newBuilder()
                    .setRevision(7)
                    .addUpstreams(UpstreamRecord.newBuilder()
                            .setId("a")
                            .setContent(ByteString.copyFromUtf8("9".repeat(5_000))))
                    .addUpstreams(
                            UpstreamRecord.newBuilder().setId("b").setContent(ByteString.copyFromUtf8("\"10.0.0.1\"")))
                    .build();
            sync.offerUpstreams(Gzip.compress(listing.toByteString()), "peer");
            assertThat(availableIds()).containsExactly("b");
            assertThat(sync.upstreamsRevision()).isEqualTo(7);
        }
    }

    @Nested
    class UnreadableConfigurations {
        @Test
        void keepTheActiveOne() {
            sync.start();
            list(ObjectKind.CONFIGURATION, new StoredObject("main", 4, IntNode.valueOf(3)));
            change(ObjectKind.CONFIGURATION, 5, odd("main"));
            change(ObjectKind.CONFIGURATION, 6, new StoredObject("main", 6, JsonNodeFactory.instance.objectNode()));
            assertThat(sync.configuration().map(GatewayConfiguration::version)).isEqualTo(Optional.of(3L));
            assertThat(logLines("configuration-unreadable")).hasSize(2);
            change(ObjectKind.CONFIGURATION, 7, new StoredObject("main", 7, IntNode.valueOf(8)));
            assertThat(sync.configuration().map(GatewayConfiguration::version)).isEqualTo(Optional.of(8L));
        }

        @Test
        void thatMakeTheDecoderFailDoNotHideOthers() {
            sync.start();
            list(
                    ObjectKind.CONFIGURATION,
                    new StoredObject("first", 4, TextNode.valueOf("fail")),
                    new StoredObject("main", 4, IntNode.valueOf(3)));
            assertThat(sync.configuration().map(GatewayConfiguration::version)).isEqualTo(Optional.of(3L));
        }
    }

    /** A list that a peer has read later than this gateway's own list or changes. */
    @Nested
    class ListingsOfPeers {
        private static final long PEER_REVISION = 9;

        private void offerFromPeer() {
            UpstreamListing later = UpstreamListing.newBuilder()
                    .setRevision(PEER_REVISION)
                    .addUpstreams(
                            UpstreamRecord.newBuilder().setId("a").setContent(ByteString.copyFromUtf8("\"10.0.0.9\"")))
                    .build();
            sync.offerUpstreams(Gzip.compress(later.toByteString()), "peer");
        }

        private void assertStateOfPeer() {
            assertThat(upstreams.find("a").orElseThrow().entry().host()).isEqualTo("10.0.0.9");
            assertThat(upstreams.find("a").orElseThrow().revision()).isEqualTo(PEER_REVISION);
        }

        // A slow list of the store replaced the later one, until the next changes arrived.
        @Test
        void areNotReplacedByAnEarlierListThatArrivesLater() {
            sync.start();
            Consumer<StoreReply<Page>> slowReply = store.listReplies.get(ObjectKind.UPSTREAMS);
            offerFromPeer();
            slowReply.accept(StoreReply.of(Status.OK, new Page(List.of(sound("a")), false, 4)));
            assertStateOfPeer();
        }

        // The changes before the list were applied once more, so that upstreams returned to what they were.
        @Test
        void areNotFollowedByTheChangesBeforeThem() {
            sync.start();
            list(ObjectKind.UPSTREAMS, sound("a"));
            Consumer<StoreReply<Changes>> slowReply = store.watchReplies.get(ObjectKind.UPSTREAMS);
            offerFromPeer();
            Change earlier = new Change(new StoredObject("a", 6, TextNode.valueOf("10.0.0.6")), false);
            slowReply.accept(StoreReply.of(Status.OK, new Changes(List.of(earlier), 6)));
            assertStateOfPeer();
        }

        @Test
        void areFollowedByTheChangesAfterThem() {
            sync.start();
            list(ObjectKind.UPSTREAMS, sound("a"));
            offerFromPeer();
            change(ObjectKind.UPSTREAMS, 10, new StoredObject("a", 10, TextNode.valueOf("10.0.0.10")));
            assertThat(upstreams.find("a").orElseThrow().entry().host()).isEqualTo("10.0.0.10");
        }

        @Test
        void doNotMakeAGatewayWatchThatReliesOnItsPeers() {
            sync.start();
            sync.setWatching(false);
            store.watchReplies.clear();
            offerFromPeer();
            assertThat(store.watchReplies).isEmpty();
        }
    }

    /** The store comes back from an older copy. */
    @Nested
    class RestoredStore {
        @Test
        void doesNotRemoveWhatMayBeWrittenAgain() {
            sync.start();
            list(ObjectKind.UPSTREAMS, sound("a"), sound("b"));
            now += 10_000;
            sync.onRestore();
            Changes changes = new Changes(List.of(new Change(sound("b"), true)), StoreVersion.of(1, 2));
            store.watchReplies.get(ObjectKind.UPSTREAMS).accept(StoreReply.of(Status.OK, changes));
            assertThat(availableIds()).containsExactly("a", "b");
        }

        @Test
        void doesNotLetPeerOfLostHistoryReplaceUpstreams() {
            sync.start();
            Page page = new Page(List.of(sound("a")), false, StoreVersion.of(2, 30));
            store.listReplies.get(ObjectKind.UPSTREAMS).accept(StoreReply.of(Status.OK, page));
            UpstreamListing lost = UpstreamListing.newBuilder()
                    .setRevision(StoreVersion.of(1, 900))
                    .build();
            sync.offerUpstreams(Gzip.compress(lost.toByteString()), "peer");
            assertThat(availableIds()).containsExactly("a");
            assertThat(sync.upstreamsRevision()).isEqualTo(StoreVersion.of(2, 30));
        }

        @Test
        void letsPeerOfNewHistoryReplaceUpstreamsWhateverItsRevision() {
            sync.start();
            Page page = new Page(List.of(sound("a")), false, StoreVersion.of(1, 900));
            store.listReplies.get(ObjectKind.UPSTREAMS).accept(StoreReply.of(Status.OK, page));
            UpstreamListing restored = UpstreamListing.newBuilder()
                    .setRevision(StoreVersion.of(2, 30))
                    .addUpstreams(
                            UpstreamRecord.newBuilder().setId("c").setContent(ByteString.copyFromUtf8("\"10.0.0.3\"")))
                    .build();
            sync.offerUpstreams(Gzip.compress(restored.toByteString()), "peer");
            assertThat(availableIds()).contains("c");
        }
    }
}
