package org.lovagethread.node.supplier;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Locale;
import java.util.function.Consumer;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.event.Event;
import org.lovagethread.core.lease.OrderOutcome;
import org.lovagethread.node.duty.Duty;
import org.lovagethread.node.duty.NodeClock;
import org.lovagethread.node.duty.Ring;
import org.lovagethread.supplier.engines.EngineClient;

/** Sends orders to engines, and looks at the deadline of each immediately before. */
public final class OrderDuty implements Duty {
    private static final Logger LOG = System.getLogger(OrderDuty.class.getName());
    private static final long WAIT_MILLIS = 1_000;

    private final EngineClient client;
    private final NodeClock clock;
    private final Ring<Command> commands;
    private final Consumer<Event> events;

    /**
     * Creates the duty.
     *
     * @param client gives the orders
     * @param clock tells the time
     * @param commands brings the orders
     * @param events takes their outcomes
     */
    public OrderDuty(EngineClient client, NodeClock clock, Ring<Command> commands, Consumer<Event> events) {
        this.client = client;
        this.clock = clock;
        this.commands = commands;
        this.events = events;
    }

    @Override
    public String name() {
        return "orders";
    }

    @Override
    public void step() {
        if (commands.take(WAIT_MILLIS) instanceof Command.SendOrder order) {
            OrderOutcome outcome = clock.millis() < order.notAfterMillis()
                    ? client.load(order.address(), order.fence(), order.version())
                    : OrderOutcome.EXPIRED;
            LOG.log(
                    Level.INFO,
                    "order-{0} upstream={1} version={2} fence={3}",
                    outcome.name().toLowerCase(Locale.ROOT),
                    order.upstream(),
                    order.version(),
                    String.valueOf(order.fence()));
            events.accept(new Event.OrderEnded(order.orderId(), outcome));
        }
    }
}
