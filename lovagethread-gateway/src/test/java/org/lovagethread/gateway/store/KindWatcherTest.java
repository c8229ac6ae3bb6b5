package org.lovagethread.gateway.store;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lovagethread.gateway.store.ObjectStore.Change;
import org.lovagethread.gateway.store.ObjectStore.Changes;
import org.lovagethread.gateway.store.ObjectStore.Page;
import org.lovagethread.gateway.store.StoreReply.Status;

class KindWatcherTest implements Scheduler, KindWatcher.Observer {
    private final ScriptedStore store = new ScriptedStore();
    private final TreeMap<Long, Runnable> timers = new TreeMap<>();
    private final List<String> events = new ArrayList<>();
    private final KindWatcher watcher =
            new KindWatcher(store, ObjectKind.UPSTREAMS, new KindWatcher.Timing(5_000, 100, 400), this, this);
    private long now;
    private boolean failsOnCalls;

    /** Captures the last call of each kind, to which a test then replies. */
    private static final class ScriptedStore implements ObjectStore {
        private Consumer<StoreReply<Page>> listReply;
        private Consumer<StoreReply<Changes>> watchReply;
        private String lastAfterName;
        private long lastRevision;

        @Override
        public void list(ObjectKind kind, String afterName, Consumer<StoreReply<Page>> reply) {
            lastAfterName = afterName;
            listReply = reply;
        }

