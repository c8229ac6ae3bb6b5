package org.lovagethread.gateway.http;

import org.lovagethread.gateway.config.Customer;
import org.lovagethread.gateway.duty.UsageLedger;
import org.lovagethread.gateway.engine.EngineModels;
import org.lovagethread.gateway.policy.Admission;
import org.lovagethread.gateway.policy.Placement;
import org.lovagethread.gateway.policy.PromptQuarantine;
import org.lovagethread.gateway.policy.RetryBudget;
import org.lovagethread.gateway.policy.TokenQuota;
import org.lovagethread.gateway.rollout.RolloutTable;
import org.lovagethread.gateway.stream.StreamOrigins;
import org.lovagethread.gateway.upstream.UpstreamSpeed;
import org.lovagethread.gateway.upstream.UpstreamTable;

/** Provides the objects that all exchanges of a gateway share. Used on the gateway's event loop only. */
interface ExchangeContext {
    /** Returns the codec for HTTP headers. */
    HeaderCodec headerCodec();

    /** Returns the table of upstreams. */
    UpstreamTable upstreams();

    /** Returns the revision of the last received change of upstreams. */
    long upstreamsRevision();

    /** Returns the policy that chooses an upstream for each request. */
    Placement placement();

    /** Returns the rollouts, which restrict the upstreams that may receive a request. */
    RolloutTable rollouts();

    /** Returns the performance models of the engines. */
    EngineModels engineModels();

    /** Returns the policy that refuses requests under overload. */
    Admission admission();

    /** Returns the retry budget. */
    RetryBudget retryBudget();

    /** Returns the policy that keeps prompt parts that crash upstreams away from them. */
    PromptQuarantine promptQuarantine();

    /** Returns the token quotas of customers. */
    TokenQuota quota();

    /** Returns the counts of requests by customer. */
    UsageLedger usage();

    /** Returns what is known about the software versions at which streams began. */
    StreamOrigins streamOrigins();

    /** Returns the limit of the memory for buffered responses. */
    ResponseMemory responseMemory();

    /** Returns the requests that wait until a brittle upstream has room. */
    RoomQueue roomQueue();

    /** Returns the client for upstreams. */
    UpstreamClient upstreamClient();

    /** Returns the number of gateways that share the retry budget. */
    int gatewayCount();

    /** Returns the current time of the monotonic clock in milliseconds. */
    long nowMillis();

    /**
     * Returns the time in milliseconds during which the event loop could have read data. It is used for inactivity
     * timeouts, so that a delay of this gateway does not look like the silence of an upstream.
     */
    long observedMillis();

    /** Returns the time after which a refused request may be sent again, in milliseconds. */
    default long retryAfterMillis(
            String service, Admission.Candidate candidate, Placement.Choice choice, long nowMillis) {
        double engineMillis =
                engineModels().of(service).estimate(nowMillis).processingMillis((double) choice.unreadTokens());
        double capacity = Math.max(
                1 / UpstreamSpeed.MAX_FACTOR, UpstreamSpeed.sum(upstreams().unpaused(service, nowMillis), nowMillis));
        return admission().retryAfterMillis(candidate, choice, engineMillis * gatewayCount() / capacity, nowMillis);
    }

    /** Returns the number of tokens charged for a request. */
    default long quotaTokens(RequestAttributes attributes, Customer customer) {
        return RequestRouter.quotaTokens(attributes, customer);
    }

    /** Called when an exchange has ended, with its record. */
    void onExchangeEnded(Exchange exchange, ExchangeRecord record);
}
