package org.lovagethread.gateway.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.lovagethread.gateway.store.StoreReply.Status;

/**
 * In-memory store whose calls can fail and whose replies can be lost or delayed. It can come back from an older copy,
 * and names its eras from then on.
 */
public final class FakeStore implements ObjectStore {
    private final Map<String, StoredObject> objects = new HashMap<>();
    private final List<Runnable> delayed = new ArrayList<>();
    private long revision = 1;
    private long era;
    private boolean unavailable;
    private boolean dropsWriteReplies;
    private boolean delaysReplies;
    private boolean hidden;
    private int listCalls;

    /** State of the store at one moment. */
    public record Copy(Map<String, StoredObject> objects, long revision) {}

    /** Returns a copy of the current state. */
    public Copy copy() {
        return new Copy(Map.copyOf(objects), revision);
    }

    /** Replaces the state by a copy, and begins a new era. */
    public void restore(Copy copy) {
        objects.clear();
        objects.putAll(copy.objects());
        revision = copy.revision();
        era++;
    }

    /** Returns the current era. */
    public long era() {
        return era;
    }

    /** Returns the number of list calls. */
    public int listCalls() {
        return listCalls;
    }

    /** Sets whether list calls return no objects. */
    public void setObjectsHidden(boolean value) {
        hidden = value;
    }

    /** Sets whether calls fail without a reply. */
    public void setUnavailable(boolean value) {
        unavailable = value;
    }

    /** Sets whether writes are executed but their replies are lost. */
    public void setWriteRepliesDropped(boolean value) {
        dropsWriteReplies = value;
    }

    /** Sets whether replies are delayed. Delivers the delayed replies if not. */
    public void setRepliesDelayed(boolean value) {
        delaysReplies = value;
        if (!value) {
            List<Runnable> due = new ArrayList<>(delayed);
            delayed.clear();
            due.forEach(Runnable::run);
        }
    }

    @Override
    public void list(ObjectKind kind, String afterName, Consumer<StoreReply<Page>> reply) {
        listCalls++;
        List<StoredObject> found = objects.entrySet().stream()
                .filter(entry -> !hidden && entry.getKey().startsWith(kind.toString()))
                .map(Map.Entry::getValue)
                .toList();
        reply.accept(
                unavailable
                        ? StoreReply.of(Status.NO_ANSWER)
                        : withEra(StoreReply.of(Status.OK, new Page(found, false, revision))));
    }

    @Override
    public void watch(ObjectKind kind, long since, long waitMillis, Consumer<StoreReply<Changes>> reply) {
        reply.accept(StoreReply.of(Status.REJECTED));
    }

    @Override
    public void read(ObjectKind kind, String name, Consumer<StoreReply<StoredObject>> reply) {
        StoredObject object = objects.get(kind + name);
        answer(reply, object == null ? StoreReply.of(Status.MISSING) : StoreReply.of(Status.OK, object), false);
    }

    @Override
    public void create(ObjectKind kind, String name, JsonNode content, Consumer<StoreReply<StoredObject>> reply) {
        StoredObject existing = objects.get(kind + name);
        if (unavailable) {
            answer(reply, StoreReply.of(Status.NO_ANSWER), false);
        } else if (existing != null) {
            answer(reply, StoreReply.of(Status.CONFLICT, existing), false);
        } else {
            answer(reply, StoreReply.of(Status.OK, put(kind, name, content)), true);
        }
    }

    @Override
    public void replace(
            ObjectKind kind, StoredObject expected, JsonNode content, Consumer<StoreReply<StoredObject>> reply) {
        StoredObject existing = objects.get(kind + expected.name());
        if (unavailable || existing == null) {
            answer(reply, StoreReply.of(Status.MISSING), false);
        } else if (existing.revision() != expected.revision()) {
            answer(reply, StoreReply.of(Status.CONFLICT, existing), false);
        } else {
            answer(reply, StoreReply.of(Status.OK, put(kind, expected.name(), content)), true);
        }
    }

    @Override
    public void replaceStatus(
            ObjectKind kind, StoredObject expected, JsonNode status, Consumer<StoreReply<StoredObject>> reply) {
        StoredObject existing = objects.get(kind + expected.name());
        if (unavailable || existing == null || existing.revision() != expected.revision()) {
            answer(
                    reply,
                    existing == null ? StoreReply.of(Status.MISSING) : StoreReply.of(Status.CONFLICT, existing),
                    false);
            return;
        }
        revision++;
        StoredObject object = new StoredObject(expected.name(), revision, existing.content(), status.deepCopy());
        objects.put(kind + expected.name(), object);
        answer(reply, StoreReply.of(Status.OK, object), true);
    }

    @Override
    public void remove(ObjectKind kind, String name, Consumer<StoreReply<StoredObject>> reply) {
        objects.remove(kind + name);
        answer(reply, StoreReply.of(Status.OK), true);
    }

    private StoredObject put(ObjectKind kind, String name, JsonNode content) {
        revision++;
        StoredObject object = new StoredObject(name, revision, content.deepCopy());
        objects.put(kind + name, object);
        return object;
    }

    private <T> StoreReply<T> withEra(StoreReply<T> reply) {
        return era == 0 ? reply : reply.withEra(OptionalLong.of(era));
    }

    private void answer(Consumer<StoreReply<StoredObject>> reply, StoreReply<StoredObject> unnamed, boolean isWrite) {
        StoreReply<StoredObject> value = withEra(unnamed);
        if (unavailable) {
            reply.accept(StoreReply.of(Status.NO_ANSWER));
        } else if (isWrite && dropsWriteReplies) {
            reply.accept(StoreReply.of(Status.NO_ANSWER));
        } else if (delaysReplies) {
            delayed.add(() -> reply.accept(value));
        } else {
            reply.accept(value);
        }
    }
}
