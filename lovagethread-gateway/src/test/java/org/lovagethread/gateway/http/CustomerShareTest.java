package org.lovagethread.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.config.Customer;
import org.lovagethread.gateway.config.Route;
import org.lovagethread.gateway.config.RouteKind;
import org.lovagethread.gateway.config.ServiceSpec;
import org.lovagethread.gateway.config.ServiceSpec.EngineSpec;
import org.lovagethread.gateway.policy.Placement;
import org.lovagethread.gateway.policy.PromptPrefix;
import org.lovagethread.gateway.policy.WorkLedger;
import org.lovagethread.gateway.upstream.Upstream;
import org.lovagethread.gateway.upstream.UpstreamEntry;

class CustomerShareTest {
    private static final Placement.Demand DEMAND = new Placement.Demand(PromptPrefix.NONE, 4_000, 500);
    private static final Placement.Choice CHOICE = new Placement.Choice(
            new Upstream(new UpstreamEntry("i-1", "pool", "10.0.0.1", 80, "a", 16, false, false, 1)),
            1_500,
            1_500,
            100,
            100,
            false);

    private final FakeExchangeContext context = new FakeExchangeContext(1);

    private CustomerShare share(Optional<Customer> customer, RouteKind kind, boolean hasEngines) {
        Route route = Route.builder("r")
                .match("h", "/")
                .kind(kind, true, 2)
                .times(2_500, 1_000, 250)
                .access(2, true)
                .services(List.of(new Route.WeightedService("pool", 1)))
                .build();
        Optional<EngineSpec> engine = hasEngines ? Optional.of(new EngineSpec(16, 100_000)) : Optional.empty();
        HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/x");
        AdmittedRequest admitted = new AdmittedRequest(
                request,
                Unpooled.EMPTY_BUFFER,
                context.readAttributes(request),
                route,
                new ServiceSpec("pool", 96, engine, Optional.empty()),
                customer,
                OptionalLong.empty());
        return new CustomerShare(context, admitted, DEMAND);
    }

    private static Optional<Customer> customer() {
        return Optional.of(new Customer("a", 1, 0, 0, 0));
    }

    @Test
    void workIsUnreadPromptAndOutput() {
        CustomerShare share = share(customer(), RouteKind.EVENT_STREAM, true);
        share.recordDemand(CHOICE, 0);
        share.recordFirstEvent(CHOICE, 150, 0);
        assertThat(context.fairAdmission().ledger("pool").localTotals(0))
                .containsExactly(new WorkLedger.Totals(WorkLedger.Key.of("a", 1, 2), 2_000, 2_000));
    }

    /** Guards against an effect on services without engines, anonymous requests and requests without a first event. */
    @Test
    void otherRequestsAreNotCounted() {
        for (CustomerShare share : List.of(
                share(Optional.empty(), RouteKind.EVENT_STREAM, true),
                share(customer(), RouteKind.EVENT_STREAM, false),
                share(customer(), RouteKind.AT_MOST_ONCE, true))) {
            share.recordDemand(CHOICE, 0);
            share.recordFirstEvent(CHOICE, 60_000, 0);
            assertThat(share.admits(0)).isTrue();
        }
        assertThat(context.fairAdmission().ledgers()).isEmpty();
    }
}
