package org.lovagethread.gateway.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Consumer;
import org.lovagethread.gateway.log.EventLog;

/**
 * A store that follows the era which the replies name, for logs. A store that comes back from an older copy begins a new era.
 *
 * <p>Not thread-safe: used on the gateway's event loop only.
 */
public final class EraStore implements ObjectStore {
    private final ObjectStore store;
    private final EventLog log;
    private long era;
    private boolean missingEraLogged;

    /**
     * Creates a store.
     *
     * @param store executes the calls
     * @param log receives a line for each new era
     */
    public EraStore(ObjectStore store, EventLog log) {
        this.store = store;
        this.log = log;
    }

    /**
     * Returns the latest era that a reply has named.
     *
     * @return the era; zero if the store does not name eras
     */
    public long era() {
        return era;
    }

    @Override
    public void list(ObjectKind kind, String afterName, Consumer<StoreReply<Page>> reply) {
        store.list(kind, afterName, raw -> reply.accept(follow(raw)));
    }

    @Override
    public void watch(ObjectKind kind, long revision, long waitMillis, Consumer<StoreReply<Changes>> reply) {
        store.watch(kind, revision, waitMillis, raw -> reply.accept(follow(raw)));
    }

    @Override
    public void read(ObjectKind kind, String name, Consumer<StoreReply<StoredObject>> reply) {
        store.read(kind, name, raw -> reply.accept(follow(raw)));
    }

    @Override
    public void create(ObjectKind kind, String name, JsonNode content, Consumer<StoreReply<StoredObject>> reply) {
        store.create(kind, name, content, raw -> reply.accept(follow(raw)));
    }

    @Override
    public void replace(
            ObjectKind kind, StoredObject expected, JsonNode content, Consumer<StoreReply<StoredObject>> reply) {
        store.replace(kind, expected, content, raw -> reply.accept(follow(raw)));
    }

    @Override
    public void replaceStatus(
            ObjectKind kind, StoredObject expected, JsonNode status, Consumer<StoreReply<StoredObject>> reply) {
        store.replaceStatus(kind, expected, status, raw -> reply.accept(follow(raw)));
    }

    @Override
    public void remove(ObjectKind kind, String name, Consumer<StoreReply<StoredObject>> reply) {
        store.remove(kind, name, raw -> reply.accept(follow(raw)));
    }

    private <T> StoreReply<T> follow(StoreReply<T> reply) {
        reply.era().ifPresent(this::enter);
        if (reply.era().isEmpty() && era > 0 && reply.isProcessed()) {
            logMissingEra();
        }
        return reply;
    }

    private void enter(long newEra) {
        if (newEra > era) {
            log.add(log.line("store-era").put("era", newEra).put("previous", era));
            era = newEra;
        }
    }

    private void logMissingEra() {
        if (!missingEraLogged) {
            missingEraLogged = true;
            log.add(log.line("store-era-missing").put("era", era));
        }
    }
}
