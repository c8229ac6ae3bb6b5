package org.lovagethread.core.store;

/** Lists the results of one operation on the Object API. */
public enum StoreStatus {
    /** The conditional write took effect. */
    WRITTEN,
    /** The object has another version than the write expected; the reply carries what is stored. */
    CONFLICT,
    /** The read found an object. */
    FOUND,
    /** The read found no object. */
    MISSING,
    /** The operation certainly had no effect. */
    REJECTED,
    /** No answer came; the operation may have taken effect, or may still take effect. */
    NO_ANSWER
}
