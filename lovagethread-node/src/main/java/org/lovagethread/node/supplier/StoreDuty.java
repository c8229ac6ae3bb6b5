package org.lovagethread.node.supplier;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.event.Event;
import org.lovagethread.core.store.StoreStatus;
import org.lovagethread.node.duty.Duty;
import org.lovagethread.node.duty.Ring;
import org.lovagethread.supplier.objects.ClaimStore;
import org.lovagethread.supplier.objects.LeaseStore;

/** Carries out the core's reads and writes of claims and leases, with a bound on those in flight. */
public final class StoreDuty implements Duty {
    private static final int MOST_IN_FLIGHT = 256;
    private static final long WAIT_MILLIS = 1_000;

    private final Ring<Command> commands;
    private final Consumer<Event> events;
    private final AtomicInteger inFlight = new AtomicInteger();
    private final ClaimStore claims;
    private final LeaseStore leases;

    /**
     * Creates the duty.
     *
     * @param claims the store of claims
     * @param leases the store of leases
     * @param commands brings the reads and writes
     * @param events takes the results
     */
    public StoreDuty(ClaimStore claims, LeaseStore leases, Ring<Command> commands, Consumer<Event> events) {
        this.claims = claims;
        this.leases = leases;
        this.commands = commands;
        this.events = events;
    }

    @Override
    public String name() {
        return "store";
    }

    @Override
    public void step() {
        Command command = commands.take(WAIT_MILLIS);
        if (command instanceof Command.ReadClaim read) {
            run(() -> claims.read(read), claimRejected(read.operationId()));
        } else if (command instanceof Command.WriteClaim write) {
            run(() -> claims.write(write), claimRejected(write.operationId()));
        } else if (command instanceof Command.ReadLease read) {
            run(() -> leases.read(read), leaseRejected(read.operationId()));
        } else if (command instanceof Command.WriteLease write) {
            run(() -> leases.write(write), leaseRejected(write.operationId()));
        }
    }

    private static Event claimRejected(long operationId) {
        return new Event.ClaimReplied(operationId, StoreStatus.REJECTED, 0, Optional.empty());
    }

    private static Event leaseRejected(long operationId) {
        return new Event.LeaseReplied(operationId, StoreStatus.REJECTED, 0, Optional.empty());
    }

    private void run(Supplier<CompletableFuture<Event>> operation, Event rejected) {
        if (inFlight.incrementAndGet() <= MOST_IN_FLIGHT) {
            operation.get().thenAccept(this::finish);
        } else {
            finish(rejected);
        }
    }

    private void finish(Event reply) {
        inFlight.decrementAndGet();
        events.accept(reply);
    }
}
