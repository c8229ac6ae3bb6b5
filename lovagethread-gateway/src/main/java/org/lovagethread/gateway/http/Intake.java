package org.lovagethread.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import org.lovagethread.core.error.ErrorKind;
import org.lovagethread.gateway.config.Customer;
import org.lovagethread.gateway.config.GatewayConfiguration;
import org.lovagethread.gateway.config.Route;
import org.lovagethread.gateway.config.ServiceSpec;
import org.lovagethread.gateway.policy.TokenQuota;

/** Decides from the configuration in force whether a request is allowed and where it goes. */
final class Intake {
    /** Pause asked for while no configuration is known, in milliseconds. */
    private static final long UNCONFIGURED_RETRY_MILLIS = 300;

    /** The longest pause that a caller over its quota is asked for, in milliseconds. */
    private static final long MOST_QUOTA_RETRY_MILLIS = 4_000;

    private final CallerProtocol protocol;
    private final TokenQuota quota;
    private final DoubleSupplier draw;

    Intake(CallerProtocol protocol, TokenQuota quota, DoubleSupplier draw) {
        this.protocol = protocol;
        this.quota = quota;
        this.draw = draw;
    }

    /**
     * Decides about a request and charges the customer's quota.
     *
     * @param configuration the configuration in force; empty before the first is known
     * @param request the head of the request
     * @param body the whole body
     * @param silentShare the part of each quota that peers which are not heard may be using
     * @param nowMillis the present time in milliseconds
     * @return the request with its route, or why it is refused
     */
    Either<Refusal, AdmittedRequest> decide(
            Optional<GatewayConfiguration> configuration,
            HttpRequest request,
            ByteBuf body,
            double silentShare,
            long nowMillis) {
        if (configuration.isEmpty()) {
            return Either.left(new Refusal(ErrorKind.NOT_READY, UNCONFIGURED_RETRY_MILLIS));
        }
        GatewayConfiguration inForce = configuration.get();
        String host = request.headers().get(HttpHeaderNames.HOST);
        if (host == null || request.headers().getAll(HttpHeaderNames.HOST).size() > 1) {
            return Either.left(new Refusal(ErrorKind.BAD_REQUEST, 0));
        }
        Optional<Route> route = inForce.routes().find(host, path(request.uri()));
        if (route.isEmpty()) {
            return Either.left(new Refusal(ErrorKind.UNKNOWN_ROUTE, 0));
        }
        CallAttributes call = protocol.attributes(request);
        Optional<Customer> customer = call.key().map(inForce.customersByKey()::get);
        if (!inForce.customers().isEmpty() && !route.get().allowsAnonymous() && customer.isEmpty()) {
            return Either.left(new Refusal(ErrorKind.UNKNOWN_KEY, 0));
        }
        Optional<Refusal> beyond = customer.flatMap(owner -> charge(owner, call, silentShare, nowMillis));
        if (beyond.isPresent()) {
            return Either.left(beyond.get());
        }
        String name = route.get().selectService(draw.getAsDouble());
        ServiceSpec service =
                inForce.service(name).orElse(new ServiceSpec(name, 0, Optional.empty(), Optional.empty()));
        return Either.right(new AdmittedRequest(request, body, call, route.get(), service, customer));
    }

    /**
     * Returns the tokens that a request counts against its customer's quota.
     *
     * @param call what the request says of itself
     * @param customer the customer
     * @return the tokens
     */
    static long tokens(CallAttributes call, Customer customer) {
        return call.promptTokens().isPresent()
                ? call.promptTokens().getAsInt() + (long) call.outputTokens()
                : customer.defaultRequestTokens();
    }

    private Optional<Refusal> charge(Customer customer, CallAttributes call, double silentShare, long nowMillis) {
        long tokens = tokens(call, customer);
        if (quota.tryAcquire(customer, tokens, silentShare, nowMillis)) {
            return Optional.empty();
        }
        long wait = Math.max(1, Math.min(MOST_QUOTA_RETRY_MILLIS, quota.waitMillis(customer, tokens)));
        return Optional.of(new Refusal(ErrorKind.RATE_LIMITED, wait));
    }

    private static String path(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }
}
