package org.lovagethread.gateway.duty;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.lovagethread.gateway.store.ObjectKind;
import org.lovagethread.gateway.store.ObjectStore;
import org.lovagethread.gateway.store.StoreReply;
import org.lovagethread.gateway.store.StoreReply.Status;
import org.lovagethread.gateway.store.StoreVersion;
import org.lovagethread.gateway.store.StoredObject;

/**
 * Acquires and renews the lease that permits one gateway to perform the duties.
 *
 * <p>The holder counts its deadline from the time before each renewal was sent. Another gateway takes the lease over
 * after it has observed the object, or its absence, unchanged for longer than the lease duration. The fencing token
 * of a term is the {@link StoreVersion version} of the write that began it, so no two terms have the same one, and
 * later terms have higher ones.
 *
 * <p>A term ends with the era of the store in which it began. An object that was written in an earlier era, or that is
 * missing, does not tell which terms have begun since. It is therefore never available before the takeover delay has
 * passed, after which no holder of an earlier era can act any more.
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

    /** Version that is not that of any state. */
    private static final long NO_VERSION = -1;

    private static final String NAME = "lease";
    private static final String HOLDER = "holder";
    private static final String TERM = "term";
    private static final String FENCE = "fence";
    private static final String RENEWAL = "renewal";
    private static final String ERA = "era";
    private static final String ERA_SINCE = "era_since_ms";

    private final ObjectStore store;
    private final LongSupplier storeEra;
    private final String holder;
    private final Clocks clocks;
    private final Consumer<Boolean> storeCallListener;
    private final Set<String> peerResignedTerms = new LinkedHashSet<>();
    private Optional<HeldTerm> held = Optional.empty();
    private Optional<Term> written = Optional.empty();
    private OptionalLong writtenToken = OptionalLong.empty();
    private Optional<String> resignedTerm = Optional.empty();
    private Takeover takeover = new Takeover("", "", 0);
    private String lossReason = "";
    private long observedVersion = NO_VERSION;
    private long observedSinceMillis;
    private long observedEra = NO_VERSION;
    private long firstEra;
    private long absenceTrustedUntilMillis = Long.MIN_VALUE;
    private long eraObservedMillis;
    private long eraObservedClusterMillis;
    private long releaseMillis = Long.MAX_VALUE;
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

        /**
         * Returns the cluster time, on which all gateways roughly agree.
         *
         * @return the milliseconds since the epoch
         */
        long clusterMillis();
    }

    /**
     * How this gateway came to its latest term, for logging.
     *
     * @param reason why the lease was available
     * @param previousTerm the term before; empty if the object did not exist
     * @param previousVersion the version of the object that was replaced; zero if it did not exist
     */
    public record Takeover(String reason, String previousTerm, long previousVersion) {}

    /**
     * Term that this gateway has begun to write.
     *
     * @param id identifies the term
     * @param era the era in which it may be held
     * @param eraSinceMillis the cluster time by which the era had begun
     */
    private record Term(String id, long era, long eraSinceMillis) {}

    /** Term held by this gateway: the object as written, and the times of both clocks before the write was sent. */
    private record HeldTerm(Term term, StoredObject object, long fencingToken, long monotonicMillis, long wallMillis) {}

    /**
     * Creates a lease that is not held.
     *
     * @param store the store, whose objects bear versions
     * @param storeEra returns the latest era of the store that is known; in a reply, the era of that reply
     * @param holder the name of this gateway with its instance and its incarnation, which no other gateway has
     * @param clocks the clocks of the instance
     * @param storeCallListener receives, for each call, whether the store processed it
     */
    public DutyLease(
            ObjectStore store,
            LongSupplier storeEra,
            String holder,
            Clocks clocks,
            Consumer<Boolean> storeCallListener) {
        this.store = store;
        this.storeEra = storeEra;
        this.holder = holder;
        this.clocks = clocks;
        this.storeCallListener = storeCallListener;
    }

    /**
     * Records that the whole system starts for the first time, so that no gateway has held the lease before. The lease
     * need not have been missing for the takeover delay then, unless the store comes back from an older copy meanwhile.
     */
    public void markFirstStart() {
        absenceTrustedUntilMillis = clocks.monotonicMillis() + TAKEOVER_DELAY_MILLIS;
    }

    /**
     * Returns the fencing token if a call may be started now.
     *
     * @return the fencing token of the current term, or empty if no call may be started
     */
    public OptionalLong fencingToken() {
        return !isReleasing()
                        && held.isPresent()
                        && isValid(held.get())
                        && age(held.get()) < LEASE_DURATION_MILLIS - CALL_MARGIN_MILLIS
                ? OptionalLong.of(held.get().fencingToken())
                : OptionalLong.empty();
    }

    /**
     * Returns whether this gateway holds the lease.
     *
     * @return true if the deadline has not passed
     */
    public boolean isHeld() {
        return held.isPresent() && isValid(held.get()) && age(held.get()) < LEASE_DURATION_MILLIS;
    }

    /**
     * Returns the cluster time by which the era of the store had begun in which the lease is held. Holders of earlier
     * eras may have acted until then, without a trace in the store.
     *
     * @return the milliseconds since the epoch; the largest number if the lease is not held
     */
    public long eraSinceMillis() {
        return held.map(current -> current.term().eraSinceMillis()).orElse(Long.MAX_VALUE);
    }

    /**
     * Renews the lease, or reads the lease of another gateway.
     *
     * @param candidate whether this gateway should acquire the lease if no gateway holds it
     */
    public void tick(boolean candidate) {
        long now = clocks.monotonicMillis();
        followFirstEra();
        if (held.isPresent() && !isHeld()) {
            expire(held.get());
        }
        if (callPending && now - callSentMillis > STORE_CALL_TIMEOUT_MILLIS) {
            callPending = false;
        }
        if (!callPending && now >= releaseMillis) {
            writeRelease();
        }
        boolean mayAcquire = candidate && !isReleasing();
        if (callPending || now < nextCallMillis || (!mayAcquire && held.isEmpty())) {
            return;
        }
        nextCallMillis = now + RENEWAL_INTERVAL_MILLIS;
        if (held.isPresent()) {
            renew(held.get().object());
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

    /**
     * Starts no further call, and releases the lease as soon as all calls have ended, so that another gateway can
     * acquire it then. The lease is not acquired again.
     */
    public void release() {
        releaseMillis = clocks.monotonicMillis() + CALL_MARGIN_MILLIS;
    }

    private void writeRelease() {
        if (held.isPresent()) {
            lossReason = "released";
            ObjectNode content = content("", "", held.get().term(), held.get().fencingToken(), 0);
            store.replace(ObjectKind.DUTIES, held.get().object(), content, reply -> {});
        }
        held = Optional.empty();
        written = Optional.empty();
        callNumber++;
        nextCallMillis = Long.MAX_VALUE;
    }

    private boolean isReleasing() {
        return releaseMillis != Long.MAX_VALUE;
    }

    /** Ends a term whose deadline or era has passed. All calls started in this term have timed out by the deadline. */
    private void expire(HeldTerm ended) {
        lossReason = wasSuspended(ended) ? "suspended" : isOfCurrentEra(ended.term()) ? "deadline" : "store-era";
        if (!wasSuspended(ended)) {
            resignedTerm =
                    isOfCurrentEra(ended.term()) ? Optional.of(ended.term().id()) : resignedTerm;
            written = Optional.empty();
            callNumber++;
            callPending = false;
        }
        held = Optional.empty();
        observedVersion = NO_VERSION;
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
        if (reply.status() != Status.MISSING
                && (reply.status() != Status.OK || reply.value().isEmpty())) {
            return;
        }
        Optional<StoredObject> object = reply.value();
        followFirstEra();
        observe(object.map(StoredObject::revision).orElse(StoreVersion.of(storeEra.getAsLong(), 0)));
        availability(object).ifPresent(reason -> acquire(object, reason));
    }

    private void followFirstEra() {
        long era = storeEra.getAsLong();
        if (firstEra > 0 && era != firstEra) {
            absenceTrustedUntilMillis = Long.MIN_VALUE;
        }
        firstEra = firstEra > 0 ? firstEra : era;
    }

    private void observe(long version) {
        long now = clocks.monotonicMillis();
        if (version != observedVersion) {
            observedVersion = version;
            observedSinceMillis = now;
        }
        if (StoreVersion.era(version) != observedEra) {
            absenceTrustedUntilMillis = observedEra == NO_VERSION ? absenceTrustedUntilMillis : Long.MIN_VALUE;
            observedEra = StoreVersion.era(version);
            eraObservedMillis = now;
            eraObservedClusterMillis = clocks.clusterMillis();
        }
    }

    /** Returns why the lease may be acquired now; empty if it may not. */
    private Optional<String> availability(Optional<StoredObject> object) {
        Optional<StoredObject> current = object.filter(DutyLease::isOfItsEra);
        if (current.filter(found -> found.content().path(HOLDER).asText().isEmpty())
                .isPresent()) {
            return Optional.of("released");
        }
        if (current.filter(found -> peerResignedTerms.contains(termOf(found))).isPresent()) {
            return Optional.of("resigned");
        }
        if (object.isEmpty() && clocks.monotonicMillis() < absenceTrustedUntilMillis) {
            return Optional.of("first-start");
        }
        if (clocks.monotonicMillis() - observedSinceMillis < TAKEOVER_DELAY_MILLIS) {
            return Optional.empty();
        }
        return Optional.of(object.isEmpty() ? "missing" : current.isEmpty() ? "earlier-era" : "unchanged");
    }

    private void acquire(Optional<StoredObject> object, String reason) {
        takeover = new Takeover(
                reason,
                object.map(DutyLease::termOf).orElse(""),
                object.map(StoredObject::revision).orElse(0L));
        termCount++;
        long eraSinceMillis = object.filter(DutyLease::isOfItsEra)
                .map(found -> found.content().path(ERA_SINCE).asLong())
                .orElseGet(() -> Math.max(
                        eraObservedClusterMillis,
                        clocks.clusterMillis() - (clocks.monotonicMillis() - eraObservedMillis)));
        written = Optional.of(new Term(holder + '#' + termCount, storeEra.getAsLong(), eraSinceMillis));
        writtenToken = OptionalLong.empty();
        write(object, 0);
    }

    private void renew(StoredObject object) {
        write(Optional.of(object), object.content().path(RENEWAL).asLong() + 1);
    }

    private void write(Optional<StoredObject> expected, long renewal) {
        long number = beginCall();
        long monotonicMillis = clocks.monotonicMillis();
        long wallMillis = clocks.wallMillis();
        long fence = writtenToken.orElse(expected.map(StoredObject::revision).orElse(0L));
        ObjectNode content = content(holder, written.orElseThrow().id(), written.orElseThrow(), fence, renewal);
        Consumer<StoreReply<StoredObject>> handler = reply -> {
            if (acceptReply(number, reply)) {
                onWritten(reply, monotonicMillis, wallMillis);
            }
        };
        if (expected.isPresent()) {
            store.replace(ObjectKind.DUTIES, expected.get(), content, handler);
        } else {
            store.create(ObjectKind.DUTIES, NAME, content, handler);
        }
    }

    private void onWritten(StoreReply<StoredObject> reply, long monotonicMillis, long wallMillis) {
        if (reply.value().isEmpty() || (reply.status() != Status.OK && reply.status() != Status.CONFLICT)) {
            nextCallMillis = Math.min(nextCallMillis, clocks.monotonicMillis() + RENEWAL_INTERVAL_MILLIS / 3);
            return;
        }
        StoredObject object = reply.value().get();
        Optional<Term> own =
                written.filter(term -> term.id().equals(termOf(object))).filter(this::isOfCurrentEra);
        if (own.isPresent() && reply.status() == Status.OK) {
            lastFencingToken = writtenToken.orElse(object.revision());
            writtenToken = OptionalLong.of(lastFencingToken);
            held = Optional.of(new HeldTerm(own.get(), object, lastFencingToken, monotonicMillis, wallMillis));
        } else if (own.isPresent()) {
            adoptWrite(object);
        } else {
            lossReason = "replaced";
            held = Optional.empty();
            observe(object.revision());
        }
    }

    /** Adopts the version of an earlier write of this term whose reply was lost. The deadline is not extended. */
    private void adoptWrite(StoredObject object) {
        held = held.map(previous -> new HeldTerm(
                previous.term(), object, previous.fencingToken(), previous.monotonicMillis(), previous.wallMillis()));
        if (held.isEmpty()) {
            renew(object);
        } else {
            nextCallMillis = clocks.monotonicMillis();
        }
    }

    private long age(HeldTerm current) {
        return clocks.monotonicMillis() - current.monotonicMillis();
    }

    private boolean isValid(HeldTerm current) {
        return !wasSuspended(current) && isOfCurrentEra(current.term());
    }

    private boolean isOfCurrentEra(Term term) {
        return term.era() == storeEra.getAsLong();
    }

    private boolean wasSuspended(HeldTerm current) {
        long wallMillis = clocks.wallMillis() - current.wallMillis();
        return Math.abs(wallMillis - age(current)) > SUSPENSION_THRESHOLD_MILLIS;
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

    /** Returns whether an object was written in the era in which the store has it. */
    private static boolean isOfItsEra(StoredObject object) {
        return object.content().path(ERA).asLong() == StoreVersion.era(object.revision());
    }

    private static String termOf(StoredObject object) {
        return object.content().path(TERM).asText();
    }

    private static ObjectNode content(String holder, String termId, Term term, long fencingToken, long renewal) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put(HOLDER, holder);
        node.put(TERM, termId);
        node.put(FENCE, fencingToken);
        node.put(RENEWAL, renewal);
        node.put(ERA, term.era());
        node.put(ERA_SINCE, term.eraSinceMillis());
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

    /**
     * Returns why this gateway does not hold the lease any more, for logging.
     *
     * @return the reason; empty if it has never lost the lease
     */
    public String lossReason() {
        return lossReason;
    }
}
