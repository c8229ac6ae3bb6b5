package org.lovagethread.gateway.http;

import org.lovagethread.gateway.config.Customer;
import org.lovagethread.gateway.upstream.UpstreamEntry;

/** Sends the attempts of one request to upstreams. */
final class AttemptSender {
    private final ExchangeContext context;
    private final AdmittedRequest admitted;

    AttemptSender(ExchangeContext context, AdmittedRequest admitted) {
        this.context = context;
        this.admitted = admitted;
    }

    /**
     * Sends the request to an upstream.
     *
     * @param upstream the upstream
     * @param remainingMillis the time until the deadline of the request, in milliseconds
     * @param lastEventId the last event that the caller has received; negative if there is none
     * @param listener receives the response
     * @return the handle of the request
     */
    UpstreamClient.RequestHandle send(
            UpstreamEntry upstream, long remainingMillis, long lastEventId, UpstreamClient.Listener listener) {
        var attributes = new HeaderCodec.AttemptAttributes(
                upstream, admitted.customer().map(Customer::name), remainingMillis, admitted.priority(), lastEventId);
        return context.upstreamClient()
                .send(
                        upstream,
                        admitted.request(),
                        context.headerCodec().createUpstreamHeaders(admitted.request(), attributes),
                        admitted.body(),
                        !admitted.route().isRetryable(),
                        listener);
    }
}
