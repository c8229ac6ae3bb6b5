package org.lovagethread.gateway.store;

import java.util.ArrayList;
import java.util.List;
import org.lovagethread.gateway.store.StoreReply.Status;

/**
 * Follows all objects of one kind.
 *
 * <p>It lists the objects once and then waits for changes; it lists again when changes were lost. A lost or silent call
 * is made again after a short pause.
 */
public final class KindWatcher {
    private static final long FIRST_PAUSE_MILLIS = 80;

    private final ObjectStore store;
    private final ObjectKind kind;
    private final Scheduler scheduler;
    private final Observer observer;
    private final Times times;
    private List<StoredObject> listing = new ArrayList<>();
    private long revision = -1;
    private long pauseMillis = FIRST_PAUSE_MILLIS;
    private long call;
    private boolean pausing;

    /**
     * How long calls wait.
     *
     * @param waitMillis the longest wait of one call in milliseconds
     * @param settleMillis the pause after a change, in which further changes gather, in milliseconds
     * @param mostPauseMillis the longest pause after a call that failed, in milliseconds
     */
    public record Times(long waitMillis, long settleMillis, long mostPauseMillis) {}

    /** Learns what the watcher sees. */
    public interface Observer {
        /**
         * Takes a complete list.
         *
         * @param objects all objects of the kind
         * @param revision the revision at which the list is true
         */
        void listed(List<StoredObject> objects, long revision);

        /**
         * Takes one change.
         *
         * @param change the change
         * @param revision the revision of the change
         */
        void changed(ObjectStore.Change change, long revision);

        /**
         * Takes whether a call was answered.
         *
         * @param answered whether the store answered
         */
        void called(boolean answered);

        /**
         * Takes a fault of the observer itself; the watcher goes on.
         *
         * @param fault what was thrown
         */
        void failed(RuntimeException fault);
    }

    /**
     * Creates a watcher.
     *
     * @param store the store
     * @param kind the kind to follow
     * @param times how long calls wait
     * @param scheduler runs calls later
     * @param observer learns what is seen
     */
    public KindWatcher(ObjectStore store, ObjectKind kind, Times times, Scheduler scheduler, Observer observer) {
        this.store = store;
        this.kind = kind;
        this.times = times;
        this.scheduler = scheduler;
        this.observer = observer;
    }

    /** Begins to follow. */
    public void start() {
        call++;
        pausing = false;
        if (revision < 0) {
            listing = new ArrayList<>();
            list("", call);
        } else {
            watch(call);
        }
    }

    /** Stops following until {@link #start}; replies that are still to come are passed over. */
    public void pause() {
        call++;
        pausing = false;
    }

    /** Makes the present call again, because the connection that carries it seems to be silent. */
    public void restart() {
        start();
    }

    /**
     * Returns the revision up to which the objects are known.
     *
     * @return the revision, or a negative number before the first list
     */
    public long revision() {
        return revision;
    }

    private void list(String after, long mine) {
        store.list(kind, after, reply -> {
            if (stale(mine)) {
                return;
            }
            observer.called(reply.answered());
            if (reply.status() == Status.OK && reply.value().isPresent()) {
                page(reply.value().get(), mine);
            } else {
                again();
            }
        });
    }

    private void page(ObjectStore.Page page, long mine) {
        listing.addAll(page.objects());
        if (page.more() && !page.objects().isEmpty()) {
            list(page.objects().get(page.objects().size() - 1).name(), mine);
            return;
        }
        pauseMillis = FIRST_PAUSE_MILLIS;
        revision = page.revision();
        List<StoredObject> complete = listing;
        guarded(() -> observer.listed(complete, revision));
        listing = new ArrayList<>();
        watch(mine);
    }

    private void watch(long mine) {
        store.watch(kind, revision, times.waitMillis(), reply -> {
            if (stale(mine)) {
                return;
            }
            observer.called(reply.answered());
            if (reply.status() == Status.OK && reply.value().isPresent()) {
                pauseMillis = FIRST_PAUSE_MILLIS;
                changes(reply.value().get());
                next(reply.value().get(), mine);
            } else {
                if (reply.status() == Status.HISTORY_GONE) {
                    revision = -1;
                    pauseMillis = FIRST_PAUSE_MILLIS;
                }
                again();
            }
        });
    }

    private void next(ObjectStore.Changes seen, long mine) {
        if (seen.changes().isEmpty() || times.settleMillis() == 0) {
            watch(mine);
            return;
        }
        scheduler.after(times.settleMillis(), () -> {
            if (!stale(mine)) {
                watch(mine);
            }
        });
    }

    private void changes(ObjectStore.Changes changes) {
        revision = Math.max(revision, changes.revision());
        for (ObjectStore.Change change : changes.changes()) {
            guarded(() -> observer.changed(change, revision));
        }
    }

    private void guarded(Runnable report) {
        try {
            report.run();
        } catch (RuntimeException e) {
            observer.failed(e);
        }
    }

    /** Makes a call that waits for the end of a pause at once, because the store answers again. */
    public void storeReturned() {
        pauseMillis = FIRST_PAUSE_MILLIS;
        if (pausing) {
            start();
        }
    }

    private void again() {
        long mine = call;
        pausing = true;
        scheduler.after(pauseMillis, () -> {
            if (!stale(mine)) {
                start();
            }
        });
        pauseMillis = Math.min(times.mostPauseMillis(), pauseMillis * 2);
    }

    private boolean stale(long mine) {
        return mine != call;
    }
}
