package org.lovagethread.core.call;

import java.util.Optional;
import org.lovagethread.core.config.Configuration;
import org.lovagethread.core.config.Customer;
import org.lovagethread.core.config.Service;
import org.lovagethread.core.config.ServiceKind;
import org.lovagethread.core.error.ErrorKind;
import org.lovagethread.core.limit.CustomerLimits;

/** Performs admission control for new calls. */
final class Admission {
    private final CustomerLimits limits;

    Admission(CustomerLimits limits) {
        this.limits = limits;
    }

    /**
     * The refusal of a call by admission control.
     *
     * @param kind the error kind
     * @param retryAtMillis the earliest time for a retry, in milliseconds since the epoch; zero if not retryable
     */
    record Refusal(ErrorKind kind, long retryAtMillis) {}

    /** Validates a call and acquires a rate-limit permit; returns the refusal, or empty if the call is accepted. */
    Optional<Refusal> check(Optional<Configuration> configuration, CallRequest request, long nowMillis) {
        if (configuration.isEmpty()) {
            return refuse(ErrorKind.NOT_READY, nowMillis + 1_000);
        }
        Optional<Service> service = configuration.get().service(request.service());
        if (service.isEmpty()) {
            return refuse(ErrorKind.UNKNOWN_SERVICE, 0);
        }
        Optional<Customer> customer = configuration.get().customer(request.customer());
        if (customer.isEmpty()) {
            return refuse(ErrorKind.UNKNOWN_CUSTOMER, 0);
        }
        ServiceKind requiredKind = request.kind() == CallKind.GENERATE ? ServiceKind.MODEL : ServiceKind.PLAIN;
        if (service.get().kind() != requiredKind) {
            return refuse(ErrorKind.BAD_REQUEST, 0);
        }
        if (request.kind() == CallKind.SUBMIT && request.idempotencyKey().isEmpty()) {
            return refuse(ErrorKind.KEY_REQUIRED, 0);
        }
        if (nowMillis >= request.deadlineMillis()) {
            return refuse(ErrorKind.DEADLINE_BEFORE_SEND, nowMillis);
        }
        if (!limits.tryAcquire(customer.get(), nowMillis)) {
            return refuse(ErrorKind.RATE_LIMITED, limits.nextPermitMillis(customer.get(), nowMillis));
        }
        return Optional.empty();
    }

    private static Optional<Refusal> refuse(ErrorKind kind, long retryAtMillis) {
        return Optional.of(new Refusal(kind, retryAtMillis));
    }
}
