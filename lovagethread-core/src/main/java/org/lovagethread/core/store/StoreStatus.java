package org.lovagethread.core.store;

/** Result of an operation on the Object API. */
public enum StoreStatus {
    /** The conditional write took effect. */
    WRITTEN,
    /** The stored version differs from the expected one; the reply contains the stored object. */
    CONFLICT,
    /** The read found an object. */
    FOUND,
    /** The read found no object. */
    MISSING,
    /** The operation definitely had no effect. */
    REJECTED,
    /** No response was received; the operation may have taken effect or may still take effect. */
    NO_ANSWER
}
