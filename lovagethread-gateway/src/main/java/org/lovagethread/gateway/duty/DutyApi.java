package org.lovagethread.gateway.duty;

import java.util.Map;
import java.util.function.Consumer;

/** Port to the calls of the platform that only the holder of the duty lease makes. */
public interface DutyApi {

    /** Outcome of a call. */
    enum Outcome {
        /** The platform accepted the call. */
        ACCEPTED,
        /** The platform refused the call; a retry would be refused, too. */
        REFUSED,
        /** The platform did nothing, or the result is unknown; the same call may be retried. */
        UNKNOWN
    }

    /**
     * Order for instances of a service.
     *
     * @param service the name of the service
     * @param zone the availability zone
     * @param count the desired number of instances
     * @param reclaimable whether the order is for reclaimable instances
     */
    record FleetOrder(String service, String zone, int count, boolean reclaimable) {}

    /**
     * Reports the number of requests of each customer that started in a window.
     *
     * @param fencingToken the fencing token of the holder
     * @param window the number of the window
     * @param requests the number of requests by customer
     * @param outcome receives the outcome of the call
     */
    void reportUsage(long fencingToken, long window, Map<String, Long> requests, Consumer<Outcome> outcome);

    /**
     * Orders instances.
     *
     * @param fencingToken the fencing token of the holder
     * @param order the order
     * @param outcome receives the outcome of the call; REFUSED if no such instances are currently available
     */
    void order(long fencingToken, FleetOrder order, Consumer<Outcome> outcome);
}
