package org.lovagethread.node.platform;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.event.Event;
import org.lovagethread.core.store.StoreStatus;
import org.lovagethread.node.duty.Duty;
import org.lovagethread.node.duty.Ring;
import org.lovagethread.platform.objects.ClaimStore;

/** Carries out the core's reads and writes of claims, with a bound on those in flight. */
public final class ClaimDuty implements Duty {
    private static final int MOST_IN_FLIGHT = 256;
    private static final long WAIT_MILLIS = 100;

    private final Ring<Command> commands;
    private final Consumer<Event> events;
    private final AtomicInteger inFlight = new AtomicInteger();
    private final ClaimStore store;

    /**
     * Creates the duty.
     *
     * @param store the store of claims
     * @param commands brings the reads and writes
     * @param events takes the results
     */
    public ClaimDuty(ClaimStore store, Ring<Command> commands, Consumer<Event> events) {
        this.store = store;
        this.commands = commands;
        this.events = events;
    }

    @Override
    public String name() {
        return "claims";
    }

    @Override
    public void step() {
        Command command = commands.take(WAIT_MILLIS);
        if (command instanceof Command.ReadClaim read) {
            if (admit(read.operationId())) {
                store.read(read).thenAccept(this::finish);
            }
        } else if (command instanceof Command.WriteClaim write) {
            if (admit(write.operationId())) {
                store.write(write).thenAccept(this::finish);
            }
        }
    }

    private boolean admit(long operationId) {
        if (inFlight.incrementAndGet() <= MOST_IN_FLIGHT) {
            return true;
        }
        finish(new Event.ClaimReplied(operationId, StoreStatus.REJECTED, 0, Optional.empty()));
        return false;
    }

    private void finish(Event reply) {
        inFlight.decrementAndGet();
        events.accept(reply);
    }
}
