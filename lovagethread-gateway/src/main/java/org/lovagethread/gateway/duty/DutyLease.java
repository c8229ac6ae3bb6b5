package org.lovagethread.gateway.duty;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.lovagethread.gateway.store.ObjectKind;
import org.lovagethread.gateway.store.ObjectStore;
import org.lovagethread.gateway.store.StoreReply;
import org.lovagethread.gateway.store.StoreReply.Status;
import org.lovagethread.gateway.store.StoredObject;

/**
 * Acquires and renews the lease that permits one gateway to do the duties.
 *
 * <p>The holder counts its deadline from before each renewal was sent. Another gateway takes the lease after it has seen
 * the object unchanged for longer than the lease. Each term has a higher fencing number. A clock that stands still while
 * the process is suspended is noticed by comparing it with the time of day: any disagreement ends the term until the
 * store has confirmed it again. A holder that does not reach the store resigns when its deadline has passed and tells its
 * peers, so that a successor need not wait.
 */
public final class DutyLease {
    /** Time for which a renewal permits duties, in milliseconds. */
    public static final long LEASE_MILLIS = 4_000;

    /** Time before the deadline from which no call is started any more, in milliseconds. */
    public static final long CALL_MILLIS = 1_200;

    /** Time for which another's lease must be seen unchanged before it is taken, in milliseconds. */
    public static final long TAKEOVER_MILLIS = LEASE_MILLIS + 1_000;

    /** Time between two renewals, and between two looks at another's lease, in milliseconds. */
    public static final long RENEW_MILLIS = 1_000;

    /** Disagreement between the two clocks from which a pause is inferred, in milliseconds. */
    private static final long PAUSE_MILLIS = 250;

    /** Time after which a call to the store that was not answered is passed over, in milliseconds. */
    private static final long CALL_LOST_MILLIS = 1_500;

    /** Number of resigned terms that are remembered. */
    private static final int MOST_RESIGNED_TERMS = 64;

    private static final String NAME = "lease";
    private static final String HOLDER = "holder";
    private static final String TERM = "term";
    private static final String FENCE = "fence";
    private static final String RENEWAL = "renewal";

    private final ObjectStore store;
    private final String holder;
    private final Clocks clocks;
    private final Consumer<Boolean> storeAnswered;
    private final Set<String> peerResignedTerms = new LinkedHashSet<>();
    private Optional<Held> held = Optional.empty();
    private Optional<StoredObject> seen = Optional.empty();
    private Optional<String> resignedTerm = Optional.empty();
    private String writtenTerm = "";
    private long seenSinceMillis;
    private long nextMillis;
    private long callSentMillis;
    private boolean calling;
    private long terms;
    private long callNumber;
    private long lastFence;

    /** The two clocks of an instance. */
    public interface Clocks {
        /**
         * Returns the time of a clock that never jumps but stands still while the process is suspended.
         *
         * @return milliseconds since an arbitrary origin
         */
        long steadyMillis();

        /**
         * Returns the time of day, which may jump.
         *
         * @return milliseconds since the epoch
         */
        long wallMillis();
    }

    /** A term of this gateway: the object as written, and both clocks before the write was sent. */
    private record Held(StoredObject object, long fence, long steadyMillis, long wallMillis) {}

    /**
     * Creates a lease that is not held.
     *
     * @param store the store
     * @param holder the name of this gateway with its incarnation
     * @param clocks the clocks of the instance
     * @param storeAnswered told whether the store answered a call
     */
    public DutyLease(ObjectStore store, String holder, Clocks clocks, Consumer<Boolean> storeAnswered) {
        this.store = store;
        this.holder = holder;
        this.clocks = clocks;
        this.storeAnswered = storeAnswered;
    }

    /**
     * Returns the fencing number if a call may be started now.
     *
     * @return the fencing number of the present term, or empty if no call may be started
     */
    public OptionalLong fence() {
        if (held.isEmpty() || paused(held.get())) {
            return OptionalLong.empty();
        }
        long age = clocks.steadyMillis() - held.get().steadyMillis();
        return age < LEASE_MILLIS - CALL_MILLIS ? OptionalLong.of(held.get().fence()) : OptionalLong.empty();
    }

    /**
     * Tells whether this gateway holds the lease.
     *
     * @return true if the deadline has not passed
     */
    public boolean holds() {
        return held.isPresent()
                && !paused(held.get())
                && clocks.steadyMillis() - held.get().steadyMillis() < LEASE_MILLIS;
    }

    /**
     * Renews the lease, or looks at another's.
     *
     * @param candidate whether this gateway should hold the lease if nobody does
     */
    public void tick(boolean candidate) {
        long now = clocks.steadyMillis();
        if (held.isPresent() && !holds()) {
            expire(held.get());
        }
        if (calling && now - callSentMillis > CALL_LOST_MILLIS) {
            calling = false;
        }
        if (calling || now < nextMillis || (!candidate && held.isEmpty())) {
            return;
        }
        nextMillis = now + RENEW_MILLIS;
        if (held.isPresent()) {
            StoredObject object = held.get().object();
            write(object, held.get().fence(), object.content().path(RENEWAL).asLong() + 1);
        } else {
            look();
        }
    }

    /**
     * Returns the last term that this gateway held until its deadline and will not act in again.
     *
     * @return the term, or empty if there is none
     */
    public Optional<String> resignedTerm() {
        return resignedTerm;
    }

