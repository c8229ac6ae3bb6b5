package org.lovagethread.platform.objects;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.event.Event;
import org.lovagethread.core.store.Claim;
import org.lovagethread.core.store.StoreStatus;
import org.lovagethread.platform.Json;

/** Carries out the core's commands about claims on idempotency keys. */
public final class ClaimStore {
    /** Start of the paths of all claims. */
    public static final String PREFIX = "claims/";

    private final ObjectApiClient objects;

    /**
     * Creates the store.
     *
     * @param objects the client to use
     */
    public ClaimStore(ObjectApiClient objects) {
        this.objects = objects;
    }

    /**
     * Reads a claim.
     *
     * @param command the command
     * @return the event that tells the core the result
     */
    public CompletableFuture<Event> read(Command.ReadClaim command) {
        return objects.read(PREFIX + command.key()).thenApply(reply -> event(command.operationId(), reply));
    }

    /**
     * Writes a claim.
     *
     * @param command the command
     * @return the event that tells the core the result
     */
    public CompletableFuture<Event> write(Command.WriteClaim command) {
        byte[] value;
        try {
            value = Json.mapper().writeValueAsBytes(command.claim());
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a claim cannot be written as JSON", e);
        }
        return objects.write(PREFIX + command.key(), command.expectedVersion(), value)
                .thenApply(reply -> event(command.operationId(), reply));
    }

    private static Event event(long operationId, ObjectReply reply) {
        boolean carriesClaim = reply.status() == StoreStatus.FOUND || reply.status() == StoreStatus.CONFLICT;
        Optional<Claim> claim = carriesClaim ? reply.value().flatMap(ClaimStore::parse) : Optional.empty();
        return new Event.ClaimReplied(operationId, reply.status(), reply.version(), claim);
    }

    private static Optional<Claim> parse(byte[] value) {
        try {
            return Optional.of(Json.mapper().readValue(value, Claim.class));
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
