package org.lovagethread.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import java.util.Optional;
import org.lovagethread.gateway.config.Customer;
import org.lovagethread.gateway.config.Route;
import org.lovagethread.gateway.config.ServiceSpec;

/**
 * A request that the configuration in force allows.
 *
 * @param request the head of the request
 * @param body the whole body
 * @param attributes what the request says of itself
 * @param route the route
 * @param service the service that it goes to
 * @param customer the customer, or empty for anonymous requests
 */
record AdmittedRequest(
        HttpRequest request,
        ByteBuf body,
        RequestAttributes attributes,
        Route route,
        ServiceSpec service,
        Optional<Customer> customer) {}
