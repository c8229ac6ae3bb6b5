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
final class RequestRouter {
    /** Pause asked for while no configuration is known, in milliseconds. */
    private static final long UNCONFIGURED_RETRY_MILLIS = 300;

    /** The longest pause that a caller over its quota is asked for, in milliseconds. */
    private static final long MAX_QUOTA_RETRY_MILLIS = 4_000;

    private final HeaderCodec protocol;
    private final TokenQuota quota;
    private final DoubleSupplier random;

    RequestRouter(HeaderCodec protocol, TokenQuota quota, DoubleSupplier random) {
        this.protocol = protocol;
        this.quota = quota;
        this.random = random;
    }

    /**
     * Decides about a request and charges the customer's quota.
     *
     * @param configuration the configuration in force; empty before the first is known
     * @param request the head of the request
     * @param body the whole body
     * @param unreachableShare the part of each quota that peers which are not heard may be using
     * @param nowMillis the present time in milliseconds
     * @return the request with its route, or why it is refused
     */
    Either<Refusal, AdmittedRequest> route(
            Optional<GatewayConfiguration> configuration,
            HttpRequest request,
            ByteBuf body,
            double unreachableShare,
            long nowMillis) {
        if (configuration.isEmpty()) {
            return Either.left(new Refusal(ErrorKind.NOT_READY, UNCONFIGURED_RETRY_MILLIS));
        }
        GatewayConfiguration current = configuration.get();
        String host = request.headers().get(HttpHeaderNames.HOST);
        if (host == null || request.headers().getAll(HttpHeaderNames.HOST).size() > 1) {
            return Either.left(new Refusal(ErrorKind.BAD_REQUEST, 0));
        }
        Optional<Route> route = current.routes().find(host, pathOf(request.uri()));
        if (route.isEmpty()) {
            return Either.left(new Refusal(ErrorKind.UNKNOWN_ROUTE, 0));
        }
        RequestAttributes attributes = protocol.readAttributes(request);
        Optional<Customer> customer = attributes.apiKey().map(current.customersByKey()::get);
        if (!current.customers().isEmpty() && !route.get().anonymous() && customer.isEmpty()) {
            return Either.left(new Refusal(ErrorKind.UNKNOWN_KEY, 0));
        }
        Optional<Refusal> quotaRefusal =
                customer.flatMap(owner -> chargeQuota(owner, attributes, unreachableShare, nowMillis));
        if (quotaRefusal.isPresent()) {
            return Either.left(quotaRefusal.get());
        }
        String serviceName = route.get().service(random.getAsDouble());
        ServiceSpec service = current.service(serviceName)
                .orElse(new ServiceSpec(serviceName, 0, Optional.empty(), Optional.empty()));
        return Either.right(new AdmittedRequest(request, body, attributes, route.get(), service, customer));
    }

    /**
     * Returns the tokens that a request counts against its customer's quota.
     *
     * @param attributes what the request says of itself
     * @param customer the customer
     * @return the tokens
     */
    static long quotaTokens(RequestAttributes attributes, Customer customer) {
        return attributes.promptTokens().isPresent()
                ? attributes.promptTokens().getAsInt() + (long) attributes.maxOutputTokens()
                : customer.plainTokens();
    }

    private Optional<Refusal> chargeQuota(
            Customer customer, RequestAttributes attributes, double unreachableShare, long nowMillis) {
        long tokens = quotaTokens(attributes, customer);
        if (quota.tryTake(customer, tokens, unreachableShare, nowMillis)) {
            return Optional.empty();
        }
        long retryAfterMillis = Math.max(1, Math.min(MAX_QUOTA_RETRY_MILLIS, quota.waitMillis(customer, tokens)));
        return Optional.of(new Refusal(ErrorKind.RATE_LIMITED, retryAfterMillis));
    }

    private static String pathOf(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }
}
