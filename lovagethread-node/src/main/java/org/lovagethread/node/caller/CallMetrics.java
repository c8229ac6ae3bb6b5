package org.lovagethread.node.caller;

import java.util.Optional;
import org.lovagethread.core.call.CallRequest;
import org.lovagethread.core.error.ErrorKind;

/** Records measurements of calls. It is called on event loops. */
@FunctionalInterface
public interface CallMetrics {
    /**
     * Records the start of a response, or a refusal.
     *
     * @param request the call
     * @param refusal the kind of error if the call was refused, or empty
     * @param elapsedNanos the time since the arrival of the call, in nanoseconds
     */
    void recordResponse(CallRequest request, Optional<ErrorKind> refusal, long elapsedNanos);
}
