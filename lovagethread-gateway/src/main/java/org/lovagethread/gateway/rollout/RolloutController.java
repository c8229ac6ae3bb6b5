package org.lovagethread.gateway.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.lovagethread.gateway.config.ConfigurationDecoder;
import org.lovagethread.gateway.store.ObjectStore;

/**
 * Takes up orders and decides about them while this gateway holds the duty lease.
 *
 * <p>Each decision is stored in an object of its own before it is acted on, and only then written to the status of the
 * order. A successor reads that object first and continues from it.
 */
public final class RolloutController {
    private final Context context;
    private final Supplier<OptionalLong> fencingToken;
    private final Map<String, RolloutTask> tasks = new HashMap<>();

    /** What the tasks of all services share. */
    record Context(
            ObjectStore store,
            ConfigurationDecoder decoder,
            RolloutTable table,
            RolloutOrders orders,
            RolloutLog log,
            LongSupplier clock,
            LongSupplier clusterTime,
            Supplier<OptionalLong> fencingToken) {}

    /**
     * Creates a controller.
     *
     * @param store stores the decisions and the status of the orders
     * @param decoder encodes the status
     * @param table the rollouts
     * @param orders the orders as last read
     * @param log receives a line for each write
     * @param clock supplies the monotonic time in milliseconds
     * @param clusterTime supplies the cluster time in milliseconds since the epoch
     * @param fencingToken supplies the fencing token if a call may be started
     */
    public RolloutController(
            ObjectStore store,
            ConfigurationDecoder decoder,
            RolloutTable table,
            RolloutOrders orders,
            RolloutLog log,
            LongSupplier clock,
            LongSupplier clusterTime,
            Supplier<OptionalLong> fencingToken) {
        this.context = new Context(store, decoder, table, orders, log, clock, clusterTime, fencingToken);
        this.fencingToken = fencingToken;
    }

    /** Makes the calls that are due. Without the lease, forgets what was read under an earlier one. */
    public void tick() {
        if (fencingToken.get().isEmpty()) {
            tasks.clear();
            return;
        }
        for (String service : context.table().services()) {
            Optional<Rollout> rollout = context.table().find(service);
            RolloutTask task = tasks.get(service);
            if (task == null || !task.concerns(rollout.orElseThrow())) {
                task = new RolloutTask(context, rollout.orElseThrow());
                tasks.put(service, task);
            }
            task.tick();
        }
    }
}
