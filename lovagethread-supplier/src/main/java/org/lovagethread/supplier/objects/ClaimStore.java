package org.lovagethread.supplier.objects;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.event.Event;
import org.lovagethread.core.store.Claim;

/** Executes the core's commands that read and write claims on idempotency keys. */
public final class ClaimStore {
    /** Path prefix of all claims. */
    public static final String PREFIX = "claims/";

    private final ObjectApiClient objects;

    /**
     * Creates the store.
     *
     * @param objects the client of the Object API
     */
    public ClaimStore(ObjectApiClient objects) {
        this.objects = objects;
    }

    /**
     * Reads a claim.
     *
     * @param command the command
     * @return the event that reports the result to the core
     */
    public CompletableFuture<Event> read(Command.ReadClaim command) {
        return objects.read(PREFIX + command.key()).thenApply(reply -> toEvent(command.operationId(), reply));
    }

    /**
     * Writes a claim.
     *
     * @param command the command
     * @return the event that reports the result to the core
     */
    public CompletableFuture<Event> write(Command.WriteClaim command) {
        return objects.write(PREFIX + command.key(), command.expectedVersion(), StoredJson.write(command.claim()))
                .thenApply(reply -> toEvent(command.operationId(), reply));
    }

    private static Event toEvent(long operationId, ObjectReply reply) {
        Optional<Claim> claim = StoredJson.read(reply, Claim.class);
        return new Event.ClaimReplied(operationId, reply.status(), reply.version(), claim);
    }
}
