package org.lovagethread.gateway.stream;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import org.lovagethread.gateway.store.ObjectKind;
import org.lovagethread.gateway.store.ObjectStore;
import org.lovagethread.gateway.store.StoreReply;
import org.lovagethread.gateway.store.StoreReply.Status;
import org.lovagethread.gateway.store.StoredObject;

/**
 * Keeps the {@link VersionRecord} in the store: adds versions that appear, and removes those that have long left.
 *
 * <p>The gateways that see a version appear share one write: each reads the record after a random delay, and writes it
 * if the version is still missing. While nothing appears or leaves, no call is made.
 */
public final class VersionRecorder {
    /** Time after a restore of the store in which all gateways record what they know, in milliseconds. */
    static final long SETTLE_MILLIS = 2_000;

    /** Time for which a statement of a peer about recorded versions holds, in milliseconds. */
    private static final long PEER_STATEMENT_MILLIS = 5_000;

    /** Part of the maximum delay before the record is read, in milliseconds for each gateway. */
    private static final long SPREAD_MILLIS = 10;

    private static final long RETRY_MILLIS = 200;

    /** Time for which streams do not begin at the only version if it is about to be recorded, in milliseconds. */
    private static final long MAX_HOLD_MILLIS = 1_000;

    private final ObjectStore store;
    private final StreamVersions versions;
    private final LongSupplier storeEra;
    private final LongSupplier clusterClock;
    private final DoubleSupplier random;
    private final Consumer<Boolean> storeCallListener;
    private final Set<ServiceVersion> recorded = new HashSet<>();
    private final Map<ServiceVersion, Long> recordedAtPeersMillis = new HashMap<>();
    private Optional<StoredObject> object = Optional.empty();
    private VersionRecord known = new VersionRecord(-1, Long.MAX_VALUE, Map.of());
    private long recordedEra = -1;
    private OptionalLong dueMillis = OptionalLong.empty();
    private OptionalLong missingSinceMillis = OptionalLong.empty();
    private boolean callPending;
    private long calls;

    /**
     * Creates a recorder, which makes no call before {@link #tick}.
     *
     * @param store the store
     * @param versions the versions that this gateway knows
     * @param storeEra the era of the store
     * @param clusterClock the time since the epoch in milliseconds
     * @param random supplies random numbers in the range [0, 1)
     * @param storeCallListener receives, for each call, whether the store processed it
     */
    public VersionRecorder(
            ObjectStore store,
            StreamVersions versions,
            LongSupplier storeEra,
            LongSupplier clusterClock,
            DoubleSupplier random,
            Consumer<Boolean> storeCallListener) {
        this.store = store;
        this.versions = versions;
        this.storeEra = storeEra;
        this.clusterClock = clusterClock;
        this.random = random;
        this.storeCallListener = storeCallListener;
    }

    /**
     * Returns the number of calls to the store.
     *
     * @return the number since the start
     */
    public long calls() {
        return calls;
    }

    /**
     * Returns whether streams may begin at a version, since the store has it recorded.
     *
     * @param service the name of the service
     * @param version the version
     * @param nowMillis the current time in milliseconds
     * @return true if this gateway or a peer has seen the record
     */
    public boolean isRecorded(String service, String version, long nowMillis) {
        ServiceVersion asked = new ServiceVersion(service, version);
        Long statedMillis = recordedAtPeersMillis.get(asked);
        return recorded.contains(asked) || (statedMillis != null && nowMillis - statedMillis <= PEER_STATEMENT_MILLIS);
    }

    /**
     * Returns whether a version of a service that has others in the record is being added to it.
     *
     * @param service the name of the service
     * @param nowMillis the current time in milliseconds
     * @return false also if this takes too long, as the store may be away
     */
    public boolean isAboutToRecord(String service, long nowMillis) {
        return missingSinceMillis.isPresent()
                && nowMillis - missingSinceMillis.getAsLong() < MAX_HOLD_MILLIS
                && known.era() == storeEra.getAsLong()
                && !known.versions(service).isEmpty();
    }

    /** Returns the versions of which this gateway knows that they are recorded, for its peers. */
    Set<ServiceVersion> recorded() {
        return recorded;
    }

    /** Records what a peer states. */
    void recordPeer(Set<ServiceVersion> recordedVersions, long nowMillis) {
        recordedVersions.forEach(version -> recordedAtPeersMillis.put(version, nowMillis));
        recordedAtPeersMillis.values().removeIf(millis -> nowMillis - millis > PEER_STATEMENT_MILLIS);
    }

