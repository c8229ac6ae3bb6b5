package org.lovagethread.supplier.objects;

import java.util.Objects;
import java.util.Optional;
import org.lovagethread.core.store.StoreStatus;

/**
 * Holds the result of one operation on the Object API.
 *
 * @param status the result
 * @param version the version stored now; zero when unknown or absent
 * @param value the bytes stored now, when the reply carries them
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
     * @param status the result
     * @return the reply
     */
    public static ObjectReply of(StoreStatus status) {
        return new ObjectReply(status, 0, Optional.empty());
    }
}
