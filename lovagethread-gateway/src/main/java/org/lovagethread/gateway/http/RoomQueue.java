package org.lovagethread.gateway.http;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

/**
 * Holds the requests that wait until a brittle upstream has room, the most urgent first. Used on the gateway's event loop
 * only.
 */
final class RoomQueue {
    /** Maximum number of requests of one service that wait. */
    static final int MAX_WAITING = 256;

    private final Executor loop;
    private final LongSupplier clock;
    private final TreeSet<Place> places =
            new TreeSet<>(Comparator.comparingInt(Place::priority).thenComparingLong(Place::sequence));
    private final Map<Waiter, Place> placeByWaiter = new HashMap<>();
    private final Map<String, Integer> waitingByService = new HashMap<>();
    private Optional<Place> called = Optional.empty();
    private boolean wakeScheduled;
    private long sequence;

    /** A request that waits. */
    interface Waiter {
        /** Selects an upstream again, or begins to wait again. */
        void onRoom();

        /** Ends the request, because there was no room in time. */
        void onNoRoom();
    }

    /**
     * The place of a request in the queue.
     *
     * @param waiter the request
     * @param group the requests that can be sent to the same upstreams: if one has to wait, all have
     */
    private record Place(Waiter waiter, String service, String group, int priority, long sequence, long latestMillis) {}

    /**
     * Creates an empty queue.
     *
     * @param loop executes tasks on the event loop
     * @param clock returns the current time in milliseconds
     */
    RoomQueue(Executor loop, LongSupplier clock) {
        this.loop = loop;
        this.clock = clock;
    }

    /** Returns whether a request of a service must line up behind others instead of being sent at once. */
    boolean mustLineUp(String service) {
        return !waitingByService.isEmpty() && called.isEmpty() && waitingByService.containsKey(service);
    }

    boolean isFull(String service) {
        return called.isEmpty() && waiting(service) >= MAX_WAITING;
    }

    /** Returns the number of requests of a service that wait. */
    int waiting(String service) {
        return waitingByService.getOrDefault(service, 0);
    }

    /**
     * Adds a request. One that has just been called keeps its place.
     *
     * @param waiter the request
     * @param service the name of the service
     * @param group names the requests of the service that can be sent to the same upstreams
     * @param priority the priority, where zero is the highest
     * @param latestMillis the time until which it waits, in milliseconds
     */
    void add(Waiter waiter, String service, String group, int priority, long latestMillis) {
        Place place = called.filter(last -> last.waiter() == waiter)
                .orElseGet(() -> new Place(waiter, service, group, priority, sequence++, latestMillis));
        places.add(place);
        placeByWaiter.put(waiter, place);
        waitingByService.merge(service, 1, Integer::sum);
    }

    /** Removes a request if it waits. */
    void remove(Waiter waiter) {
        if (!places.isEmpty()) {
            Optional.ofNullable(placeByWaiter.get(waiter)).ifPresent(this::remove);
        }
    }

    /** Calls the requests soon, because one in progress has ended. */
    void wake() {
        if (!places.isEmpty() && !wakeScheduled) {
            wakeScheduled = true;
            loop.execute(this::callAll);
        }
    }

    /** Calls the requests in their order, and ends those whose time is over. */
    void callAll() {
        wakeScheduled = false;
        if (places.isEmpty() || called.isPresent()) {
            return;
        }
        long now = clock.getAsLong();
        Set<String> full = new HashSet<>();
        for (Place place : List.copyOf(places)) {
            boolean isFull = full.contains(place.group());
            if (places.contains(place) && (!isFull || now >= place.latestMillis())) {
                remove(place);
                call(place, now);
                if (placeByWaiter.containsKey(place.waiter())) {
                    full.add(place.group());
                }
            }
        }
    }

    private void call(Place place, long nowMillis) {
        called = Optional.of(place);
        try {
            if (nowMillis >= place.latestMillis()) {
                place.waiter().onNoRoom();
            } else {
                place.waiter().onRoom();
            }
        } finally {
            called = Optional.empty();
        }
    }

    private void remove(Place place) {
        places.remove(place);
        placeByWaiter.remove(place.waiter());
        waitingByService.computeIfPresent(place.service(), (service, count) -> count > 1 ? count - 1 : null);
    }
}