    /**
     * Makes the next call if one is due.
     *
     * @param services the services whose streams can be taken up again
     * @param gateways the number of gateways that share the store
     * @param mayRemove whether this gateway removes what is no longer needed: it is the one whose duty this is, and
     *     hears all others, which might still use an old version
     * @param nowMillis the current time in milliseconds
     */
    public void tick(Set<String> services, int gateways, boolean mayRemove, long nowMillis) {
        if (recordedEra != storeEra.getAsLong()) {
            recorded.clear();
        }
        Set<ServiceVersion> lately = versions.lately(services, nowMillis);
        recorded.retainAll(lately);
        missingSinceMillis = recorded.containsAll(lately)
                ? OptionalLong.empty()
                : OptionalLong.of(missingSinceMillis.orElse(nowMillis));
        if (callPending || versions.lifetimeMillis() == 0) {
            return;
        }
        if (!recorded.containsAll(lately)) {
            long spreadMillis = (long) (random.getAsDouble() * gateways * SPREAD_MILLIS);
            dueMillis = OptionalLong.of(dueMillis.orElse(nowMillis + spreadMillis));
            if (nowMillis >= dueMillis.getAsLong()) {
                read(services, mayRemove, nowMillis);
            }
        } else if (mayRemove && versions.isComplete() && hasOutdated(lately)) {
            dueMillis = OptionalLong.of(dueMillis.orElse(nowMillis + RETRY_MILLIS));
            if (nowMillis >= dueMillis.getAsLong()) {
                read(services, true, nowMillis);
            }
        } else {
            dueMillis = OptionalLong.empty();
        }
    }

    private boolean hasOutdated(Set<ServiceVersion> lately) {
        return known.era() == storeEra.getAsLong() && !outdated(known, lately).isEmpty();
    }

    /** Returns the recorded versions that no gateway has seen for longer than a stream can last. */
    private Set<ServiceVersion> outdated(VersionRecord record, Set<ServiceVersion> lately) {
        long beforeMillis = clusterClock.getAsLong() - versions.lifetimeMillis();
        Set<ServiceVersion> outdated = new HashSet<>();
        record.recordedMillis()
                .forEach((service, recordedVersions) -> recordedVersions.forEach((version, millis) -> {
                    ServiceVersion candidate = new ServiceVersion(service, version);
                    if (millis < beforeMillis && !lately.contains(candidate)) {
                        outdated.add(candidate);
                    }
                }));
        return outdated;
    }

    private void read(Set<String> services, boolean mayRemove, long nowMillis) {
        beginCall(nowMillis);
        store.read(ObjectKind.STREAMS, VersionRecord.NAME, reply -> {
            endCall(reply);
            if (reply.status() == Status.OK && reply.value().isPresent()) {
                object = reply.value();
                apply(VersionRecord.decode(reply.value().get().content()), services, mayRemove, nowMillis);
            } else if (reply.status() == Status.MISSING) {
                object = Optional.empty();
                apply(Optional.empty(), services, mayRemove, nowMillis);
            }
        });
    }

    private void apply(Optional<VersionRecord> stored, Set<String> services, boolean mayRemove, long nowMillis) {
        long era = storeEra.getAsLong();
        Set<ServiceVersion> lately = versions.lately(services, nowMillis);
        VersionRecord current = stored.filter(record -> record.era() == era).orElseGet(() -> begin(stored, era));
        boolean isStored = stored.filter(record -> record.era() == era).isPresent();
        VersionRecord wanted = current.with(lately, clusterClock.getAsLong());
        if (mayRemove && versions.isComplete()) {
            wanted = wanted.without(outdated(wanted, lately));
        }
        if (isStored && wanted.equals(current)) {
            adopt(current);
        } else {
            write(wanted, nowMillis);
        }
    }

    /** Returns the record with which an era begins. A gateway that has just started does not know what it may lack. */
    private VersionRecord begin(Optional<VersionRecord> earlier, long era) {
        long delayMillis = versions.isComplete() ? SETTLE_MILLIS : versions.lifetimeMillis();
        return new VersionRecord(
                era,
                clusterClock.getAsLong() + delayMillis,
                earlier.map(VersionRecord::recordedMillis).orElseGet(TreeMap::new));
    }

    private void write(VersionRecord wanted, long nowMillis) {
        beginCall(nowMillis);
        ObjectNode content = wanted.encode();
        Consumer<StoreReply<StoredObject>> listener = reply -> {
            endCall(reply);
            if (reply.status() == Status.OK && wanted.era() == storeEra.getAsLong()) {
                object = reply.value();
                adopt(wanted);
            }
        };
        if (object.isPresent()) {
            store.replace(ObjectKind.STREAMS, object.get(), content, listener);
        } else {
            store.create(ObjectKind.STREAMS, VersionRecord.NAME, content, listener);
        }
    }

    private void adopt(VersionRecord current) {
        known = current;
        recordedEra = current.era();
        dueMillis = OptionalLong.empty();
        recorded.clear();
        current.recordedMillis().forEach((service, recordedVersions) -> recordedVersions
                .keySet()
                .forEach(version -> recorded.add(new ServiceVersion(service, version))));
    }

    private void beginCall(long nowMillis) {
        callPending = true;
        calls++;
        dueMillis = OptionalLong.of(nowMillis + RETRY_MILLIS);
    }

    private void endCall(StoreReply<StoredObject> reply) {
        callPending = false;
        storeCallListener.accept(reply.isProcessed());
    }
}
