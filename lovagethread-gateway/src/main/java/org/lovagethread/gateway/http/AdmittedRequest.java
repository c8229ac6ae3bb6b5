package org.lovagethread.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import java.util.Optional;
import java.util.OptionalLong;
import org.lovagethread.gateway.config.Customer;
import org.lovagethread.gateway.config.Route;
import org.lovagethread.gateway.config.ServiceSpec;
import org.lovagethread.gateway.policy.Placement;
import org.lovagethread.gateway.stream.StreamRequest;

/**
 * A request that was admitted under the active configuration.
 *
 * @param request the request header
 * @param body the complete request body
 * @param attributes the attributes read from the request header
 * @param route the route
 * @param service the service that receives the request
 * @param customer the customer; empty for anonymous requests
 * @param targetMillis the shortest target latency of the streams to the service that are at least as urgent, in
 *     milliseconds; empty if there is none
 */
record AdmittedRequest(
        HttpRequest request,
        ByteBuf body,
        RequestAttributes attributes,
        Route route,
        ServiceSpec service,
        Optional<Customer> customer,
        OptionalLong targetMillis) {
    /** Weight of the customer's priority relative to the route's. */
    private static final int CUSTOMER_PRIORITY_STEP = 3;

    private static final int MAX_PRIORITY = 9;

    /** Returns the time within which the request must be answered, in milliseconds. */
    long timeoutMillis() {
        return timeoutMillis(attributes, route);
    }

    /** Returns the time within which a request on a route must be answered, in milliseconds. */
    static long timeoutMillis(RequestAttributes attributes, Route route) {
        return Math.min(attributes.callerTimeoutMillis().orElse(route.timeoutMillis()), route.timeoutMillis());
    }

    /** Returns the same request with less time, in milliseconds. */
    AdmittedRequest withTimeout(long maxMillis) {
        RequestAttributes limited = attributes.withCallerTimeout(Math.min(maxMillis, timeoutMillis()));
        return new AdmittedRequest(request, body, limited, route, service, customer, targetMillis);
    }

    /** Returns what the request needs from an engine. */
    Placement.Demand demand() {
        return service.engine().isPresent()
                ? new Placement.Demand(
                        attributes.prefix(), attributes.promptTokens().orElse(0), attributes.maxOutputTokens())
                : Placement.Demand.PLAIN;
    }

    /** Returns whether the request takes up a stream that was interrupted before. */
    boolean isResumption() {
        return route.isStreaming()
                && route.resumable()
                && attributes.lastEventId().isPresent();
    }

    /** Returns the identifier under which the stream can be taken up again; empty if the caller does not state it. */
    Optional<String> streamId() {
        return isResumption()
                ? attributes.resumedRequestId()
                : Optional.of(attributes.requestId()).filter(id -> !id.isEmpty());
    }

    /** Returns what matters for the stream that the request begins or takes up again. */
    StreamRequest streamRequest() {
        return new StreamRequest(
                service.name(),
                streamId(),
                route.isStreaming() && route.resumable(),
                isResumption(),
                route.services().size() > 1,
                route.timeoutMillis());
    }

    /** Returns the priority that is sent to upstreams, where zero is the highest. */
    int priority() {
        int customerPriority = customer.map(Customer::priority)
                .filter(priority -> priority > 0)
                .orElse(0);
        return Math.min(MAX_PRIORITY, customerPriority * CUSTOMER_PRIORITY_STEP + route.priority());
    }
}
