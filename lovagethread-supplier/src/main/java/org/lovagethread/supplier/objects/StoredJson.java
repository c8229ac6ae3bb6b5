package org.lovagethread.supplier.objects;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.util.Optional;
import org.lovagethread.core.store.StoreStatus;
import org.lovagethread.supplier.Json;

/** Converts between typed objects and the JSON bytes that the Object API stores. */
final class StoredJson {

    private StoredJson() {}

    /** Returns the object that a reply carries; empty if it carries none or the bytes cannot be read. */
    static <T> Optional<T> read(ObjectReply reply, Class<T> type) {
        boolean carries = reply.status() == StoreStatus.FOUND || reply.status() == StoreStatus.CONFLICT;
        return carries ? reply.value().flatMap(bytes -> parse(bytes, type)) : Optional.empty();
    }

    static byte[] write(Object value) {
        try {
            return Json.mapper().writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(value.getClass().getName() + " cannot be written as JSON", e);
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
