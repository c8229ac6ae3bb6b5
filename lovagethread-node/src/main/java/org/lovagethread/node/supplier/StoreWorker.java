package org.lovagethread.node.supplier;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.event.Event;
import org.lovagethread.core.store.StoreStatus;
import org.lovagethread.node.worker.MpscQueue;
import org.lovagethread.node.worker.Worker;
import org.lovagethread.supplier.objects.ClaimStore;
import org.lovagethread.supplier.objects.LeaseStore;

/** Executes the reads and writes of claims and leases that the core requests, with a limit on operations in flight. */
public final class StoreWorker implements Worker {
    private static final int MAX_IN_FLIGHT = 256;
    private static final long POLL_TIMEOUT_MILLIS = 1_000;

    private final MpscQueue<Command> commands;
    private final Consumer<Event> events;
    private final AtomicInteger inFlight = new AtomicInteger();
    private final ClaimStore claims;
    private final LeaseStore leases;

    /**
     * Creates the worker.
     *
     * @param claims the claim store
     * @param leases the lease store
     * @param commands the queue of read and write commands
     * @param events receives the results
     */
    public StoreWorker(ClaimStore claims, LeaseStore leases, MpscQueue<Command> commands, Consumer<Event> events) {
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
    public void runIteration() {
        Command command = commands.poll(POLL_TIMEOUT_MILLIS);
        if (command instanceof Command.ReadClaim read) {
            submit(() -> claims.read(read), claimRejected(read.operationId()));
        } else if (command instanceof Command.WriteClaim write) {
            submit(() -> claims.write(write), claimRejected(write.operationId()));
        } else if (command instanceof Command.ReadLease read) {
            submit(() -> leases.read(read), leaseRejected(read.operationId()));
        } else if (command instanceof Command.WriteLease write) {
            submit(() -> leases.write(write), leaseRejected(write.operationId()));
        }
    }

    private static Event claimRejected(long operationId) {
        return new Event.ClaimReplied(operationId, StoreStatus.REJECTED, 0, Optional.empty());
    }

    private static Event leaseRejected(long operationId) {
        return new Event.LeaseReplied(operationId, StoreStatus.REJECTED, 0, Optional.empty());
    }

    private void submit(Supplier<CompletableFuture<Event>> operation, Event rejection) {
        if (inFlight.incrementAndGet() <= MAX_IN_FLIGHT) {
            operation.get().thenAccept(this::onReply);
        } else {
            onReply(rejection);
        }
    }

    private void onReply(Event reply) {
        inFlight.decrementAndGet();
        events.accept(reply);
    }
}
