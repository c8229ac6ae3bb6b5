package org.lovagethread.node.caller;

import org.lovagethread.core.error.ErrorKind;
import org.lovagethread.core.store.StoredAnswer;

/** A reply to a caller. */
sealed interface CallerReply {

    /**
     * The complete response of a plain service.
     *
     * @param answer the response
     */
    record Answer(StoredAnswer answer) implements CallerReply {}

    /**
     * A refusal of the call.
     *
     * @param kind the kind of error
     * @param retryAtMillis the earliest time for a retry, in milliseconds since the epoch; zero if a retry is pointless
     */
    record Refusal(ErrorKind kind, long retryAtMillis) implements CallerReply {}

    /**
     * The start of a stream of lines.
     *
     * @param lines the publisher of the lines
     */
    record Stream(LinePublisher lines) implements CallerReply {}
}
