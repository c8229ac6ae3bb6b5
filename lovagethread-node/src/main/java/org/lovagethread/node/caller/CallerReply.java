package org.lovagethread.node.caller;

import org.lovagethread.core.error.ErrorKind;
import org.lovagethread.core.store.StoredAnswer;

/** Marks what can be answered to a caller. */
sealed interface CallerReply {

    /**
     * A whole answer of a plain service.
     *
     * @param answer the answer
     */
    record Answer(StoredAnswer answer) implements CallerReply {}

    /**
     * A refusal.
     *
     * @param kind the kind of error
     * @param retryAtMillis the earliest time for a retry, in milliseconds since the epoch; zero if none makes sense
     */
    record Refusal(ErrorKind kind, long retryAtMillis) implements CallerReply {}

    /**
     * The start of a stream.
     *
     * @param lines publishes the lines
     */
    record Stream(LinePublisher lines) implements CallerReply {}
}
