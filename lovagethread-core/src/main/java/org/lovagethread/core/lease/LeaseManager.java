package org.lovagethread.core.lease;

import java.util.Optional;
import org.lovagethread.core.CoreSettings;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.command.Outbox;
import org.lovagethread.core.event.Event;
import org.lovagethread.core.store.Lease;

/**
 * Acquires and renews the lease that permits a node to give orders.
 *
 * <p>The holder counts its deadline from before each renewal was sent. Another node takes the lease only after it has
 * itself seen the object unchanged for the whole lease and the longest life of an order, so no clocks are compared. A
 * holder that notices a pause gives the lease up before it does anything else.
 */
public final class LeaseManager {
    /** Time for which a renewal permits orders, in milliseconds. */
    public static final long LEASE_DURATION_MILLIS = 12_000;

    /** Time between two renewals, and between two looks at another's lease, in milliseconds. */
    public static final long RENEW_INTERVAL_MILLIS = 4_000;

    /** Longest time between the decision for an order and its sending, in milliseconds. */
    public static final long MAX_ORDER_DELAY_MILLIS = 2_000;

    /** Gap between two ticks from which a pause of the process is inferred, in milliseconds. */
    public static final long PAUSE_THRESHOLD_MILLIS = 1_000;

    private final Outbox out;
    private final CoreSettings settings;
    private Optional<Lease> heldLease = Optional.empty();
    private Optional<Lease> pendingWrite = Optional.empty();
    private long deadlineMillis;
    private long firstWriteSentMillis;
    private long lastTickMillis;
    private long nextCheckMillis;
    private long operationCounter;
    private long operationId;
    private long operationSentMillis;
    private long observedSinceMillis;
    private long observedVersion = -1;
    private long termCounter;
    private long version;

    /**
     * Creates a keeper without a lease.
     *
     * @param settings the settings of the node
     * @param out takes the commands
     */
    public LeaseManager(CoreSettings settings, Outbox out) {
        this.settings = settings;
        this.out = out;
    }

    /**
     * Returns the lease if it permits orders now.
     *
     * @param nowMillis the present time in milliseconds since the epoch
     * @return the lease, or empty if it is not held or has lapsed
     */
    public Optional<Lease> heldLease(long nowMillis) {
        return nowMillis < deadlineMillis ? heldLease : Optional.empty();
    }

    /**
     * Returns the time by which an order decided now must have been sent.
     *
     * @param nowMillis the present time in milliseconds since the epoch
     * @return a time within the lease, in milliseconds since the epoch
     */
    public long orderDeadline(long nowMillis) {
        return Math.min(deadlineMillis, nowMillis + MAX_ORDER_DELAY_MILLIS);
    }

    /**
     * Handles the result of a read or a write of the lease.
     *
     * @param reply the result
     * @param nowMillis the present time in milliseconds since the epoch
     */
    public void handleReply(Event.LeaseReplied reply, long nowMillis) {
        if (reply.operationId() != operationId) {
            return;
        }
        operationId = 0;
        switch (reply.status()) {
            case WRITTEN -> becomeHolder(reply.version(), operationSentMillis);
            case FOUND, CONFLICT -> handleStoredLease(reply, nowMillis);
            case MISSING -> write(new Lease(newToken(), settings.node(), 1, 0), 0, nowMillis);
            case REJECTED, NO_ANSWER -> nextCheckMillis = nowMillis + PAUSE_THRESHOLD_MILLIS;
            default -> throw new IllegalStateException("unexpected status " + reply.status());
        }
    }

    /**
     * Renews the lease, looks at another's, or gives the lease up after a pause.
     *
     * @param candidate whether this node should hold the lease
     * @param nowMillis the present time in milliseconds since the epoch
     */
    public void tick(boolean candidate, long nowMillis) {
        boolean paused = lastTickMillis > 0 && nowMillis - lastTickMillis > PAUSE_THRESHOLD_MILLIS;
        lastTickMillis = nowMillis;
        if (paused || !candidate || (heldLease.isPresent() && nowMillis >= deadlineMillis)) {
            abandonLease(paused, nowMillis);
        }
        if (candidate && operationId == 0 && nowMillis >= nextCheckMillis) {
            nextCheckMillis = nowMillis + RENEW_INTERVAL_MILLIS;
            if (heldLease.isPresent()) {
                Lease current = heldLease.get();
                write(
                        new Lease(current.token(), current.node(), current.fence(), current.renewal() + 1),
                        version,
                        nowMillis);
            } else {
                read();
            }
        }
    }

    private void abandonLease(boolean paused, long nowMillis) {
        heldLease = Optional.empty();
        pendingWrite = Optional.empty();
        deadlineMillis = 0;
        operationId = 0;
        if (paused) {
            observedVersion = -1;
            nextCheckMillis = nowMillis;
        }
    }

    private String newToken() {
        termCounter++;
        return settings.node() + '#' + settings.incarnation() + '#' + termCounter;
    }

    private void read() {
        operationId = ++operationCounter;
        out.add(new Command.ReadLease(operationId));
    }

    /** Handles the lease as it is stored now. */
    private void handleStoredLease(Event.LeaseReplied reply, long nowMillis) {
        if (reply.lease().isEmpty()) {
            return;
        }
        Lease stored = reply.lease().get();
        boolean ours = pendingWrite
                .filter(lease -> lease.token().equals(stored.token()))
                .isPresent();
        if (ours && pendingWrite.get().renewal() == stored.renewal()) {
            becomeHolder(reply.version(), firstWriteSentMillis);
            return;
        }
        heldLease = Optional.empty();
        if (reply.version() != observedVersion) {
            observedVersion = reply.version();
            observedSinceMillis = nowMillis;
            return;
        }
        if (nowMillis - observedSinceMillis >= LEASE_DURATION_MILLIS + MAX_ORDER_DELAY_MILLIS) {
            write(new Lease(newToken(), settings.node(), stored.fence() + 1, 0), reply.version(), nowMillis);
        }
    }

    /** Holds the lease from the time at which the write that is known to have taken effect was first sent. */
    private void becomeHolder(long storedVersion, long sentMillis) {
        heldLease = pendingWrite;
        version = storedVersion;
        deadlineMillis = sentMillis + LEASE_DURATION_MILLIS;
    }

    private void write(Lease lease, long expectedVersion, long nowMillis) {
        boolean repeated = pendingWrite.filter(lease::equals).isPresent();
        firstWriteSentMillis = repeated ? firstWriteSentMillis : nowMillis;
        pendingWrite = Optional.of(lease);
        operationId = ++operationCounter;
        operationSentMillis = nowMillis;
        out.add(new Command.WriteLease(operationId, expectedVersion, lease));
    }
}
