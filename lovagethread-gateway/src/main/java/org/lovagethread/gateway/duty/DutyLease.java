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
 * Acquires and renews the lease that permits one gateway to perform the duties.
 *
 * <p>The holder counts its deadline from the time before each renewal was sent. Another gateway takes the lease over
 * after it has observed the object unchanged for longer than the lease duration. Each term has a higher fencing token.
 *
 * <p>The monotonic clock stands still while the process is suspended. A suspension is detected by comparing this clock
 * with the wall clock; any divergence ends the term until the store has confirmed it again.
 *
 * <p>A holder that cannot reach the store resigns when its deadline has passed and notifies its peers. Its successor
 * then does not have to wait for the takeover delay.
 */
public final class DutyLease {
    /** Time for which a renewal permits duties, in milliseconds. */
    public static final long LEASE_DURATION_MILLIS = 4_000;

    /** Time before the deadline during which no call is started, in milliseconds. */
    public static final long CALL_MARGIN_MILLIS = 1_200;

    /** Time for which the lease of another gateway must be unchanged before it is taken over, in milliseconds. */
    public static final long TAKEOVER_DELAY_MILLIS = LEASE_DURATION_MILLIS + 1_000;

    /** Interval between renewals, and between reads of another gateway's lease, in milliseconds. */
    public static final long RENEWAL_INTERVAL_MILLIS = 1_000;

    /** Divergence of the two clocks above which a suspension is inferred, in milliseconds. */
    private static final long SUSPENSION_THRESHOLD_MILLIS = 250;

    /** Time after which a call to the store without a reply is abandoned, in milliseconds. */
    private static final long STORE_CALL_TIMEOUT_MILLIS = 1_500;

    /** Maximum number of resigned terms that are retained. */
    private static final int MAX_RESIGNED_TERMS = 64;

    private static final String NAME = "lease";
    private static final String HOLDER = "holder";
    private static final String TERM = "term";
    private static final String FENCE = "fence";
    private static final String RENEWAL = "renewal";

    private final ObjectStore store;
    private final String holder;
    private final Clocks clocks;
    private final Consumer<Boolean> storeCallListener;
    private final Set<String> peerResignedTerms = new LinkedHashSet<>();
    private Optional<HeldTerm> held = Optional.empty();
    private Optional<StoredObject> observed = Optional.empty();
    private Optional<String> resignedTerm = Optional.empty();
    private Takeover takeover = new Takeover("", "", 0);
    private String writtenTerm = "";
    private long observedSinceMillis;
    private long nextCallMillis;
    private long callSentMillis;
    private boolean callPending;
    private long termCount;
    private long callNumber;
    private long lastFencingToken;

    /** Clocks of an instance. */
    public interface Clocks {
        /**
         * Returns the monotonic time, which stands still while the process is suspended.
         *
         * @return the milliseconds since an arbitrary origin
         */
        long monotonicMillis();

        /**
         * Returns the wall-clock time, which may jump.
         *
         * @return the milliseconds since the epoch
         */
        long wallMillis();
    }

    /**
     * How this gateway came to its latest term, for logging.
     *
     * @param reason why the lease was available
     * @param previousTerm the term before; empty if the object did not exist
     * @param previousRevision the revision of the object that was replaced; zero if it did not exist
     */
    public record Takeover(String reason, String previousTerm, long previousRevision) {}

    /** Term held by this gateway: the object as written, and the times of both clocks before the write was sent. */
    private record HeldTerm(StoredObject object, long fencingToken, long monotonicMillis, long wallMillis) {}

    /**
     * Creates a lease that is not held.
     *
     * @param store the store
     * @param holder the name of this gateway with its incarnation
     * @param clocks the clocks of the instance
     * @param storeCallListener receives, for each call, whether the store processed it
     */
    public DutyLease(ObjectStore store, String holder, Clocks clocks, Consumer<Boolean> storeCallListener) {
        this.store = store;
        this.holder = holder;
        this.clocks = clocks;
        this.storeCallListener = storeCallListener;
    }

