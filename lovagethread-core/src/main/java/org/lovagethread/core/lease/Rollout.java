package org.lovagethread.core.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.command.Outbox;
import org.lovagethread.core.config.Configuration;
import org.lovagethread.core.config.Service;
import org.lovagethread.core.config.ServiceKind;
import org.lovagethread.core.event.Event;
import org.lovagethread.core.store.Lease;
import org.lovagethread.core.upstream.UpstreamInfo;
import org.lovagethread.core.upstream.UpstreamTable;

/**
 * Orders engines to load the model and version that the configuration declares, one engine of a service at a time.
 *
 * <p>Every order states a desired version. It is given again while the instance list shows another one, so the state
 * that an order of an earlier holder left behind is corrected.
 */
public final class Rollout {
    /** Time after which an order that shows no effect is given again, in milliseconds. */
    public static final long ORDER_RETRY_INTERVAL_MILLIS = 15_000;

    private final LeaseManager leaseManager;
    private final Outbox out;
    private final Map<String, PendingOrder> pendingOrders = new HashMap<>();
    private final UpstreamTable upstreams;
    private long nextOrderId = 1;

    private record PendingOrder(long orderId, String upstream, String version, long retryAtMillis) {}

    /**
     * Creates a rollout without orders.
     *
     * @param keeper tells whether orders are permitted
     * @param upstreams the known upstreams
     * @param out takes the commands
     */
    public Rollout(LeaseManager keeper, UpstreamTable upstreams, Outbox out) {
        this.leaseManager = keeper;
        this.upstreams = upstreams;
        this.out = out;
    }

    /**
     * Handles the end of an order; a refused or unsent one may be followed by another at once.
     *
     * @param event the end of the order
     */
    public void handleOrderEnded(Event.OrderEnded event) {
        boolean mayTake = event.outcome() == OrderOutcome.TAKEN || event.outcome() == OrderOutcome.NO_ANSWER;
        if (!mayTake) {
            pendingOrders.values().removeIf(order -> order.orderId() == event.orderId());
        }
    }

    /**
     * Gives the orders that are due, if the lease permits it.
     *
     * @param configuration the configuration in force
     * @param nowMillis the present time in milliseconds since the epoch
     */
    public void tick(Optional<Configuration> configuration, long nowMillis) {
        Optional<Lease> lease = leaseManager.heldLease(nowMillis);
        if (lease.isEmpty() || configuration.isEmpty()) {
            pendingOrders.clear();
            return;
        }
        for (Service service : configuration.get().services()) {
            if (service.kind() == ServiceKind.MODEL) {
                sendNextOrder(service, lease.get(), nowMillis);
            }
        }
    }

    private void sendNextOrder(Service service, Lease lease, long nowMillis) {
        String wanted = service.model() + '@' + service.version();
        PendingOrder current = pendingOrders.get(service.name());
        boolean waiting = current != null
                && current.version().equals(wanted)
                && nowMillis < current.retryAtMillis()
                && upstreams
                        .find(current.upstream())
                        .filter(upstream -> !upstream.info().version().equals(wanted))
                        .isPresent();
        if (waiting) {
            return;
        }
        pendingOrders.remove(service.name());
        upstreams.candidates(service.name(), Set.of()).stream()
                .map(upstream -> upstream.info())
                .filter(info -> !info.version().isEmpty() && !info.version().equals(wanted))
                .findFirst()
                .ifPresent(info -> sendOrder(service, info, wanted, lease, nowMillis));
    }

    private void sendOrder(Service service, UpstreamInfo info, String wanted, Lease lease, long nowMillis) {
        long orderId = nextOrderId++;
        pendingOrders.put(
                service.name(), new PendingOrder(orderId, info.id(), wanted, nowMillis + ORDER_RETRY_INTERVAL_MILLIS));
        out.add(new Command.SendOrder(
                orderId, info.id(), info.address(), lease.fence(), wanted, leaseManager.orderDeadline(nowMillis)));
    }
}
