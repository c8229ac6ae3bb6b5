package org.lovagethread.node.supplier;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Locale;
import java.util.function.Consumer;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.event.Event;
import org.lovagethread.core.lease.OrderOutcome;
import org.lovagethread.node.worker.MonotonicClock;
import org.lovagethread.node.worker.MpscQueue;
import org.lovagethread.node.worker.Worker;
import org.lovagethread.supplier.engines.EngineClient;

/** Sends orders to engines. The deadline of an order is checked immediately before it is sent. */
public final class OrderWorker implements Worker {
    private static final Logger LOG = System.getLogger(OrderWorker.class.getName());
    private static final long POLL_TIMEOUT_MILLIS = 1_000;

    private final EngineClient client;
    private final MonotonicClock clock;
    private final MpscQueue<Command> commands;
    private final Consumer<Event> events;

    /**
     * Creates the worker.
     *
     * @param client sends the orders
     * @param clock provides the current time
     * @param commands the queue of orders
     * @param events receives the outcomes
     */
    public OrderWorker(EngineClient client, MonotonicClock clock, MpscQueue<Command> commands, Consumer<Event> events) {
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
    public void runIteration() {
        if (commands.poll(POLL_TIMEOUT_MILLIS) instanceof Command.SendOrder order) {
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