        @Override
        public void watch(ObjectKind kind, long revision, long waitMillis, Consumer<StoreReply<Changes>> reply) {
            lastRevision = revision;
            watchReply = reply;
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

    private static StoredObject object(String name, long revision) {
        return new StoredObject(name, revision, TextNode.valueOf(name));
    }

    private static Page page(boolean more, long revision, String... names) {
        List<StoredObject> objects = new ArrayList<>();
        for (String name : names) {
            objects.add(object(name, revision));
        }
        return new Page(objects, more, revision);
    }

    private void fireTimers() {
        while (!timers.isEmpty()) {
            var first = timers.pollFirstEntry();
            now = first.getKey();
            first.getValue().run();
        }
    }

    @Override
    public long nowMillis() {
        return now;
    }

    @Override
    public void schedule(long delayMillis, Runnable action) {
        timers.put(now + delayMillis, action);
    }

    @Override
    public void onListing(List<StoredObject> objects, long revision) {
        events.add("list " + objects.stream().map(StoredObject::name).toList() + " at " + revision);
    }

    @Override
    public void onChange(Change change, long revision) {
        if (change.object().name().equals("poison")) {
            throw new IllegalStateException("poisoned");
        }
        if (change.object().name().equals("deep")) {
            throw new StackOverflowError("too deep");
        }
        events.add(
                (change.isRemoved() ? "removed " : "changed ") + change.object().name());
    }

    @Override
    public void onCallCompleted(boolean processed) {
        if (failsOnCalls) {
            throw new IllegalStateException("call");
        }
    }

    @Override
    public void onFailure(Throwable failure) {
        events.add(failure.getMessage());
    }

    @Test
    void listsAllPagesAndThenWatches() {
        watcher.start();
        store.listReply.accept(StoreReply.of(Status.OK, page(true, 7, "a", "b")));
        assertThat(store.lastAfterName).isEqualTo("b");
        store.listReply.accept(StoreReply.of(Status.OK, page(false, 8, "c")));
        assertThat(events).containsExactly("list [a, b, c] at 7");
        assertThat(store.lastRevision).isEqualTo(7);
        store.watchReply.accept(StoreReply.of(Status.OK, new Changes(List.of(new Change(object("a", 9), true)), 9)));
        assertThat(events).endsWith("removed a");
        assertThat(store.lastRevision).isEqualTo(7);
        fireTimers();
        assertThat(store.lastRevision).isEqualTo(9);
    }

    // The removal of an upstream while a list was read in pages was missed, so it got requests until its process ended.
    @ParameterizedTest
    @CsvSource({"7,8,9,7", "7,7,9,7", "7,9,9,7", "8,7,9,7", "9,9,7,7", "7,7,7,7"})
    void watchesFromTheLowestRevisionOfAllPages(long first, long second, long third, long expected) {
        watcher.start();
        store.listReply.accept(StoreReply.of(Status.OK, page(true, first, "a")));
        store.listReply.accept(StoreReply.of(Status.OK, page(true, second, "b")));
        store.listReply.accept(StoreReply.of(Status.OK, page(false, third, "c")));
        assertThat(events).containsExactly("list [a, b, c] at " + expected);
        assertThat(store.lastRevision).isEqualTo(expected);
    }

    @Test
    void forgetsThePagesOfAListThatFailed() {
        watcher.start();
        store.listReply.accept(StoreReply.of(Status.OK, page(true, 7, "a")));
        store.listReply.accept(StoreReply.of(Status.NO_ANSWER));
        fireTimers();
        assertThat(store.lastAfterName).isEmpty();
        store.listReply.accept(StoreReply.of(Status.OK, page(false, 9, "b")));
        assertThat(events).containsExactly("list [b] at 9");
        assertThat(store.lastRevision).isEqualTo(9);
    }

    @Test
    void continuesAfterObserverThrows() {
        watcher.start();
        store.listReply.accept(StoreReply.of(Status.OK, page(false, 8, "a")));
        store.watchReply.accept(StoreReply.of(
                Status.OK,
                new Changes(List.of(new Change(object("poison", 9), false), new Change(object("b", 10), false)), 10)));
        assertThat(events).endsWith("poisoned", "changed b");
        fireTimers();
        assertThat(store.lastRevision).isEqualTo(10);
    }

    @Test
    void continuesAfterObserverExhaustsTheStack() {
        watcher.start();
        store.listReply.accept(StoreReply.of(Status.OK, page(false, 8, "a")));
        store.watchReply.accept(StoreReply.of(
                Status.OK,
                new Changes(List.of(new Change(object("deep", 9), false), new Change(object("b", 10), false)), 10)));
        assertThat(events).endsWith("too deep", "changed b");
        fireTimers();
        assertThat(store.lastRevision).isEqualTo(10);
    }

    @Test
    void retriesAfterObserverFailsOnAReply() {
        watcher.start();
        failsOnCalls = true;
        store.listReply.accept(StoreReply.of(Status.OK, page(false, 8, "a")));
        failsOnCalls = false;
        fireTimers();
        store.listReply.accept(StoreReply.of(Status.OK, page(false, 8, "a")));
        assertThat(events).containsExactly("call", "list [a] at 8");
        failsOnCalls = true;
        store.watchReply.accept(StoreReply.of(Status.OK, new Changes(List.of(), 9)));
        failsOnCalls = false;
        store.lastRevision = 0;
        fireTimers();
        assertThat(store.lastRevision).isEqualTo(8);
    }

    @Test
    void doesNotListTheSamePageForeverAfterAnObjectWithoutAName() {
        watcher.start();
        store.listReply.accept(StoreReply.of(Status.OK, page(true, 7, "a", "b", "")));
        assertThat(store.lastAfterName).isEqualTo("b");
        store.lastAfterName = "none";
        store.listReply.accept(StoreReply.of(Status.OK, page(true, 7, "")));
        assertThat(store.lastAfterName).isEqualTo("none");
        assertThat(events).containsExactly("list [a, b, , ] at 7");
    }

    @Test
    void listsAgainWhenChangesCannotBeRead() {
        watcher.start();
        store.listReply.accept(StoreReply.of(Status.OK, page(false, 8, "a")));
        store.listReply = null;
        for (int i = 0; i < 3; i++) {
            assertThat(store.listReply).isNull();
            store.watchReply.accept(StoreReply.of(Status.UNREADABLE));
            fireTimers();
        }
        store.listReply.accept(StoreReply.of(Status.OK, page(false, 30, "b")));
        assertThat(events).endsWith("list [b] at 30");
    }

    @Test
    void listsAgainWhenHistoryIsUnavailable() {
        watcher.start();
        store.listReply.accept(StoreReply.of(Status.OK, page(false, 8, "a")));
        store.watchReply.accept(StoreReply.of(Status.HISTORY_GONE));
        fireTimers();
        store.listReply.accept(StoreReply.of(Status.OK, page(false, 30, "b")));
        assertThat(events).endsWith("list [b] at 30");
    }

    @Test
    void watchesFromSameRevisionAfterLostReply() {
        watcher.start();
        store.listReply.accept(StoreReply.of(Status.OK, page(false, 8, "a")));
        store.watchReply.accept(StoreReply.of(Status.NO_ANSWER));
        store.lastRevision = 0;
        fireTimers();
        assertThat(store.lastRevision).isEqualTo(8);
    }

    @Test
    void ignoresRepliesOfRestartedCalls() {
        watcher.start();
        store.listReply.accept(StoreReply.of(Status.OK, page(false, 8, "a")));
        Consumer<StoreReply<Changes>> supersededReply = store.watchReply;
        watcher.restart();
        supersededReply.accept(StoreReply.of(Status.OK, new Changes(List.of(new Change(object("a", 9), true)), 9)));
        assertThat(events).containsExactly("list [a] at 8");
    }

    @Test
    void retriesImmediatelyWhenStoreRecovers() {
        watcher.start();
        store.listReply.accept(StoreReply.of(Status.OK, page(false, 8, "a")));
        store.watchReply.accept(StoreReply.of(Status.NO_ANSWER));
        store.lastRevision = 0;
        watcher.retryNow();
        assertThat(store.lastRevision).isEqualTo(8);
        store.lastRevision = 0;
        fireTimers();
        assertThat(store.lastRevision).isZero();
    }

    @Test
    void keepsCurrentWatchWhenStoreRecovers() {
        watcher.start();
        store.listReply.accept(StoreReply.of(Status.OK, page(false, 8, "a")));
        store.lastRevision = 0;
        watcher.retryNow();
        assertThat(store.lastRevision).isZero();
    }

    @Test
    void doesNotJoinPagesOfTwoEras() {
        watcher.start();
        store.listReply.accept(StoreReply.of(Status.OK, page(true, StoreVersion.of(1, 70), "a")));
        store.listReply.accept(StoreReply.of(Status.OK, page(false, StoreVersion.of(2, 30), "b")));
        assertThat(events).isEmpty();
        fireTimers();
        assertThat(store.lastAfterName).isEmpty();
        store.listReply.accept(StoreReply.of(Status.OK, page(false, StoreVersion.of(2, 31), "a", "b")));
        assertThat(events).containsExactly("list [a, b] at " + StoreVersion.of(2, 31));
    }
}
