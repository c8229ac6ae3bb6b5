package org.lovagethread.node.caller;

import java.util.Optional;
import org.lovagethread.core.call.CallRequest;
import org.lovagethread.core.error.ErrorKind;

/** Takes measurements of calls; called on event loops. */
@FunctionalInterface
public interface CallMetrics {
    /**
     * Notes the first part of an answer, or a refusal.
     *
     * @param request the call
     * @param refusal the kind of error, or empty for an answer
     * @param nanos the time since the call arrived, in nanoseconds
     */
    void answered(CallRequest request, Optional<ErrorKind> refusal, long nanos);
}
