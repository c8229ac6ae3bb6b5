package org.lovagethread.gateway.http;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.lovagethread.gateway.config.Route;
import org.lovagethread.gateway.config.ServiceSpec;
import org.lovagethread.gateway.policy.Admission;
import org.lovagethread.gateway.policy.Placement;
import org.lovagethread.gateway.rollout.RolloutTable;
import org.lovagethread.gateway.upstream.Upstream;
import org.lovagethread.gateway.upstream.UpstreamPauses;

/** Selects the upstream for the next attempt of a request, or decides that the request is refused. */
final class UpstreamSelector {
    private final ExchangeContext context;
    private final AdmittedRequest admitted;
    private final Placement.Demand demand;
    private final CustomerShare customerShare;

    /** Result of a selection. */
    sealed interface Selection {}

    /** The request is sent to an upstream. */
    record Send(Placement.Choice choice) implements Selection {}

    /** The request is refused, although there is an upstream. */
    record Refuse(Placement.Choice choice, long retryAfterMillis) implements Selection {}

    /** There is no upstream that may receive the request. */
    record Unavailable() implements Selection {}

    UpstreamSelector(ExchangeContext context, AdmittedRequest admitted, Placement.Demand demand) {
        this.context = context;
        this.admitted = admitted;
        this.demand = demand;
        this.customerShare = new CustomerShare(context, admitted, demand);
    }

    /**
     * Selects an upstream.
     *
     * @param triedUpstreams the identifiers of the upstreams to which the request was sent before
     * @param remainingMillis the time until the deadline of the request, in milliseconds
     * @param nowMillis the current time in milliseconds
     * @return the selection
     */
    Selection select(Set<String> triedUpstreams, long remainingMillis, long nowMillis) {
        String service = admitted.service().name();
        RolloutTable.Candidates candidates = context.rollouts()
                .candidates(
                        service,
                        context.upstreams().available(service),
                        new RolloutTable.RequestKind(
                                triedUpstreams.isEmpty(), admitted.route().isRetryable()),
                        nowMillis);
        Selection selection = select(candidates.preferred(), triedUpstreams, remainingMillis, nowMillis);
        if (selection instanceof Send || candidates.fallback().isEmpty()) {
            return selection;
        }
        Selection other = select(candidates.fallback(), triedUpstreams, remainingMillis, nowMillis);
        return other instanceof Unavailable ? selection : other;
    }

    private Selection select(
            List<Upstream> candidates, Set<String> triedUpstreams, long remainingMillis, long nowMillis) {
        Route route = admitted.route();
        ServiceSpec service = admitted.service();
        boolean isFirstAttempt = triedUpstreams.isEmpty();
        Optional<Placement.Choice> choice = context.placement()
                .choose(
                        service,
                        pauses().candidates(candidates, triedUpstreams, nowMillis),
                        triedUpstreams,
                        demand,
                        route.isRetryable() && isFirstAttempt,
                        nowMillis);
        if (choice.isEmpty()) {
            return new Unavailable();
        }
        Admission.Candidate candidate = new Admission.Candidate(route, admitted.targetMillis(), remainingMillis);
        if (isFirstAttempt && !admits(candidate, choice.get(), nowMillis)) {
            return new Refuse(
                    choice.get(), context.retryAfterMillis(service.name(), candidate, choice.get(), nowMillis));
        }
        return new Send(choice.get());
    }

    private boolean admits(Admission.Candidate candidate, Placement.Choice choice, long nowMillis) {
        customerShare.recordDemand(choice, nowMillis);
        return context.admission().admits(candidate, choice) && customerShare.admits(nowMillis);
    }

    /**
     * Returns the time after which a request should be sent again that no upstream has executed: when the first pause
     * ends if all upstreams of the service are paused.
     *
     * @param remainingMillis the time until the deadline of the request, in milliseconds
     * @param nowMillis the current time in milliseconds
     * @return the time in milliseconds
     */
    long retryAfterMillis(long remainingMillis, long nowMillis) {
        return pauses().retryAfterMillis(
                        context.upstreams().available(admitted.service().name()), nowMillis)
                .orElseGet(() -> context.admission().defaultRetryAfterMillis(remainingMillis));
    }

    private UpstreamPauses pauses() {
        return context.upstreams().pauses();
    }
}
