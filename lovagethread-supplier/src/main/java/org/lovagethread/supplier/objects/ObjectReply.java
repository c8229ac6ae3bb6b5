package org.lovagethread.supplier.objects;

import java.util.Objects;
import java.util.Optional;
import org.lovagethread.core.store.StoreStatus;

/**
 * Reply to an operation on the Object API.
 *
 * @param status the result of the operation
 * @param version the stored version; zero if unknown or if there is no object
 * @param value the stored bytes, if the reply contains them
 */
public record ObjectReply(StoreStatus status, long version, Optional<byte[]> value) {

    /** Validates the fields. */
    public ObjectReply {
        Objects.requireNonNull(status, "status");
        Objects.requireNonNull(value, "value");
    }

    /**
     * Returns a reply without a version or a value.
     *
     * @param status the result of the operation
     * @return the reply
     */
    public static ObjectReply of(StoreStatus status) {
        return new ObjectReply(status, 0, Optional.empty());
    }
}
