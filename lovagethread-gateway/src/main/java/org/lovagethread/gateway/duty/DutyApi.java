package org.lovagethread.gateway.duty;

import java.util.Map;
import java.util.function.Consumer;

/** Port to the calls of the platform that one gateway at a time makes. */
public interface DutyApi {

    /** What becomes of a call. */
    enum Outcome {
        /** The platform took the call. */
        ACCEPTED,
        /** The platform refused the call and will refuse it again. */
        REFUSED,
        /** The platform did nothing, or nothing is known; the same call may be made again. */
        UNKNOWN
    }

    /**
     * An order for instances of a service.
     *
     * @param service the name of the service
     * @param zone the availability zone
     * @param count the number of instances wanted
     * @param reclaimable whether reclaimable instances are meant
     */
    record FleetOrder(String service, String zone, int count, boolean reclaimable) {}

    /**
     * Reports how many requests of each customer began in a window.
     *
     * @param fence the fencing number of the holder
     * @param window the number of the window
     * @param requests the requests by customer
     * @param outcome takes what became of the call
     */
    void reportUsage(long fence, long window, Map<String, Long> requests, Consumer<Outcome> outcome);

    /**
     * Orders instances.
     *
     * @param fence the fencing number of the holder
     * @param order the order
     * @param outcome takes what became of the call; REFUSED if no instance is to be had there now
     */
    void order(long fence, FleetOrder order, Consumer<Outcome> outcome);
}
