package org.lovagethread.gateway.duty;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.lovagethread.gateway.store.StoreReply;
import org.lovagethread.gateway.store.StoreReply.Status;
import org.lovagethread.gateway.store.StoredObject;

/** Store with one object, the lease, that may come back from an older copy of itself. Each restore begins a new era. */
final class RestoredStore {
    private static final String LEASE = "lease";

    private final VirtualTime time;
    private final boolean namesEras;
    private final long otherChanges;
    private final Deque<State> history = new ArrayDeque<>();
    private final Map<Long, Long> eraStarts = new HashMap<>();
    private final State initial;
    private State state;
    private long era;
    private long lastWriteMillis;
    private long awayUntilMillis;

    /** State of the store since a time. */
    private record State(long sinceMillis, long revision, Optional<StoredObject> lease) {}

    /**
     * Creates a store without a lease.
     *
     * @param namesEras whether replies name the era
     * @param otherChanges the number of changes of other objects before each change of the lease
     */
    RestoredStore(VirtualTime time, long revision, boolean namesEras, long otherChanges) {
        this.time = time;
        this.namesEras = namesEras;
        this.otherChanges = otherChanges;
        this.era = namesEras ? 1 : 0;
        this.initial = new State(0, revision, Optional.empty());
        enter(initial);
        eraStarts.put(era, 0L);
    }

    /** Returns the time at which an era began; zero if there was none. */
    long eraStartMillis(long startedEra) {
        return eraStarts.getOrDefault(startedEra, 0L);
    }

    /** Returns the time of the last change of the lease. */
    long lastWriteMillis() {
        return lastWriteMillis;
    }

    /** Makes the store reject calls, or leave them without a reply, for a time. */
    void leave(long durationMillis) {
        awayUntilMillis = Math.max(awayUntilMillis, time.nowMillis() + durationMillis);
    }

    /** Returns whether the store is away. */
    boolean isAway() {
        return time.nowMillis() < awayUntilMillis;
    }

    /** Goes back to the state of a time ago. */
    void restore(long ageMillis) {
        long copiedMillis = time.nowMillis() - ageMillis;
        State copy = history.stream()
                .filter(past -> past.sinceMillis() <= copiedMillis)
                .findFirst()
                .orElse(initial);
        restore(copy);
    }

    /** Goes back to the state in which there was no lease. */
    void restoreInitialState() {
        restore(initial);
    }

    private void restore(State copy) {
        era++;
        eraStarts.put(era, time.nowMillis());
        enter(new State(time.nowMillis(), copy.revision(), copy.lease()));
    }

    /** Rejects a call. */
    StoreReply<StoredObject> reject() {
        return named(StoreReply.of(Status.REJECTED));
    }

    /** Reads an object. */
    StoreReply<StoredObject> read(String name) {
        Optional<StoredObject> found =
                state.lease().filter(lease -> lease.name().equals(name));
        return named(new StoreReply<>(found.isPresent() ? Status.OK : Status.MISSING, found));
    }

    /** Creates the lease unless it exists. */
    StoreReply<StoredObject> create(JsonNode content) {
        return state.lease().isPresent() ? named(new StoreReply<>(Status.CONFLICT, state.lease())) : write(content);
    }

    /** Replaces the lease if it has the expected revision. */
    StoreReply<StoredObject> replace(StoredObject expected, JsonNode content) {
        if (state.lease().isEmpty()) {
            return named(StoreReply.of(Status.MISSING));
        }
        boolean isExpected = state.lease().orElseThrow().revision() == expected.revision();
        return isExpected ? write(content) : named(new StoreReply<>(Status.CONFLICT, state.lease()));
    }

    private StoreReply<StoredObject> write(JsonNode content) {
        long revision = state.revision() + otherChanges + 1;
        Optional<StoredObject> written = Optional.of(new StoredObject(LEASE, revision, content));
        enter(new State(time.nowMillis(), revision, written));
        lastWriteMillis = time.nowMillis();
        return named(new StoreReply<>(Status.OK, written));
    }

    private void enter(State next) {
        state = next;
        history.addFirst(next);
    }

    private StoreReply<StoredObject> named(StoreReply<StoredObject> reply) {
        return namesEras ? reply.withEra(OptionalLong.of(era)) : reply;
    }
}
