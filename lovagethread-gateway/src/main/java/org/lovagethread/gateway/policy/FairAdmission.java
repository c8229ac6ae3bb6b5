package org.lovagethread.gateway.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * Divides the capacity of contended services fairly between customers.
 *
 * <p>A service is contended while its first events come late because of waiting. Then the work that all gateways served
 * recently is taken as the capacity, reduced if the wait is too long and raised if it is short, and divided by max-min
 * fairness. Each gateway admits the same share of the requests of a limited customer that it receives. The share depends
 * on rates and not on free slots, which change faster than peers can report them.
 *
 * <p>This handles a customer at several times its usual rate, which would take the capacity of all others. Not
 * thread-safe.
 */
public final class FairAdmission {
    /**
     * Average wait from which a service is contended, as a share of the target latency. With 0.25, one request in
     * twenty of the largest customers was refused at four fifths of the capacity, which serves nearly all in time.
     */
    static final double CONTENDED_WAIT_SHARE = 0.4;

    /** Average wait from which a service is contended if other gateways already serve less than customers demand. */
    private static final double NOTICEABLE_WAIT_SHARE = 0.25;

    /** Average wait at which the capacity is neither reduced nor raised, as a share of the target latency. */
    private static final double INTENDED_WAIT_SHARE = 0.2;

    /**
     * Maximum wait of one request in the average. Without it a few very long waits refused nearly all requests, and
     * without served requests the average did not recover.
     */
    private static final double MAX_WAIT_SHARE = 0.7;

    /** Average wait at which the capacity would be reduced to zero, which {@link #MAX_WAIT_SHARE} excludes. */
    private static final double ZERO_CAPACITY_WAIT_SHARE = 1.4;

    /**
     * Capacity without any wait, relative to the served work. With 1.4, the wait of customers within their share was a
     * quarter longer at the same load.
     */
    private static final double MAX_CAPACITY_FACTOR = 1.2;

    /**
     * Time constant of the average wait, in milliseconds. With 300 ms, the average of a gateway with few first events
     * varied so much that a sixth of the capacity was not used.
     */
    private static final double WAIT_TIME_CONSTANT_MILLIS = 1_000;

    /** Maximum weight of one sample, so that a single late first event does not count as contention. */
    private static final double MAX_SAMPLE_WEIGHT = 0.125;

    /** Time constants after which an average without new samples is discarded. */
    private static final double MAX_SAMPLE_AGE = 3;

    /**
     * Capacity below which it is not reduced, relative to the highest recent one. It bounds what is refused if first
     * events are late for other reasons than the load, until the engine model has learned that.
     */
    private static final double MIN_CAPACITY_SHARE = 0.4;

    /** Time constant after which the highest recent capacity is forgotten, in milliseconds. */
    private static final double PEAK_TIME_CONSTANT_MILLIS = 20_000;

    /** Time after the last sign of contention for which capacity is still divided, in milliseconds. */
    private static final long CONTENTION_MILLIS = 2_000;

    /**
     * Demand relative to the served work up to which contention ends when the wait is short. Callers that return after a
     * refusal count twice in the demand; with 1.1, they prolonged the contention that had caused their refusal.
     */
    private static final double SUFFICIENT_CAPACITY_FACTOR = 1.4;

    /** Time for which calculated shares are used, in milliseconds. It is shorter than the interval of reports. */
    private static final long REFRESH_MILLIS = 50;

    /** Maximum number of requests that a limited customer may send at once after a pause. */
    private static final double MAX_CREDIT = 2;

    private final Map<String, ServiceState> services = new HashMap<>();
    private final DoubleSupplier random;
    private long refusals;
    private long malformedReports;

    private static final class ServiceState {
        private final WorkLedger ledger = new WorkLedger();
        private final Map<WorkLedger.Key, Double> credits = new HashMap<>();
        private FairShares shares = new FairShares(List.of());
        private double peakServedRate;
        private long refreshMillis;
        private long contentionEndMillis;
        private double averageWaitShare;
        private long waitUpdatedMillis;

        private void addWait(double waitShare, long nowMillis) {
            double elapsedMillis = Math.max(1, nowMillis - waitUpdatedMillis);
            double weight = Math.min(MAX_SAMPLE_WEIGHT, 1 - Math.exp(-elapsedMillis / WAIT_TIME_CONSTANT_MILLIS));
            averageWaitShare += weight * (Math.max(0, Math.min(MAX_WAIT_SHARE, waitShare)) - averageWaitShare);
            waitUpdatedMillis = nowMillis;
        }

