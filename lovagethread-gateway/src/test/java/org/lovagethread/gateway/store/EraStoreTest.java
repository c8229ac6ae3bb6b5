package org.lovagethread.gateway.store;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.store.StoreReply.Status;

class EraStoreTest {
    private final ScriptedStore scripted = new ScriptedStore();
    private final EraStore store = new EraStore(scripted, new EventLog("node", new ByteArrayOutputStream()));
    private final List<StoreReply<StoredObject>> replies = new ArrayList<>();

    /** Store that answers calls for one object with the next scripted reply, and records what it was sent. */
    private static final class ScriptedStore implements ObjectStore {
        private final Deque<StoreReply<StoredObject>> scriptedReplies = new ArrayDeque<>();
        private final List<Long> expectedRevisions = new ArrayList<>();
        private final List<Long> watchedRevisions = new ArrayList<>();
        private StoreReply<Changes> changes = StoreReply.of(Status.OK, new Changes(List.of(), 7));
        private StoreReply<Page> page = StoreReply.of(Status.OK, new Page(List.of(), false, 7));

        @Override
        public void list(ObjectKind kind, String afterName, Consumer<StoreReply<Page>> reply) {
            reply.accept(page);
        }

        @Override
        public void watch(ObjectKind kind, long revision, long waitMillis, Consumer<StoreReply<Changes>> reply) {
            watchedRevisions.add(revision);
            reply.accept(changes);
        }

        @Override
        public void read(ObjectKind kind, String name, Consumer<StoreReply<StoredObject>> reply) {
            reply.accept(scriptedReplies.remove());
        }

        @Override
        public void create(ObjectKind kind, String name, JsonNode content, Consumer<StoreReply<StoredObject>> reply) {
            reply.accept(scriptedReplies.remove());
        }

        @Override
        public void replace(
                ObjectKind kind, StoredObject expected, JsonNode content, Consumer<StoreReply<StoredObject>> reply) {
            expectedRevisions.add(expected.revision());
            reply.accept(scriptedReplies.remove());
        }

        @Override
        public void replaceStatus(
                ObjectKind kind, StoredObject expected, JsonNode status, Consumer<StoreReply<StoredObject>> reply) {
            expectedRevisions.add(expected.revision());
            reply.accept(scriptedReplies.remove());
        }

        @Override
        public void remove(ObjectKind kind, String name, Consumer<StoreReply<StoredObject>> reply) {
            reply.accept(scriptedReplies.remove());
        }
    }

    private static StoreReply<StoredObject> found(long era, long revision) {
        return StoreReply.of(Status.OK, new StoredObject("a", revision, TextNode.valueOf("x")))
                .withEra(OptionalLong.of(era));
    }

    private StoreReply<StoredObject> read(StoreReply<StoredObject> scriptedReply) {
        scripted.scriptedReplies.add(scriptedReply);
        store.read(ObjectKind.DUTIES, "a", replies::add);
        return replies.get(replies.size() - 1);
    }

    private StoreReply<StoredObject> replace(StoredObject expected, StoreReply<StoredObject> scriptedReply) {
        scripted.scriptedReplies.add(scriptedReply);
        store.replace(ObjectKind.DUTIES, expected, TextNode.valueOf("y"), replies::add);
        return replies.get(replies.size() - 1);
    }

    private StoredObject readObject(long era, long revision) {
        return read(found(era, revision)).value().orElseThrow();
    }

    @Nested
    class Versions {
        @Test
        void equalRevisionsWithoutEras() {
            StoreReply<StoredObject> reply =
                    read(StoreReply.of(Status.OK, new StoredObject("a", 5, TextNode.valueOf("x"))));
            assertThat(reply.value().orElseThrow().revision()).isEqualTo(5);
        }

        @Test
        void areHigherInLaterErasWhateverTheirRevisions() {
            long earlier = readObject(1, 900).revision();
            assertThat(readObject(2, 3).revision()).isGreaterThan(earlier);
        }

        @Test
        void areThoseOfLists() {
            read(found(4, 1));
            List<Long> versions = new ArrayList<>();
            store.list(
                    ObjectKind.UPSTREAMS,
                    "",
                    reply -> versions.add(reply.value().orElseThrow().revision()));
            assertThat(versions).containsExactly(StoreVersion.of(4, 7));
        }