    /**
     * Takes the word of a peer that it will not act in a term again.
     *
     * @param term the term; an empty text if there is none
     */
    public void peerResigned(String term) {
        if (!term.isEmpty() && peerResignedTerms.add(term) && peerResignedTerms.size() > MOST_RESIGNED_TERMS) {
            peerResignedTerms.remove(peerResignedTerms.iterator().next());
        }
    }

    /** Gives the lease up at once, so that another gateway can take it. */
    public void release() {
        if (held.isPresent() && !paused(held.get())) {
            StoredObject object = held.get().object();
            ObjectNode content = content("", "", held.get().fence(), 0);
            store.replace(ObjectKind.DUTIES, object, content, reply -> {});
        }
        held = Optional.empty();
        nextMillis = Long.MAX_VALUE;
    }

    /** Ends a term whose deadline has passed; calls that were started in it have timed out by then. */
    private void expire(Held term) {
        if (!paused(term)) {
            resignedTerm = Optional.of(writtenTerm);
            writtenTerm = "";
            callNumber++;
            calling = false;
        }
        held = Optional.empty();
        seen = Optional.empty();
    }

    private void look() {
        long mine = called();
        store.read(ObjectKind.DUTIES, NAME, reply -> {
            if (answered(mine, reply)) {
                looked(reply);
            }
        });
    }

    private void looked(StoreReply<StoredObject> reply) {
        long now = clocks.steadyMillis();
        if (reply.status() == Status.MISSING) {
            create();
            return;
        }
        if (reply.status() != Status.OK || reply.value().isEmpty()) {
            return;
        }
        StoredObject object = reply.value().get();
        String term = object.content().path(TERM).asText();
        boolean free = object.content().path(HOLDER).asText().isEmpty() || peerResignedTerms.contains(term);
        if (seen.filter(old -> old.revision() == object.revision()).isEmpty()) {
            seen = Optional.of(object);
            seenSinceMillis = now;
        }
        if (free || now - seenSinceMillis >= TAKEOVER_MILLIS) {
            startTerm();
            write(object, object.content().path(FENCE).asLong() + 1, 0);
        }
    }

    private void create() {
        startTerm();
        long mine = called();
        long steady = clocks.steadyMillis();
        long wall = clocks.wallMillis();
        store.create(ObjectKind.DUTIES, NAME, content(holder, writtenTerm, 1, 0), reply -> {
            if (answered(mine, reply)) {
                written(reply, steady, wall);
            }
        });
    }

    private void startTerm() {
        terms++;
        writtenTerm = holder + '#' + terms;
    }

    private void write(StoredObject expected, long fence, long renewal) {
        long mine = called();
        long steady = clocks.steadyMillis();
        long wall = clocks.wallMillis();
        store.replace(ObjectKind.DUTIES, expected, content(holder, writtenTerm, fence, renewal), reply -> {
            if (answered(mine, reply)) {
                written(reply, steady, wall);
            }
        });
    }

    private void written(StoreReply<StoredObject> reply, long steady, long wall) {
        if (reply.value().isEmpty() || (reply.status() != Status.OK && reply.status() != Status.CONFLICT)) {
            nextMillis = Math.min(nextMillis, clocks.steadyMillis() + RENEW_MILLIS / 3);
            return;
        }
        StoredObject object = reply.value().get();
        boolean ours =
                !writtenTerm.isEmpty() && object.content().path(TERM).asText().equals(writtenTerm);
        if (reply.status() == Status.OK && ours) {
            lastFence = object.content().path(FENCE).asLong();
            held = Optional.of(new Held(object, lastFence, steady, wall));
        } else if (ours) {
            resume(object);
        } else {
            held = Optional.empty();
            seen = Optional.of(object);
            seenSinceMillis = clocks.steadyMillis();
        }
    }

    /** Takes the revision of an earlier write of this term whose answer was lost; the deadline stays as it was. */
    private void resume(StoredObject object) {
        held = held.map(old -> new Held(object, old.fence(), old.steadyMillis(), old.wallMillis()));
        if (held.isEmpty()) {
            write(
                    object,
                    object.content().path(FENCE).asLong(),
                    object.content().path(RENEWAL).asLong() + 1);
        } else {
            nextMillis = clocks.steadyMillis();
        }
    }

    private boolean paused(Held term) {
        long steady = clocks.steadyMillis() - term.steadyMillis();
        long wall = clocks.wallMillis() - term.wallMillis();
        return Math.abs(wall - steady) > PAUSE_MILLIS;
    }

    private long called() {
        calling = true;
        callSentMillis = clocks.steadyMillis();
        callNumber++;
        return callNumber;
    }

    private boolean answered(long number, StoreReply<StoredObject> reply) {
        storeAnswered.accept(reply.isAnswered());
        if (number != callNumber) {
            return false;
        }
        calling = false;
        return true;
    }

    private static ObjectNode content(String holder, String term, long fence, long renewal) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put(HOLDER, holder);
        node.put(TERM, term);
        node.put(FENCE, fence);
        node.put(RENEWAL, renewal);
        return node;
    }

    /**
     * Returns the fencing number of the last term of this gateway, for logs.
     *
     * @return the number, or zero if it never held the lease
     */
    public long lastFence() {
        return lastFence;
    }
}
