package org.lovagethread.gateway.rollout;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import org.lovagethread.gateway.config.ConfigurationDecoder;
import org.lovagethread.gateway.store.KindWatcher;
import org.lovagethread.gateway.store.ObjectStore;
import org.lovagethread.gateway.store.StoreVersion;
import org.lovagethread.gateway.store.StoredObject;

/** The orders as they were last read from the store. Passes each change to the table of rollouts. */
public final class RolloutOrders implements KindWatcher.Observer {
    /** Time in which an order that is missing after a restore of the store may be written again, in milliseconds. */
    private static final long RESTORE_GRACE_MILLIS = 5_000;

    private final ConfigurationDecoder decoder;
    private final RolloutTable table;
    private final LongSupplier clock;
    private final RolloutLog log;
    private final Map<String, Stored> byService = new HashMap<>();
    private final Map<String, String> unreadableReasons = new HashMap<>();
    private long listedVersion = -1;
    private long graceEndMillis = Long.MIN_VALUE;

    /**
     * An order with the object that contains it.
     *
     * @param object the object
     * @param order the order
     */
    record Stored(StoredObject object, RolloutOrder order) {}

    /**
     * Creates an object without orders.
     *
     * @param decoder decodes the orders
     * @param table receives the orders
     * @param clock supplies the current time in milliseconds
     * @param log receives lines about orders that cannot be used
     */
    public RolloutOrders(ConfigurationDecoder decoder, RolloutTable table, LongSupplier clock, RolloutLog log) {
        this.decoder = decoder;
        this.table = table;
        this.clock = clock;
        this.log = log;
    }

    @Override
    public void onListing(List<StoredObject> objects, long revision) {
        if (listedVersion >= 0 && StoreVersion.era(revision) > StoreVersion.era(listedVersion)) {
            graceEndMillis = clock.getAsLong() + RESTORE_GRACE_MILLIS;
        }
        listedVersion = Math.max(listedVersion, revision);
        Set<String> listed = new HashSet<>();
        for (StoredObject object : objects) {
            listed.add(object.name());
            apply(object);
        }
        for (String service : List.copyOf(byService.keySet())) {
            if (!listed.contains(service)) {
                remove(service);
            }
        }
    }

    @Override
    public void onChange(ObjectStore.Change change, long revision) {
        if (change.isRemoved()) {
            remove(change.object().name());
        } else {
            apply(change.object());
        }
    }

    @Override
    public void onCallCompleted(boolean processed) {
        // The watches of the configuration and the upstreams tell whether the store is reachable.
    }

    @Override
    public void onFailure(Throwable failure) {
        log.unreadable("", 0, failure.toString());
    }

    /**
     * Applies an object, unless a later state of it is known. An object that cannot be read changes only the revision
     * that later writes expect.
     */
    void apply(StoredObject object) {
        Stored known = byService.get(object.name());
        if (known != null && object.revision() < known.object().revision()) {
            return;
        }
        Either<String, RolloutOrder> order = decode(object);
        if (order.isLeft()) {
            if (!order.getLeft().equals(unreadableReasons.put(object.name(), order.getLeft()))) {
                log.unreadable(object.name(), object.revision(), order.getLeft());
            }
            if (known != null) {
                byService.put(object.name(), new Stored(object, known.order()));
            }
            return;
        }
        unreadableReasons.remove(object.name());
        byService.put(object.name(), new Stored(object, order.get()));
        table.applyOrder(order.get(), object.revision(), clock.getAsLong());
    }

    /** Records the status that this gateway has written, which cannot be read from an order that became unreadable. */
    void recordStatus(String service, Optional<RolloutStage> end) {
        byService.computeIfPresent(service, (name, stored) -> {
            RolloutOrder order = stored.order();
            return new Stored(
                    stored.object(), new RolloutOrder(name, order.target(), order.durationMillis(), true, end));
        });
    }

    private Either<String, RolloutOrder> decode(StoredObject object) {
        try {
            return object.defect().isPresent() ? Either.left(object.defect().get()) : decoder.decodeRollout(object);
        } catch (RuntimeException e) {
            return Either.left(e.toString());
        }
    }

    /**
     * Applies the removal of an object, unless the store has just come back from an older copy.
     *
     * @return false if the order is kept, since it may be written again
     */
    boolean remove(String service) {
        if (clock.getAsLong() < graceEndMillis) {
            return false;
        }
        unreadableReasons.remove(service);
        if (byService.remove(service) != null) {
            log.removed(service);
        }
        table.removeOrder(service, clock.getAsLong());
        return true;
    }

    /** Returns the order for a service as it was last read. */
    Optional<Stored> find(String service) {
        return Optional.ofNullable(byService.get(service));
    }
}