        @Test
        void areNotReadFromReplyWithImpossibleRevision() {
            assertThat(read(found(1, StoreVersion.MAX_REVISION + 1)).status()).isEqualTo(Status.UNREADABLE);
        }
    }

    @Nested
    class LateReplies {
        @Test
        void ofEarlierEraCountAsMissing() {
            read(found(3, 10));
            assertThat(read(found(2, 50)).status()).isEqualTo(Status.NO_ANSWER);
            assertThat(store.era()).isEqualTo(3);
        }

        @Test
        void withoutEraBelongToKnownEra() {
            read(found(3, 10));
            StoreReply<StoredObject> reply =
                    read(StoreReply.of(Status.OK, new StoredObject("a", 11, TextNode.valueOf("x"))));
            assertThat(reply.value().orElseThrow().revision()).isEqualTo(StoreVersion.of(3, 11));
        }

        @Test
        void ofFailedCallsNameErasToo() {
            read(StoreReply.<StoredObject>of(Status.REJECTED).withEra(OptionalLong.of(6)));
            assertThat(store.era()).isEqualTo(6);
        }
    }

    @Nested
    class ConditionalWrites {
        @Test
        void areSentWithRevision() {
            StoreReply<StoredObject> reply = replace(readObject(2, 40), found(2, 41));
            assertThat(scripted.expectedRevisions).containsExactly(40L);
            assertThat(reply.status()).isEqualTo(Status.OK);
        }

        @Test
        void areNotSentWithVersionOfEarlierEra() {
            StoredObject outdated = readObject(2, 40);
            read(found(3, 40));
            store.replace(ObjectKind.DUTIES, outdated, TextNode.valueOf("y"), replies::add);
            assertThat(scripted.expectedRevisions).isEmpty();
            assertThat(replies.get(replies.size() - 1)).isEqualTo(StoreReply.of(Status.CONFLICT));
        }

        @Test
        void conflictIfTheyWereExecutedInLaterEra() {
            StoreReply<StoredObject> reply = replace(readObject(2, 40), found(3, 41));
            assertThat(reply.status()).isEqualTo(Status.CONFLICT);
            assertThat(reply.value().map(StoredObject::revision)).isEqualTo(Optional.of(StoreVersion.of(3, 41)));
        }
    }

    @Nested
    class Watches {
        private Status watch(long version) {
            List<Status> statuses = new ArrayList<>();
            store.watch(ObjectKind.UPSTREAMS, version, 1_000, reply -> statuses.add(reply.status()));
            return statuses.get(0);
        }

        @Test
        void areSentWithRevision() {
            read(found(2, 40));
            scripted.changes = scripted.changes.withEra(OptionalLong.of(2));
            assertThat(watch(StoreVersion.of(2, 30))).isEqualTo(Status.OK);
            assertThat(scripted.watchedRevisions).containsExactly(30L);
        }

        @Test
        void endIfStoreHasComeBackFromCopy() {
            read(found(2, 40));
            scripted.changes = scripted.changes.withEra(OptionalLong.of(3));
            assertThat(watch(StoreVersion.of(2, 30))).isEqualTo(Status.HISTORY_GONE);
        }

        @Test
        void areNotSentWithVersionOfEarlierEra() {
            read(found(2, 40));
            assertThat(watch(StoreVersion.of(1, 90))).isEqualTo(Status.HISTORY_GONE);
            assertThat(scripted.watchedRevisions).isEmpty();
        }
    }

    @Nested
    class Restores {
        private int restores;

        private void listen() {
            store.onRestore(() -> restores++);
        }

        @Test
        void areNotSeenInFirstReply() {
            listen();
            read(found(4, 1));
            assertThat(restores).isZero();
        }

        @Test
        void areSeenInReplies() {
            listen();
            read(found(4, 1));
            read(found(5, 1));
            read(found(5, 2));
            assertThat(restores).isEqualTo(1);
        }

        @Test
        void areLearntFromPeers() {
            listen();
            read(found(4, 1));
            store.learn(4);
            store.learn(5);
            assertThat(restores).isEqualTo(1);
            assertThat(read(found(4, 9)).status()).isEqualTo(Status.NO_ANSWER);
        }

        @Test
        void areSeenOnceErasAreNamed() {
            listen();
            read(StoreReply.of(Status.OK, new StoredObject("a", 1, TextNode.valueOf("x"))));
            read(found(1, 1));
            assertThat(restores).isEqualTo(1);
        }
    }
}
