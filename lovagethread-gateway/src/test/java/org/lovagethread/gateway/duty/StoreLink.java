package org.lovagethread.gateway.duty;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.lovagethread.gateway.store.ObjectKind;
import org.lovagethread.gateway.store.ObjectStore;
import org.lovagethread.gateway.store.StoreReply;
import org.lovagethread.gateway.store.StoreReply.Status;
import org.lovagethread.gateway.store.StoredObject;

/** Link of a gateway to the store, on which calls take time, are lost, or are executed late. */
final class StoreLink {
    /** Time after which a call without a reply is given up, in milliseconds. */
    private static final long CALL_TIMEOUT_MILLIS = 1_000;

    private static final long MIN_LATE_MILLIS = 500;
    private static final long MAX_LATE_MILLIS = 6_000;

    private final VirtualTime time;
    private final RestoredStore store;
    private final SplittableRandom random;
    private final Quality quality;
    private final List<Runnable> heldBack = new ArrayList<>();
    private Cut cut = Cut.NONE;
    private long cutUntilMillis;

    /** What a cut does to calls. */
    enum Cut {
        /** The link is whole. */
        NONE,
        /** Calls are lost. */
        DROPS_CALLS,
        /** Calls are executed when the link heals. */
        HOLDS_CALLS,
        /** Calls are executed, but replies are lost. */
        DROPS_REPLIES
    }

    /**
     * Quality of links while there are faults.
     *
     * @param lostShare the share of replies that are lost
     * @param lateShare the share of writes that are executed late, most of them after their time-out
     * @param slowShare the share of messages that take long
     * @param maxSlowMillis the longest time that such messages take
     * @param untilMillis the time from which on all calls are sound
     */
    record Quality(double lostShare, double lateShare, double slowShare, int maxSlowMillis, long untilMillis) {}

    StoreLink(VirtualTime time, RestoredStore store, SplittableRandom random, Quality quality) {
        this.time = time;
        this.store = store;
        this.random = random;
        this.quality = quality;
    }

    /** Cuts the link for a time. */
    void cut(Cut kind, long durationMillis) {
        cut = kind;
        cutUntilMillis = Math.max(cutUntilMillis, time.nowMillis() + durationMillis);
        time.after(cutUntilMillis - time.nowMillis(), this::heal);
    }

    private void heal() {
        if (time.nowMillis() >= cutUntilMillis) {
            cut = Cut.NONE;
            List<Runnable> calls = List.copyOf(heldBack);
            heldBack.clear();
            calls.forEach(call -> time.after(random.nextInt(1, 200), call));
        }
    }

    /** Returns a client for a process, which receives replies through {@link LeaseProcess#deliver}. */
    ObjectStore client(LeaseProcess process) {
        return new Client(process);
    }

    private long latencyMillis() {
        return isFaulty(quality.slowShare()) ? random.nextInt(1, quality.maxSlowMillis()) : random.nextInt(1, 20);
    }

    private boolean isFaulty(double share) {
        return time.nowMillis() < quality.untilMillis() && random.nextDouble() < share;
    }

    /** A call whose reply or time-out is delivered once. */
    private final class Call {
        private final LeaseProcess process;
        private final Supplier<StoreReply<StoredObject>> execution;
        private final boolean isWrite;
        private final Consumer<StoreReply<StoredObject>> receiver;
        private boolean isDone;

        private Call(
                LeaseProcess process,
                boolean isWrite,
                Supplier<StoreReply<StoredObject>> execution,
                Consumer<StoreReply<StoredObject>> receiver) {
            this.process = process;
            this.isWrite = isWrite;
            this.execution = execution;
            this.receiver = receiver;
        }

        private void send() {
            time.after(CALL_TIMEOUT_MILLIS, () -> finish(StoreReply.of(Status.NO_ANSWER)));
            time.after(latencyMillis(), this::arrive);
        }

        private void arrive() {
            if (cut == Cut.HOLDS_CALLS) {
                heldBack.add(this::execute);
            } else if (store.isAway()) {
                rejectOrDrop();
            } else if (isWrite && isFaulty(quality.lateShare())) {
                time.after(random.nextLong(MIN_LATE_MILLIS, MAX_LATE_MILLIS), this::execute);
            } else if (cut != Cut.DROPS_CALLS) {
                execute();
            }
        }

        private void rejectOrDrop() {
            if (cut == Cut.NONE && random.nextBoolean()) {
                reply(store.reject());
            }
        }

        private void execute() {
            reply(execution.get());
        }

        private void reply(StoreReply<StoredObject> reply) {
            if (cut == Cut.NONE && !isFaulty(quality.lostShare())) {
                time.after(latencyMillis(), () -> finish(reply));
            }
        }

        private void finish(StoreReply<StoredObject> reply) {
            process.deliver(() -> {
                if (!isDone) {
                    isDone = true;
                    receiver.accept(reply);
                }
            });
        }
    }

    /** Client of one process. */
    private final class Client implements ObjectStore {
        private final LeaseProcess process;

        private Client(LeaseProcess process) {
            this.process = process;
        }

        @Override
        public void read(ObjectKind kind, String name, Consumer<StoreReply<StoredObject>> reply) {
            new Call(process, false, () -> store.read(name), reply).send();
        }

        @Override
        public void create(ObjectKind kind, String name, JsonNode content, Consumer<StoreReply<StoredObject>> reply) {
            new Call(process, true, () -> store.create(content), reply).send();
        }

        @Override
        public void replace(
                ObjectKind kind, StoredObject expected, JsonNode content, Consumer<StoreReply<StoredObject>> reply) {
            new Call(process, true, () -> store.replace(expected, content), reply).send();
        }

        @Override
        public void list(ObjectKind kind, String afterName, Consumer<StoreReply<Page>> reply) {
            throw new UnsupportedOperationException("list");
        }

        @Override
        public void watch(ObjectKind kind, long revision, long waitMillis, Consumer<StoreReply<Changes>> reply) {
            throw new UnsupportedOperationException("watch");
        }

        @Override
        public void replaceStatus(
                ObjectKind kind, StoredObject expected, JsonNode status, Consumer<StoreReply<StoredObject>> reply) {
            throw new UnsupportedOperationException("replaceStatus");
        }

        @Override
        public void remove(ObjectKind kind, String name, Consumer<StoreReply<StoredObject>> reply) {
            throw new UnsupportedOperationException("remove");
        }
    }
}