        private boolean isContended(long nowMillis) {
            if (nowMillis - waitUpdatedMillis > MAX_SAMPLE_AGE * WAIT_TIME_CONSTANT_MILLIS) {
                averageWaitShare = 0;
            }
            boolean isNoticeable = averageWaitShare > NOTICEABLE_WAIT_SHARE || nowMillis < contentionEndMillis;
            if (isNoticeable && nowMillis >= refreshMillis) {
                refresh(nowMillis);
            }
            if (averageWaitShare > CONTENDED_WAIT_SHARE
                    || (isNoticeable && !shares.meetsDemand(SUFFICIENT_CAPACITY_FACTOR * shares.servedRate()))) {
                contentionEndMillis = nowMillis + CONTENTION_MILLIS;
            }
            return nowMillis < contentionEndMillis;
        }

        private void refresh(long nowMillis) {
            shares = new FairShares(ledger.rates(nowMillis));
            double elapsedMillis = Math.max(0, nowMillis + REFRESH_MILLIS - refreshMillis);
            peakServedRate = Math.max(
                    peakServedRate * Math.exp(-elapsedMillis / PEAK_TIME_CONSTANT_MILLIS), shares.servedRate());
            refreshMillis = nowMillis + REFRESH_MILLIS;
        }

        private double capacity() {
            return Math.max(MIN_CAPACITY_SHARE * peakServedRate, capacityFactor() * shares.servedRate());
        }

        private double capacityFactor() {
            return averageWaitShare < INTENDED_WAIT_SHARE
                    ? MAX_CAPACITY_FACTOR - (MAX_CAPACITY_FACTOR - 1) * averageWaitShare / INTENDED_WAIT_SHARE
                    : (ZERO_CAPACITY_WAIT_SHARE - averageWaitShare) / (ZERO_CAPACITY_WAIT_SHARE - INTENDED_WAIT_SHARE);
        }
    }

    /**
     * Creates an admission without any demand.
     *
     * @param random supplies random numbers in the range [0, 1), so that gateways do not act at the same time
     */
    public FairAdmission(DoubleSupplier random) {
        this.random = random;
    }

    /**
     * Returns the ledger of a service.
     *
     * @param service the name of the service
     * @return the ledger
     */
    public WorkLedger ledger(String service) {
        return state(service).ledger;
    }

    /**
     * Returns the ledgers of all services.
     *
     * @return the ledgers by the name of the service
     */
    public Map<String, WorkLedger> ledgers() {
        Map<String, WorkLedger> ledgers = new HashMap<>();
        services.forEach((service, state) -> ledgers.put(service, state.ledger));
        return ledgers;
    }

    /**
     * Decides whether a request is within the fair share of its customer. The demand must have been recorded.
     *
     * @param service the name of the service
     * @param key the customer and the rank
     * @param nowMillis the current time in milliseconds
     * @return false if the request should be refused in favour of others
     */
    public boolean admits(String service, WorkLedger.Key key, long nowMillis) {
        ServiceState state = state(service);
        if (!state.isContended(nowMillis)) {
            return true;
        }
        double share = state.shares.withinShare(key, state.capacity());
        if (share >= 1) {
            state.credits.remove(key);
            return true;
        }
        Double saved = state.credits.get(key);
        double credit = Math.min(MAX_CREDIT, (saved == null ? random.getAsDouble() : saved) + share);
        boolean admitted = credit >= 1;
        state.credits.put(key, admitted ? credit - 1 : credit);
        refusals += admitted ? 0 : 1;
        return admitted;
    }

    /**
     * Records the first event of a request, which counts as served from then on.
     *
     * @param service the name of the service
     * @param key the customer and the rank
     * @param work the work of the request in tokens
     * @param waitShare the time for which it waited, as a share of the target latency
     * @param nowMillis the current time in milliseconds
     */
    public void recordFirstEvent(String service, WorkLedger.Key key, long work, double waitShare, long nowMillis) {
        ServiceState state = state(service);
        state.ledger.recordServed(key, work, nowMillis);
        state.addWait(waitShare, nowMillis);
    }

    /**
     * Discards what peers that have stopped reporting have reported.
     *
     * @param nowMillis the current time in milliseconds
     */
    public void expire(long nowMillis) {
        for (ServiceState state : services.values()) {
            state.ledger.expire(nowMillis);
            if (nowMillis >= state.contentionEndMillis) {
                state.credits.clear();
            }
        }
    }

    /**
     * Returns the number of contended services.
     *
     * @param nowMillis the current time in milliseconds
     * @return the number of services whose capacity is divided
     */
    public long contendedServices(long nowMillis) {
        return services.values().stream()
                .filter(state -> nowMillis < state.contentionEndMillis)
                .count();
    }

    /**
     * Returns the number of requests that were refused because they exceeded the fair share of their customer.
     *
     * @return the number since the start
     */
    public long refusals() {
        return refusals;
    }

    /** Records that a report of a peer was unreadable or had invalid values. */
    public void recordMalformedReport() {
        malformedReports++;
    }

    /**
     * Returns the number of reports of peers that were unreadable or had invalid values.
     *
     * @return the number since the start
     */
    public long malformedReports() {
        return malformedReports;
    }

    private ServiceState state(String service) {
        return services.computeIfAbsent(service, name -> new ServiceState());
    }
}
