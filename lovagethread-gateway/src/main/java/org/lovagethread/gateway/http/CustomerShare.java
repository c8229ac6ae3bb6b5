package org.lovagethread.gateway.http;

import org.lovagethread.gateway.policy.Placement;
import org.lovagethread.gateway.policy.WorkLedger;

/** Accounts one request in the fair division of its service's capacity between customers. */
final class CustomerShare {
    private final ExchangeContext context;
    private final AdmittedRequest admitted;
    private final Placement.Demand demand;

    CustomerShare(ExchangeContext context, AdmittedRequest admitted, Placement.Demand demand) {
        this.context = context;
        this.admitted = admitted;
        this.demand = demand;
    }

    /** Records the demand of a request that has not been sent yet. */
    void recordDemand(Placement.Choice choice, long nowMillis) {
        if (isShared()) {
            context.fairAdmission().ledger(admitted.service().name()).recordDemand(key(), work(choice), nowMillis);
        }
    }

    /** Returns whether the request is within the fair share of its customer. */
    boolean admits(long nowMillis) {
        return !isShared() || context.fairAdmission().admits(admitted.service().name(), key(), nowMillis);
    }

    /** Records that the request has produced its first event. */
    void recordFirstEvent(Placement.Choice choice, long elapsedMillis, long nowMillis) {
        if (isShared()) {
            double waitShare = (elapsedMillis - choice.processingMillis())
                    / admitted.route().targetLatencyMillis();
            context.fairAdmission()
                    .recordFirstEvent(admitted.service().name(), key(), work(choice), waitShare, nowMillis);
        }
    }

    /** Returns whether fairness applies: to streams of customers from engines. The work of others is not known. */
    private boolean isShared() {
        return admitted.service().engine().isPresent()
                && admitted.customer().isPresent()
                && admitted.route().isStreaming()
                && admitted.route().targetLatencyMillis() > 0;
    }

    private WorkLedger.Key key() {
        return WorkLedger.Key.of(
                admitted.customer().orElseThrow().name(),
                admitted.customer().orElseThrow().priority(),
                admitted.route().priority());
    }

    private long work(Placement.Choice choice) {
        return choice.unreadTokens() + demand.maxOutputTokens();
    }
}
