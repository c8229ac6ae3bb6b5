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
    public static final long REPEAT_MILLIS = 15_000;

    private final LeaseManager keeper;
    private final Outbox out;
    private final Map<String, Pending> pending = new HashMap<>();
    private final UpstreamTable upstreams;
    private long nextOrderId = 1;

    private record Pending(long orderId, String upstream, String version, long repeatAtMillis) {}

    /**
     * Creates a rollout without orders.
     *
     * @param keeper tells whether orders are permitted
     * @param upstreams the known upstreams
     * @param out takes the commands
     */
    public Rollout(LeaseManager keeper, UpstreamTable upstreams, Outbox out) {
        this.keeper = keeper;
        this.upstreams = upstreams;
        this.out = out;
    }

    /**
     * Handles the end of an order; a refused or unsent one may be followed by another at once.
     *
     * @param event the end of the order
     */
    public void orderEnded(Event.OrderEnded event) {
        boolean mayTake = event.outcome() == OrderOutcome.TAKEN || event.outcome() == OrderOutcome.NO_ANSWER;
        if (!mayTake) {
            pending.values().removeIf(order -> order.orderId() == event.orderId());
        }
    }

    /**
     * Gives the orders that are due, if the lease permits it.
     *
     * @param configuration the configuration in force
     * @param nowMillis the present time in milliseconds since the epoch
     */
    public void ticked(Optional<Configuration> configuration, long nowMillis) {
        Optional<Lease> lease = keeper.heldLease(nowMillis);
        if (lease.isEmpty() || configuration.isEmpty()) {
            pending.clear();
            return;
        }
        for (Service service : configuration.get().services()) {
            if (service.kind() == ServiceKind.MODEL) {
                orderNext(service, lease.get(), nowMillis);
            }
        }
    }

    private void orderNext(Service service, Lease lease, long nowMillis) {
        String wanted = service.model() + '@' + service.version();
        Pending current = pending.get(service.name());
        boolean waiting = current != null
                && current.version().equals(wanted)
                && nowMillis < current.repeatAtMillis()
                && upstreams
                        .find(current.upstream())
                        .filter(upstream -> !upstream.info().version().equals(wanted))
                        .isPresent();
        if (waiting) {
            return;
        }
        pending.remove(service.name());
        upstreams.candidates(service.name(), Set.of()).stream()
                .map(upstream -> upstream.info())
                .filter(info -> !info.version().isEmpty() && !info.version().equals(wanted))
                .findFirst()
                .ifPresent(info -> order(service, info, wanted, lease, nowMillis));
    }

    private void order(Service service, UpstreamInfo info, String wanted, Lease lease, long nowMillis) {
        long orderId = nextOrderId++;
        pending.put(service.name(), new Pending(orderId, info.id(), wanted, nowMillis + REPEAT_MILLIS));
        out.add(new Command.SendOrder(
                orderId, info.id(), info.address(), lease.fence(), wanted, keeper.orderDeadline(nowMillis)));
    }
}