    /**
     * Returns the fencing token if a call may be started now.
     *
     * @return the fencing token of the current term, or empty if no call may be started
     */
    public OptionalLong fencingToken() {
        if (held.isEmpty() || wasSuspended(held.get())) {
            return OptionalLong.empty();
        }
        long age = clocks.monotonicMillis() - held.get().monotonicMillis();
        return age < LEASE_DURATION_MILLIS - CALL_MARGIN_MILLIS
                ? OptionalLong.of(held.get().fencingToken())
                : OptionalLong.empty();
    }

    /**
     * Returns whether this gateway holds the lease.
     *
     * @return true if the deadline has not passed
     */
    public boolean isHeld() {
        return held.isPresent()
                && !wasSuspended(held.get())
                && clocks.monotonicMillis() - held.get().monotonicMillis() < LEASE_DURATION_MILLIS;
    }

    /**
     * Renews the lease, or reads the lease of another gateway.
     *
     * @param candidate whether this gateway should acquire the lease if no gateway holds it
     */
    public void tick(boolean candidate) {
        long now = clocks.monotonicMillis();
        if (held.isPresent() && !isHeld()) {
            expire(held.get());
        }
        if (callPending && now - callSentMillis > STORE_CALL_TIMEOUT_MILLIS) {
            callPending = false;
        }
        if (callPending || now < nextCallMillis || (!candidate && held.isEmpty())) {
            return;
        }
        nextCallMillis = now + RENEWAL_INTERVAL_MILLIS;
        if (held.isPresent()) {
            StoredObject object = held.get().object();
            write(
                    object,
                    held.get().fencingToken(),
                    object.content().path(RENEWAL).asLong() + 1);
        } else {
            readLease();
        }
    }

    /**
     * Returns the last term that this gateway held until its deadline and in which it will not act again.
     *
     * @return the term, or empty if there is none
     */
    public Optional<String> resignedTerm() {
        return resignedTerm;
    }

    /**
     * Records that a peer has resigned from a term, in which it will not act again.
     *
     * @param term the term, or an empty string if there is none
     */
    public void recordPeerResignation(String term) {
        if (!term.isEmpty() && peerResignedTerms.add(term) && peerResignedTerms.size() > MAX_RESIGNED_TERMS) {
            peerResignedTerms.remove(peerResignedTerms.iterator().next());
        }
    }

    /** Releases the lease so that another gateway can acquire it immediately. */
    public void release() {
        if (held.isPresent() && !wasSuspended(held.get())) {
            StoredObject object = held.get().object();
            ObjectNode content = content("", "", held.get().fencingToken(), 0);
            store.replace(ObjectKind.DUTIES, object, content, reply -> {});
        }
        held = Optional.empty();
        nextCallMillis = Long.MAX_VALUE;
    }

    /** Ends a term whose deadline has passed. All calls started in this term have timed out by then. */
    private void expire(HeldTerm term) {
        if (!wasSuspended(term)) {
            resignedTerm = Optional.of(writtenTerm);
            writtenTerm = "";
            callNumber++;
            callPending = false;
        }
        held = Optional.empty();
        observed = Optional.empty();
    }

    private void readLease() {
        long number = beginCall();
        store.read(ObjectKind.DUTIES, NAME, reply -> {
            if (acceptReply(number, reply)) {
                onLeaseRead(reply);
            }
        });
    }

    private void onLeaseRead(StoreReply<StoredObject> reply) {
        long now = clocks.monotonicMillis();
        if (reply.status() == Status.MISSING) {
            create();
            return;
        }
        if (reply.status() != Status.OK || reply.value().isEmpty()) {
            return;
        }
        StoredObject object = reply.value().get();
        String term = object.content().path(TERM).asText();
        boolean released = object.content().path(HOLDER).asText().isEmpty();
        boolean available = released || peerResignedTerms.contains(term);
        if (observed.filter(previous -> previous.revision() == object.revision())
                .isEmpty()) {
            observed = Optional.of(object);
            observedSinceMillis = now;
        }
        if (available || now - observedSinceMillis >= TAKEOVER_DELAY_MILLIS) {
            String reason = released ? "released" : available ? "resigned" : "unchanged";
            startTerm(new Takeover(reason, term, object.revision()));
            write(object, object.content().path(FENCE).asLong() + 1, 0);
        }
    }

