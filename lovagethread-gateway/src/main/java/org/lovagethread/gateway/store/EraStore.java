package org.lovagethread.gateway.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.store.StoreReply.Status;

/**
 * A store whose objects, lists and changes bear {@link StoreVersion versions} instead of revisions.
 *
 * <p>Follows the era that the replies and the peers name. A reply of an earlier era tells nothing about the store any
 * more, and is reported as a missing one. A call that depends on a version of an earlier era cannot succeed: a watch
 * reports that its history is gone, and a conditional write reports a conflict.
 *
 * <p>Not thread-safe: used on the gateway's event loop only.
 */
public final class EraStore implements ObjectStore {
    private final ObjectStore store;
    private final EventLog log;
    private final List<Runnable> listeners = new ArrayList<>();
    private long era;
    private boolean isEraKnown;
    private boolean missingEraLogged;

    /**
     * Creates a store.
     *
     * @param store executes the calls; its objects bear revisions, and its replies name eras
     * @param log receives a line for each new era
     */
    public EraStore(ObjectStore store, EventLog log) {
        this.store = store;
        this.log = log;
    }

    /**
     * Returns the latest era that a reply has named. While a reply is delivered, this is the era of that reply.
     *
     * @return the era; zero if the store does not name eras
     */
    public long era() {
        return era;
    }

    /**
     * Adds an action to run whenever the store has come back from an older copy, before the reply that shows it is
     * delivered.
     *
     * @param listener the action, which must not call the store
     */
    public void onRestore(Runnable listener) {
        listeners.add(listener);
    }

    /**
     * Takes up an era that a peer knows.
     *
     * @param peerEra the era of the store in which the peer has read something
     */
    public void learn(long peerEra) {
        enter(peerEra);
        isEraKnown = true;
    }

    @Override
    public void list(ObjectKind kind, String afterName, Consumer<StoreReply<Page>> reply) {
        store.list(kind, afterName, raw -> reply.accept(translate(raw, this::toVersionedPage)));
    }

    @Override
    public void watch(ObjectKind kind, long version, long waitMillis, Consumer<StoreReply<Changes>> reply) {
        if (StoreVersion.era(version) != era) {
            reply.accept(StoreReply.of(Status.HISTORY_GONE));
            return;
        }
        store.watch(kind, StoreVersion.revision(version), waitMillis, raw -> {
            StoreReply<Changes> translated = translate(raw, this::toVersionedChanges);
            boolean isEraOver = translated.isProcessed() && StoreVersion.era(version) != era;
            reply.accept(isEraOver ? StoreReply.of(Status.HISTORY_GONE) : translated);
        });
    }

    @Override
    public void read(ObjectKind kind, String name, Consumer<StoreReply<StoredObject>> reply) {
        store.read(kind, name, raw -> reply.accept(translate(raw, this::toVersion)));
    }

    @Override
    public void create(ObjectKind kind, String name, JsonNode content, Consumer<StoreReply<StoredObject>> reply) {
        store.create(kind, name, content, raw -> reply.accept(translate(raw, this::toVersion)));
    }

    @Override
    public void replace(
            ObjectKind kind, StoredObject expected, JsonNode content, Consumer<StoreReply<StoredObject>> reply) {
        if (isOutdated(expected)) {
            reply.accept(StoreReply.of(Status.CONFLICT));
            return;
        }
        store.replace(kind, toRevision(expected), content, raw -> reply.accept(translateWrite(expected, raw)));
    }

    @Override
    public void replaceStatus(
            ObjectKind kind, StoredObject expected, JsonNode status, Consumer<StoreReply<StoredObject>> reply) {
        if (isOutdated(expected)) {
            reply.accept(StoreReply.of(Status.CONFLICT));
            return;
        }
        store.replaceStatus(kind, toRevision(expected), status, raw -> reply.accept(translateWrite(expected, raw)));
    }

    @Override
    public void remove(ObjectKind kind, String name, Consumer<StoreReply<StoredObject>> reply) {
        store.remove(kind, name, raw -> reply.accept(translate(raw, this::toVersion)));
    }

    /** Translates the reply to a conditional write, whose condition says nothing if it was checked in a later era. */
    private StoreReply<StoredObject> translateWrite(StoredObject expected, StoreReply<StoredObject> raw) {
        StoreReply<StoredObject> translated = translate(raw, this::toVersion);
        return translated.status() == Status.OK && isOutdated(expected)
                ? new StoreReply<>(Status.CONFLICT, translated.value())
                : translated;
    }

    private <T> StoreReply<T> translate(StoreReply<T> raw, UnaryOperator<T> toVersions) {
        if (raw.era().isPresent() && raw.era().getAsLong() < era) {
            return StoreReply.of(Status.NO_ANSWER);
        }
        raw.era().ifPresent(this::enter);
        if (raw.era().isEmpty() && era > 0 && raw.isProcessed()) {
            logMissingEra();
        }
        isEraKnown |= raw.era().isPresent() || raw.isProcessed();
        try {
            return new StoreReply<>(raw.status(), raw.value().map(toVersions));
        } catch (IllegalArgumentException e) {
            log.add(log.line("store-answer-unreadable").put("reason", String.valueOf(e.getMessage())));
            return StoreReply.of(Status.UNREADABLE);
        }
    }

    private void enter(long newEra) {
        if (newEra > era) {
            log.add(log.line("store-era").put("era", newEra).put("previous", era));
            era = newEra;
            if (isEraKnown) {
                listeners.forEach(Runnable::run);
            }
        }
    }

    private void logMissingEra() {
        if (!missingEraLogged) {
            missingEraLogged = true;
            log.add(log.line("store-era-missing").put("era", era));
        }
    }

    private boolean isOutdated(StoredObject expected) {
        return StoreVersion.era(expected.revision()) != era;
    }

    private static StoredObject toRevision(StoredObject object) {
        return object.withRevision(StoreVersion.revision(object.revision()));
    }

    private StoredObject toVersion(StoredObject object) {
        return object.withRevision(StoreVersion.of(era, object.revision()));
    }

    private Page toVersionedPage(Page page) {
        List<StoredObject> objects =
                page.objects().stream().map(this::toVersion).toList();
        return new Page(objects, page.hasMore(), StoreVersion.of(era, page.revision()));
    }

    private Changes toVersionedChanges(Changes changes) {
        List<Change> versioned = changes.changes().stream()
                .map(change -> new Change(toVersion(change.object()), change.isRemoved()))
                .toList();
        return new Changes(versioned, StoreVersion.of(era, changes.revision()));
    }
}
