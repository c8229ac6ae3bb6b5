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
 * Orders engines to load the model and version declared in the configuration, one engine of a service at a time.
 *
 * <p>Every order states the desired version. It is sent again while the instance list shows a different version, which
 * also corrects the effect of orders that were sent by an earlier lease holder.
 */
public final class Rollout {
    /** Time after which an order without a visible effect is sent again, in milliseconds. */
    public static final long ORDER_RETRY_INTERVAL_MILLIS = 15_000;

    private final LeaseManager leaseManager;
    private final Outbox out;
    private final Map<String, PendingOrder> pendingOrders = new HashMap<>();
    private final UpstreamTable upstreams;
    private long nextOrderId = 1;

    private record PendingOrder(long orderId, String upstream, String version, long retryAtMillis) {}

    /**
     * Creates a rollout without pending orders.
     *
     * @param leaseManager provides the lease, which permits orders while it is held
     * @param upstreams the table of upstreams
     * @param out receives the commands
     */
    public Rollout(LeaseManager leaseManager, UpstreamTable upstreams, Outbox out) {
        this.leaseManager = leaseManager;
        this.upstreams = upstreams;
        this.out = out;
    }

    /**
     * Handles the end of an order. A rejected or unsent order may be followed by another one immediately.
     *
     * @param event the end of the order
     */
    public void onOrderEnded(Event.OrderEnded event) {
        boolean mayHaveTakenEffect = event.outcome() == OrderOutcome.TAKEN || event.outcome() == OrderOutcome.NO_ANSWER;
        if (!mayHaveTakenEffect) {
            pendingOrders.values().removeIf(order -> order.orderId() == event.orderId());
        }
    }

    /**
     * Sends the orders that are due while this node holds the lease.
     *
     * @param configuration the active configuration
     * @param nowMillis the current time in milliseconds since the epoch
     */
    public void onTick(Optional<Configuration> configuration, long nowMillis) {
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
        String desiredVersion = service.model() + '@' + service.version();
        PendingOrder current = pendingOrders.get(service.name());
        boolean awaitingEffect = current != null
                && current.version().equals(desiredVersion)
                && nowMillis < current.retryAtMillis()
                && upstreams
                        .find(current.upstream())
                        .filter(upstream -> !upstream.info().version().equals(desiredVersion))
                        .isPresent();
        if (awaitingEffect) {
            return;
        }
        pendingOrders.remove(service.name());
        upstreams.candidates(service.name(), Set.of()).stream()
                .map(upstream -> upstream.info())
                .filter(info -> !info.version().isEmpty() && !info.version().equals(desiredVersion))
                .findFirst()
                .ifPresent(info -> sendOrder(service, info, desiredVersion, lease, nowMillis));
    }

    private void sendOrder(Service service, UpstreamInfo info, String desiredVersion, Lease lease, long nowMillis) {
        long orderId = nextOrderId++;
        pendingOrders.put(
                service.name(),
                new PendingOrder(orderId, info.id(), desiredVersion, nowMillis + ORDER_RETRY_INTERVAL_MILLIS));
        out.add(new Command.SendOrder(
                orderId,
                info.id(),
                info.address(),
                lease.fence(),
                desiredVersion,
                leaseManager.orderDeadline(nowMillis)));
    }
}