    private void create() {
        startTerm(new Takeover("missing", "", 0));
        long number = beginCall();
        long monotonicMillis = clocks.monotonicMillis();
        long wallMillis = clocks.wallMillis();
        store.create(ObjectKind.DUTIES, NAME, content(holder, writtenTerm, 1, 0), reply -> {
            if (acceptReply(number, reply)) {
                onWritten(reply, monotonicMillis, wallMillis);
            }
        });
    }

    private void startTerm(Takeover newTakeover) {
        takeover = newTakeover;
        termCount++;
        writtenTerm = holder + '#' + termCount;
    }

    private void write(StoredObject expected, long fencingToken, long renewal) {
        long number = beginCall();
        long monotonicMillis = clocks.monotonicMillis();
        long wallMillis = clocks.wallMillis();
        store.replace(ObjectKind.DUTIES, expected, content(holder, writtenTerm, fencingToken, renewal), reply -> {
            if (acceptReply(number, reply)) {
                onWritten(reply, monotonicMillis, wallMillis);
            }
        });
    }

    private void onWritten(StoreReply<StoredObject> reply, long monotonicMillis, long wallMillis) {
        if (reply.value().isEmpty() || (reply.status() != Status.OK && reply.status() != Status.CONFLICT)) {
            nextCallMillis = Math.min(nextCallMillis, clocks.monotonicMillis() + RENEWAL_INTERVAL_MILLIS / 3);
            return;
        }
        StoredObject object = reply.value().get();
        boolean ownTerm =
                !writtenTerm.isEmpty() && object.content().path(TERM).asText().equals(writtenTerm);
        if (reply.status() == Status.OK && ownTerm) {
            lastFencingToken = object.content().path(FENCE).asLong();
            held = Optional.of(new HeldTerm(object, lastFencingToken, monotonicMillis, wallMillis));
        } else if (ownTerm) {
            adoptWrite(object);
        } else {
            held = Optional.empty();
            observed = Optional.of(object);
            observedSinceMillis = clocks.monotonicMillis();
        }
    }

    /** Adopts the revision of an earlier write of this term whose reply was lost. The deadline is not extended. */
    private void adoptWrite(StoredObject object) {
        held = held.map(previous ->
                new HeldTerm(object, previous.fencingToken(), previous.monotonicMillis(), previous.wallMillis()));
        if (held.isEmpty()) {
            write(
                    object,
                    object.content().path(FENCE).asLong(),
                    object.content().path(RENEWAL).asLong() + 1);
        } else {
            nextCallMillis = clocks.monotonicMillis();
        }
    }

    private boolean wasSuspended(HeldTerm term) {
        long monotonicMillis = clocks.monotonicMillis() - term.monotonicMillis();
        long wallMillis = clocks.wallMillis() - term.wallMillis();
        return Math.abs(wallMillis - monotonicMillis) > SUSPENSION_THRESHOLD_MILLIS;
    }

    private long beginCall() {
        callPending = true;
        callSentMillis = clocks.monotonicMillis();
        callNumber++;
        return callNumber;
    }

    private boolean acceptReply(long number, StoreReply<StoredObject> reply) {
        storeCallListener.accept(reply.isProcessed());
        if (number != callNumber) {
            return false;
        }
        callPending = false;
        return true;
    }

    private static ObjectNode content(String holder, String term, long fencingToken, long renewal) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put(HOLDER, holder);
        node.put(TERM, term);
        node.put(FENCE, fencingToken);
        node.put(RENEWAL, renewal);
        return node;
    }

    /**
     * Returns the fencing token of the last term of this gateway, for logging.
     *
     * @return the fencing token, or zero if this gateway has never held the lease
     */
    public long lastFencingToken() {
        return lastFencingToken;
    }

    /**
     * Returns how this gateway came to its latest term, for logging.
     *
     * @return the takeover, with empty components if this gateway has never tried to take the lease
     */
    public Takeover takeover() {
        return takeover;
    }
}
