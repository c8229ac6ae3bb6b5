package org.lovagethread.gateway.http;

import java.util.Set;
import org.lovagethread.gateway.config.Customer;
import org.lovagethread.gateway.duty.UsageLedger;
import org.lovagethread.gateway.policy.Admission;
import org.lovagethread.gateway.policy.Placement;
import org.lovagethread.gateway.policy.RetryBudget;
import org.lovagethread.gateway.policy.TokenQuota;
import org.lovagethread.gateway.upstream.UpstreamTable;

/** What all exchanges of a gateway share. Used by one thread. */
interface ExchangeContext {
    /** Returns the translation of headers. */
    HeaderCodec headerCodec();

    /** Returns the upstreams. */
    UpstreamTable upstreams();

    /** Returns the revision of the last change of upstreams that was seen. */
    long upstreamsRevision();

    /** Returns the choice of upstreams. */
    Placement placement();

    /** Returns the decision about refusals. */
    Admission admission();

    /** Returns the budget for second sends. */
    RetryBudget retryBudget();

    /** Returns the quotas of customers. */
    TokenQuota quota();

    /** Returns the counts of requests that began to run. */
    UsageLedger usage();

    /** Returns the client for upstreams. */
    UpstreamClient upstreamClient();

    /** Returns the number of gateways that share the retry budget. */
    int gatewayCount();

    /** Returns the present time in milliseconds. */
    long nowMillis();

    /** Tells whether a service has an upstream that was not tried yet. */
    default boolean hasUntriedUpstream(String service, Set<String> triedUpstreams) {
        return upstreams().available(service).stream()
                .anyMatch(upstream -> !triedUpstreams.contains(upstream.entry().id()));
    }

    /** Returns the tokens that a request counts against its customer's quota. */
    default long quotaTokens(RequestAttributes attributes, Customer customer) {
        return RequestRouter.quotaTokens(attributes, customer);
    }

    /** Takes the record of an exchange that has ended. */
    void onExchangeEnded(Exchange exchange, ExchangeRecord record);
}
