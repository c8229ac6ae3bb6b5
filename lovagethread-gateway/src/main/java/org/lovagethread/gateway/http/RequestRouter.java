package org.lovagethread.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.DoubleSupplier;
import org.lovagethread.core.error.ErrorKind;
import org.lovagethread.gateway.config.Customer;
import org.lovagethread.gateway.config.GatewayConfiguration;
import org.lovagethread.gateway.config.Route;
import org.lovagethread.gateway.config.ServiceSpec;
import org.lovagethread.gateway.policy.TokenQuota;
import org.lovagethread.gateway.stream.BegunStream;

/** Authenticates requests, charges quotas and selects routes and services according to the active configuration. */
final class RequestRouter {
    /** Retry delay sent to callers while the gateway has no configuration, in milliseconds. */
    private static final long UNCONFIGURED_RETRY_MILLIS = 300;

    /** Maximum retry delay sent to callers whose quota is exhausted, in milliseconds. */
    private static final long MAX_QUOTA_RETRY_MILLIS = 4_000;

    private final HeaderCodec headerCodec;
    private final TokenQuota quota;
    private final DoubleSupplier random;

    RequestRouter(HeaderCodec headerCodec, TokenQuota quota, DoubleSupplier random) {
        this.headerCodec = headerCodec;
        this.quota = quota;
        this.random = random;
    }

    /**
     * Finds the route and the service of a request and charges the customer's quota.
     *
     * @param configuration the active configuration; empty until the first one has been received
     * @param request the request header
     * @param body the complete request body
     * @param unreachableShare the fraction of each quota that unreachable peers may be using
     * @param nowMillis the current time in milliseconds
     * @return the admitted request, or the reason for which it is refused
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
        if (!hasOneHost(request)) {
            return Either.left(new Refusal(ErrorKind.BAD_REQUEST, 0));
        }
        Optional<Route> route = findRoute(current, request);
        if (route.isEmpty()) {
            return Either.left(new Refusal(ErrorKind.UNKNOWN_ROUTE, 0));
        }
        RequestAttributes attributes = headerCodec.readAttributes(request);
        Optional<Customer> customer = attributes.apiKey().map(current.customersByKey()::get);
        if (!current.customers().isEmpty() && !route.get().allowsAnonymous() && customer.isEmpty()) {
            return Either.left(new Refusal(ErrorKind.UNKNOWN_KEY, 0));
        }
        Optional<Refusal> quotaRefusal =
                customer.flatMap(owner -> chargeQuota(owner, attributes, unreachableShare, nowMillis));
        if (quotaRefusal.isPresent()) {
            return Either.left(quotaRefusal.get());
        }
        String serviceName = route.get().selectService(draw(route.get(), attributes));
        ServiceSpec service = current.service(serviceName)
                .orElse(new ServiceSpec(serviceName, 0, Optional.empty(), Optional.empty()));
        OptionalLong targetMillis = current.routes()
                .latencyTargets()
                .shortest(serviceName, route.get().priority());
        return Either.right(
                new AdmittedRequest(request, body, attributes, route.get(), service, customer, targetMillis));
    }

    /** Returns the same number for all requests of one stream, so that it goes on at the service that began it. */
    private double draw(Route route, RequestAttributes attributes) {
        Optional<String> streamId = attributes.lastEventId().isPresent()
                ? attributes.resumedRequestId()
                : Optional.of(attributes.requestId()).filter(id -> !id.isEmpty());
        return route.isStreaming() && route.resumable() && streamId.isPresent()
                ? BegunStream.draw(streamId.get())
                : random.getAsDouble();
    }

    /**
     * Returns the time within which a request must be answered, without charging a quota.
     *
     * @param configuration the active configuration; empty until the first one has been received
     * @param request the request header
     * @return the route and the time; empty if the request is refused by {@link #route}
     */
    Optional<RouteTimeout> timeout(Optional<GatewayConfiguration> configuration, HttpRequest request) {
        return configuration
                .filter(current -> hasOneHost(request))
                .flatMap(current -> findRoute(current, request))
                .map(route -> new RouteTimeout(
                        route, AdmittedRequest.timeoutMillis(headerCodec.readAttributes(request), route)));
    }

    /**
     * The time within which a request must be answered.
     *
     * @param route the route of the request
     * @param millis the time in milliseconds
     */
    record RouteTimeout(Route route, long millis) {}

    private static boolean hasOneHost(HttpRequest request) {
        return request.headers().getAll(HttpHeaderNames.HOST).size() == 1;
    }

    private static Optional<Route> findRoute(GatewayConfiguration configuration, HttpRequest request) {
        return configuration.routes().find(request.headers().get(HttpHeaderNames.HOST), pathOf(request.uri()));
    }

    /**
     * Returns the number of tokens charged for a request.
     *
     * @param attributes the attributes of the request
     * @param customer the customer
     * @return the number of tokens
     */
    static long quotaTokens(RequestAttributes attributes, Customer customer) {
        return attributes.promptTokens().isPresent()
                ? attributes.promptTokens().getAsInt() + (long) attributes.maxOutputTokens()
                : customer.defaultRequestTokens();
    }

    private Optional<Refusal> chargeQuota(
            Customer customer, RequestAttributes attributes, double unreachableShare, long nowMillis) {
        long tokens = quotaTokens(attributes, customer);
        if (quota.tryAcquire(customer, tokens, unreachableShare, nowMillis)) {
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
