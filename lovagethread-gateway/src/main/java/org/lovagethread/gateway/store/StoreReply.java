package org.lovagethread.gateway.store;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * The reply to a call to the store.
 *
 * @param <T> the type of the value
 * @param status the outcome of the call
 * @param value the result; with status CONFLICT, the current object; empty if the reply carries none
 * @param era the era of the store that the reply names; empty if it names none
 */
public record StoreReply<T>(Status status, Optional<T> value, OptionalLong era) {

    /**
     * Creates a reply that names no era.
     *
     * @param status the outcome of the call
     * @param value the result
     */
    public StoreReply(Status status, Optional<T> value) {
        this(status, value, OptionalLong.empty());
    }

    /** The outcome of a call. */
    public enum Status {
        /** The call was executed. */
        OK,
        /** The object has another revision than expected, or already exists. */
        CONFLICT,
        /** The object does not exist. */
        MISSING,
        /** The store no longer has the requested changes. */
        HISTORY_GONE,
        /** The call was rejected and not executed. */
        REJECTED,
        /** A reply was received but cannot be decoded. A write may have been executed. */
        UNREADABLE,
        /** No reply was received. A write may have been executed or may still be executed. */
        NO_ANSWER
    }

    /**
     * Returns a reply without a value.
     *
     * @param <T> the type of the value
     * @param status the outcome of the call
     * @return the reply
     */
    public static <T> StoreReply<T> of(Status status) {
        return new StoreReply<>(status, Optional.empty());
    }

    /**
     * Returns a reply with a value.
     *
     * @param <T> the type of the value
     * @param status the outcome of the call
     * @param value the value
     * @return the reply
     */
    public static <T> StoreReply<T> of(Status status, T value) {
        return new StoreReply<>(status, Optional.of(value));
    }

    /**
     * Returns a copy of this reply that names an era.
     *
     * @param namedEra the era, or empty if the reply names none
     * @return the copy
     */
    public StoreReply<T> withEra(OptionalLong namedEra) {
        return new StoreReply<>(status, value, namedEra);
    }

    /**
     * Returns whether the store processed the call, with any result.
     *
     * @return false if the call was rejected or no readable reply was received
     */
    public boolean isProcessed() {
        return switch (status) {
            case OK, CONFLICT, MISSING, HISTORY_GONE -> true;
            case REJECTED, UNREADABLE, NO_ANSWER -> false;
        };
    }
}
