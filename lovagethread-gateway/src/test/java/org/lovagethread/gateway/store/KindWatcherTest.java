package org.lovagethread.gateway.store;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.store.ObjectStore.Change;
import org.lovagethread.gateway.store.ObjectStore.Changes;
import org.lovagethread.gateway.store.ObjectStore.Page;
import org.lovagethread.gateway.store.StoreReply.Status;

class KindWatcherTest implements Scheduler, KindWatcher.Observer {
    private final ScriptedStore store = new ScriptedStore();
    private final TreeMap<Long, Runnable> timers = new TreeMap<>();
    private final List<String> seen = new ArrayList<>();
    private final KindWatcher watcher =
            new KindWatcher(store, ObjectKind.UPSTREAMS, new KindWatcher.Timing(5_000, 100, 400), this, this);
    private long now;

    /** Captures the last call of each kind, which a test then answers. */
    private static final class ScriptedStore implements ObjectStore {
        private Consumer<StoreReply<Page>> listing;
        private Consumer<StoreReply<Changes>> watching;
        private String after;
        private long since;

        @Override
        public void list(ObjectKind kind, String afterName, Consumer<StoreReply<Page>> reply) {
            after = afterName;
            listing = reply;
        }

        @Override
        public void watch(ObjectKind kind, long revision, long waitMillis, Consumer<StoreReply<Changes>> reply) {
            since = revision;
            watching = reply;
        }

        @Override
        public void read(ObjectKind kind, String name, Consumer<StoreReply<StoredObject>> reply) {}

        @Override
        public void create(ObjectKind kind, String name, JsonNode content, Consumer<StoreReply<StoredObject>> reply) {}

        @Override
        public void replace(
                ObjectKind kind, StoredObject expected, JsonNode content, Consumer<StoreReply<StoredObject>> reply) {}

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
        seen.add("list " + objects.stream().map(StoredObject::name).toList() + " at " + revision);
    }

    @Override
    public void onChange(Change change, long revision) {
        if (change.object().name().equals("poison")) {
            throw new IllegalStateException("poisoned");
        }
        seen.add(
                (change.isRemoved() ? "removed " : "changed ") + change.object().name());
    }

    @Override
    public void onCallCompleted(boolean answered) {}

    @Override
    public void onFailure(RuntimeException fault) {
        seen.add(fault.getMessage());
    }

    @Test
    void listsAllPagesAndThenWatches() {
        watcher.start();
        store.listing.accept(StoreReply.of(Status.OK, page(true, 7, "a", "b")));
        assertThat(store.after).isEqualTo("b");
        store.listing.accept(StoreReply.of(Status.OK, page(false, 8, "c")));
        assertThat(seen).containsExactly("list [a, b, c] at 8");
        assertThat(store.since).isEqualTo(8);
        store.watching.accept(StoreReply.of(Status.OK, new Changes(List.of(new Change(object("a", 9), true)), 9)));
        assertThat(seen).endsWith("removed a");
        assertThat(store.since).isEqualTo(8);
        fireTimers();
        assertThat(store.since).isEqualTo(9);
    }

    @Test
    void goesOnAfterAFaultOfItsObserver() {
        watcher.start();
        store.listing.accept(StoreReply.of(Status.OK, page(false, 8, "a")));
        store.watching.accept(StoreReply.of(
                Status.OK,
                new Changes(List.of(new Change(object("poison", 9), false), new Change(object("b", 10), false)), 10)));
        assertThat(seen).endsWith("poisoned", "changed b");
        fireTimers();
        assertThat(store.since).isEqualTo(10);
    }

    @Test
    void listsAgainWhenHistoryIsGone() {
        watcher.start();
        store.listing.accept(StoreReply.of(Status.OK, page(false, 8, "a")));
        store.watching.accept(StoreReply.of(Status.HISTORY_GONE));
        fireTimers();
        store.listing.accept(StoreReply.of(Status.OK, page(false, 30, "b")));
        assertThat(seen).endsWith("list [b] at 30");
    }

    @Test
    void watchesFromTheSameRevisionAfterALostAnswer() {
        watcher.start();
        store.listing.accept(StoreReply.of(Status.OK, page(false, 8, "a")));
        store.watching.accept(StoreReply.of(Status.NO_ANSWER));
        store.since = 0;
        fireTimers();
        assertThat(store.since).isEqualTo(8);
    }

    @Test
    void passesOverRepliesOfCallsThatWereMadeAgain() {
        watcher.start();
        store.listing.accept(StoreReply.of(Status.OK, page(false, 8, "a")));
        Consumer<StoreReply<Changes>> old = store.watching;
        watcher.restart();
        old.accept(StoreReply.of(Status.OK, new Changes(List.of(new Change(object("a", 9), true)), 9)));
        assertThat(seen).containsExactly("list [a] at 8");
    }

    @Test
    void goesOnAtOnceWhenTheStoreReturns() {
        watcher.start();
        store.listing.accept(StoreReply.of(Status.OK, page(false, 8, "a")));
        store.watching.accept(StoreReply.of(Status.NO_ANSWER));
        store.since = 0;
        watcher.retryNow();
        assertThat(store.since).isEqualTo(8);
        store.since = 0;
        fireTimers();
        assertThat(store.since).isZero();
    }

    @Test
    void keepsItsWatchWhenTheStoreReturnsMeanwhile() {
        watcher.start();
        store.listing.accept(StoreReply.of(Status.OK, page(false, 8, "a")));
        store.since = 0;
        watcher.retryNow();
        assertThat(store.since).isZero();
    }
}
