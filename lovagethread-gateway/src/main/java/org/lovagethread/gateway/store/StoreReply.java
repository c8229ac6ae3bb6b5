package org.lovagethread.gateway.store;

import java.util.Optional;

/**
 * The answer to a call of the store.
 *
 * @param <T> the type of the value
 * @param status what became of the call
 * @param value the value; present if the status is OK, or CONFLICT with the object as it is
 */
public record StoreReply<T>(Status status, Optional<T> value) {

    /** What becomes of a call. */
    public enum Status {
        /** The call was carried out. */
        OK,
        /** The object has another revision, or exists already. */
        CONFLICT,
        /** There is no such object. */
        MISSING,
        /** The changes asked for are no longer kept. */
        HISTORY_GONE,
        /** The store did nothing. */
        REJECTED,
        /** Nothing is known; a write may have been carried out or may be later. */
        NO_ANSWER
    }

    /**
     * Returns a reply without a value.
     *
     * @param <T> the type of the value
     * @param status what became of the call
     * @return the reply
     */
    public static <T> StoreReply<T> of(Status status) {
        return new StoreReply<>(status, Optional.empty());
    }

    /**
     * Returns a reply with a value.
     *
     * @param <T> the type of the value
     * @param status what became of the call
     * @param value the value
     * @return the reply
     */
    public static <T> StoreReply<T> of(Status status, T value) {
        return new StoreReply<>(status, Optional.of(value));
    }

    /**
     * Tells whether the store answered the call, whatever the answer.
     *
     * @return false if the call was rejected or not answered
     */
    public boolean answered() {
        return status != Status.REJECTED && status != Status.NO_ANSWER;
    }
}
