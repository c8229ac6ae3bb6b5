package org.lovagethread.gateway.stream;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.lovagethread.gateway.store.ObjectKind;
import org.lovagethread.gateway.store.ObjectStore;
import org.lovagethread.gateway.store.StoreReply.Status;
import org.lovagethread.gateway.store.StoredObject;

/** Removes the stored chunks of streams whose gateways have ended, when their streams cannot be taken up any more. */
public final class StreamOriginCleaner {
    /** Time after the end of a chunk for which it is kept, since clocks differ, in milliseconds. */
    private static final long MARGIN_MILLIS = 10_000;

    private final ObjectStore store;
    private final LongSupplier clusterClock;
    private final Consumer<Boolean> storeCallListener;
    private final Deque<String> expired = new ArrayDeque<>();
    private boolean callPending;
    private long nextListMillis = Long.MIN_VALUE;
    private long nextRemovalMillis = Long.MIN_VALUE;
    private long lastListMillis = Long.MIN_VALUE;

    /**
     * Creates a cleaner, which makes no call before {@link #tick}.
     *
     * @param store the store
     * @param clusterClock the time since the epoch in milliseconds, by which the end of a chunk is stored
     * @param storeCallListener receives, for each call, whether the store processed it
     */
    public StreamOriginCleaner(ObjectStore store, LongSupplier clusterClock, Consumer<Boolean> storeCallListener) {
        this.store = store;
        this.clusterClock = clusterClock;
        this.storeCallListener = storeCallListener;
    }

    /**
     * Makes the next call if one is due. The chunks are listed while there may be some, and until all have expired.
     *
     * @param mayFindChunks whether a service has several versions, or may have had them before the start
     * @param lifetimeMillis the time for which a stream may be taken up again, in milliseconds
     * @param intervalMillis the minimum time between two removals, in milliseconds
     * @param nowMillis the current time in milliseconds
     */
    public void tick(boolean mayFindChunks, long lifetimeMillis, long intervalMillis, long nowMillis) {
        if (mayFindChunks) {
            lastListMillis = nowMillis + 2 * lifetimeMillis + MARGIN_MILLIS;
        }
        if (callPending) {
            return;
        }
        if (!expired.isEmpty() && nowMillis >= nextRemovalMillis) {
            nextRemovalMillis = nowMillis + intervalMillis;
            remove(expired.peek());
        } else if (expired.isEmpty() && nowMillis >= nextListMillis && nowMillis <= lastListMillis) {
            nextListMillis = nowMillis + lifetimeMillis;
            callPending = true;
            list("", new ArrayList<>());
        }
    }

    private void remove(String name) {
        callPending = true;
        store.remove(ObjectKind.STREAMS, name, reply -> {
            callPending = false;
            storeCallListener.accept(reply.isProcessed());
            if (reply.isProcessed()) {
                expired.remove(name);
            }
        });
    }

    private void list(String after, List<StoredObject> found) {
        store.list(ObjectKind.STREAMS, after, reply -> {
            storeCallListener.accept(reply.isProcessed());
            if (reply.status() != Status.OK || reply.value().isEmpty()) {
                callPending = false;
                return;
            }
            found.addAll(reply.value().get().objects());
            reply.value().get().nextAfter(after).ifPresentOrElse(name -> list(name, found), () -> onListed(found));
        });
    }

    private void onListed(List<StoredObject> found) {
        callPending = false;
        long limitMillis = clusterClock.getAsLong() - MARGIN_MILLIS;
        for (StoredObject object : found) {
            if (StreamOriginCodec.expiryMillis(object.content()) < limitMillis) {
                expired.add(object.name());
            }
        }
    }
}
