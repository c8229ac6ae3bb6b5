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
interface RequestContext {
    /** Returns the translation of headers. */
    CallerProtocol protocol();

    /** Returns the upstreams. */
    UpstreamTable upstreams();

    /** Returns the revision of the last change of upstreams that was seen. */
    long upstreamsRevision();

    /** Returns the choice of upstreams. */
    Placement placement();

    /** Returns the decision about refusals. */
    Admission admission();

    /** Returns the budget for second sends. */
    RetryBudget retries();

    /** Returns the quotas of customers. */
    TokenQuota quota();

    /** Returns the counts of requests that began to run. */
    UsageLedger usage();

    /** Returns the client for upstreams. */
    UpstreamClient client();

    /** Returns the number of gateways that share the retry budget. */
    int gateways();

    /** Returns the present time in milliseconds. */
    long nowMillis();

    /** Tells whether a service has an upstream that was not tried yet. */
    default boolean anotherUpstream(String service, Set<String> tried) {
        return upstreams().available(service).stream()
                .anyMatch(upstream -> !tried.contains(upstream.entry().id()));
    }

    /** Returns the tokens that a request counts against its customer's quota. */
    default long tokens(CallAttributes call, Customer customer) {
        return Intake.tokens(call, customer);
    }

    /** Takes the record of an exchange that has ended. */
    void ended(Exchange exchange, ExchangeRecord record);
}
