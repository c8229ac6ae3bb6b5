package org.lovagethread.supplier.objects;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.event.Event;
import org.lovagethread.core.store.Lease;

/** Executes the core's commands that read and write the lease of one cell. */
public final class LeaseStore {
    /** Path prefix of all leases. */
    public static final String PREFIX = "leases/";

    private final ObjectApiClient objects;
    private final String path;

    /**
     * Creates the store.
     *
     * @param objects the client of the Object API
     * @param cell the name of the cell
     */
    public LeaseStore(ObjectApiClient objects, String cell) {
        this.objects = objects;
        this.path = PREFIX + cell;
    }

    /**
     * Reads the lease.
     *
     * @param command the command
     * @return the event that reports the result to the core
     */
    public CompletableFuture<Event> read(Command.ReadLease command) {
        return objects.read(path).thenApply(reply -> toEvent(command.operationId(), reply));
    }

    /**
     * Writes the lease.
     *
     * @param command the command
     * @return the event that reports the result to the core
     */
    public CompletableFuture<Event> write(Command.WriteLease command) {
        return objects.write(path, command.expectedVersion(), StoredJson.write(command.lease()))
                .thenApply(reply -> toEvent(command.operationId(), reply));
    }

    private static Event toEvent(long operationId, ObjectReply reply) {
        Optional<Lease> lease = StoredJson.read(reply, Lease.class);
        return new Event.LeaseReplied(operationId, reply.status(), reply.version(), lease);
    }
}
