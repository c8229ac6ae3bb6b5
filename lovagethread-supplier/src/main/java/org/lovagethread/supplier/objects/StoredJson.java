package org.lovagethread.supplier.objects;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.util.Optional;
import org.lovagethread.core.store.StoreStatus;
import org.lovagethread.supplier.Json;

/** Conversion between typed objects and their JSON representation in the Object API. */
final class StoredJson {

    private StoredJson() {}

    /** Returns the object contained in a reply; empty if there is none or it cannot be parsed. */
    static <T> Optional<T> read(ObjectReply reply, Class<T> type) {
        boolean hasValue = reply.status() == StoreStatus.FOUND || reply.status() == StoreStatus.CONFLICT;
        return hasValue ? reply.value().flatMap(bytes -> parse(bytes, type)) : Optional.empty();
    }

    static byte[] write(Object value) {
        try {
            return Json.mapper().writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(value.getClass().getName() + " cannot be serialized to JSON", e);
        }
    }

    private static <T> Optional<T> parse(byte[] bytes, Class<T> type) {
        try {
            return Optional.of(Json.mapper().readValue(bytes, type));
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
