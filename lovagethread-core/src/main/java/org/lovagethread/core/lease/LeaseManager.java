package org.lovagethread.core.lease;

import java.util.Optional;
import org.lovagethread.core.CoreSettings;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.command.Outbox;
import org.lovagethread.core.event.Event;
import org.lovagethread.core.store.Lease;

/**
 * Acquires and renews the leader lease, which permits a node to send orders to engines.
 *
 * <p>The holder counts the lease duration from the time at which it sent a renewal and not from the reply. Another node
 * acquires the lease only after it has itself observed the stored object unchanged for the lease duration plus the
 * maximum delay of an order, so the clocks of different nodes are never compared. A holder that detects a
 * suspension of its process abandons the lease before doing anything else.
 */
public final class LeaseManager {
    /** Time for which the lease is valid after a renewal, in milliseconds. */
    public static final long LEASE_DURATION_MILLIS = 12_000;

    /** Time between two renewals, and between two reads of a lease held by another node, in milliseconds. */
    public static final long RENEWAL_INTERVAL_MILLIS = 4_000;

    /** Maximum time between deciding on an order and sending it, in milliseconds. */
    public static final long MAX_ORDER_DELAY_MILLIS = 2_000;

    /**
     * Gap between two ticks above which the process is considered to have been suspended, and delay before a
     * failed operation is retried, in milliseconds.
     */
    public static final long SUSPENSION_THRESHOLD_MILLIS = 1_000;

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
     * Creates a manager that does not hold the lease.
     *
     * @param settings the settings of the node
     * @param out receives the commands
     */
    public LeaseManager(CoreSettings settings, Outbox out) {
        this.settings = settings;
        this.out = out;
    }

    /**
     * Returns the lease if this node holds it and it has not expired.
     *
     * @param nowMillis the current time in milliseconds since the epoch
     * @return the lease, or empty if it is not held or has expired
     */
    public Optional<Lease> heldLease(long nowMillis) {
        return nowMillis < deadlineMillis ? heldLease : Optional.empty();
    }

    /**
     * Returns the latest time at which an order decided on now may be sent.
     *
     * @param nowMillis the current time in milliseconds since the epoch
     * @return a time within the lease duration, in milliseconds since the epoch
     */
    public long orderDeadline(long nowMillis) {
        return Math.min(deadlineMillis, nowMillis + MAX_ORDER_DELAY_MILLIS);
    }

    /**
     * Handles the result of reading or writing the lease.
     *
     * @param reply the result
     * @param nowMillis the current time in milliseconds since the epoch
     */
    public void onReply(Event.LeaseReplied reply, long nowMillis) {
        if (reply.operationId() != operationId) {
            return;
        }
        operationId = 0;
        switch (reply.status()) {
            case WRITTEN -> becomeHolder(reply.version(), operationSentMillis);
            case FOUND, CONFLICT -> onStoredLease(reply, nowMillis);
            case MISSING -> writeLease(new Lease(newToken(), settings.node(), 1, 0), 0, nowMillis);
            case REJECTED, NO_ANSWER -> nextCheckMillis = nowMillis + SUSPENSION_THRESHOLD_MILLIS;
            default -> throw new IllegalStateException("unexpected status " + reply.status());
        }
    }

    /**
     * Renews the lease, checks the lease of another node, or abandons the lease after a suspension of the process.
     *
     * @param eligible whether this node should acquire or keep the lease
     * @param nowMillis the current time in milliseconds since the epoch
     */
    public void onTick(boolean eligible, long nowMillis) {
        boolean wasSuspended = lastTickMillis > 0 && nowMillis - lastTickMillis > SUSPENSION_THRESHOLD_MILLIS;
        lastTickMillis = nowMillis;
        if (wasSuspended || !eligible || (heldLease.isPresent() && nowMillis >= deadlineMillis)) {
            abandonLease(wasSuspended, nowMillis);
        }
        if (eligible && operationId == 0 && nowMillis >= nextCheckMillis) {
            nextCheckMillis = nowMillis + RENEWAL_INTERVAL_MILLIS;
            if (heldLease.isPresent()) {
                Lease current = heldLease.get();
                writeLease(
                        new Lease(current.token(), current.node(), current.fence(), current.renewal() + 1),
                        version,
                        nowMillis);
            } else {
                readLease();
            }
        }
    }

    private void abandonLease(boolean wasSuspended, long nowMillis) {
        heldLease = Optional.empty();
        pendingWrite = Optional.empty();
        deadlineMillis = 0;
        operationId = 0;
        if (wasSuspended) {
            observedVersion = -1;
            nextCheckMillis = nowMillis;
        }
    }

    private String newToken() {
        termCounter++;
        return settings.node() + '#' + settings.incarnation() + '#' + termCounter;
    }

    private void readLease() {
        operationId = ++operationCounter;
        out.add(new Command.ReadLease(operationId));
    }

    /** Handles the currently stored lease. */
    private void onStoredLease(Event.LeaseReplied reply, long nowMillis) {
        if (reply.lease().isEmpty()) {
            return;
        }
        Lease stored = reply.lease().get();
        boolean isOwnLease = pendingWrite
                .filter(lease -> lease.token().equals(stored.token()))
                .isPresent();
        if (isOwnLease && pendingWrite.get().renewal() == stored.renewal()) {
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
            writeLease(new Lease(newToken(), settings.node(), stored.fence() + 1, 0), reply.version(), nowMillis);
        }
    }

    /** Makes this node the holder; the lease is valid from the time at which the successful write was first sent. */
    private void becomeHolder(long storedVersion, long sentMillis) {
        heldLease = pendingWrite;
        version = storedVersion;
        deadlineMillis = sentMillis + LEASE_DURATION_MILLIS;
    }

    private void writeLease(Lease lease, long expectedVersion, long nowMillis) {
        boolean isRetry = pendingWrite.filter(lease::equals).isPresent();
        firstWriteSentMillis = isRetry ? firstWriteSentMillis : nowMillis;
        pendingWrite = Optional.of(lease);
        operationId = ++operationCounter;
        operationSentMillis = nowMillis;
        out.add(new Command.WriteLease(operationId, expectedVersion, lease));
    }
}
