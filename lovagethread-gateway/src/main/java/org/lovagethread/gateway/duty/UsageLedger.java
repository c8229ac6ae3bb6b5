package org.lovagethread.gateway.duty;

import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.LongSupplier;

/**
 * Counts the requests whose execution has started, by usage window and customer.
 *
 * <p>Each gateway counts its own requests and receives the counts of its peers. The counts of a failed peer are
 * retained.
 */
public final class UsageLedger {
    /** Maximum number of windows for which counts are retained. */
    private static final int MAX_WINDOWS = 8;

    private final long windowMillis;
    private final LongSupplier clusterTime;
    private final NavigableMap<Long, Map<String, Long>> localCounts = new TreeMap<>();
    private final NavigableMap<Long, Map<PeerCustomer, Long>> peerCounts = new TreeMap<>();

    /**
     * Creates an empty ledger.
     *
     * @param windowMillis the length of a window in milliseconds
     * @param clusterTime supplies the cluster time in milliseconds since the epoch
     */
    public UsageLedger(long windowMillis, LongSupplier clusterTime) {
        this.windowMillis = windowMillis;
        this.clusterTime = clusterTime;
    }

    private record PeerCustomer(String peer, String customer) {
        // Implemented explicitly, because linking the generated methods at run time delays the start of the process by
        // tens of milliseconds.
        @Override
        public boolean equals(Object other) {
            return other instanceof PeerCustomer key && peer.equals(key.peer) && customer.equals(key.customer);
        }

        @Override
        public int hashCode() {
            return 31 * peer.hashCode() + customer.hashCode();
        }
    }

    /**
     * Counts a request whose execution has just started.
     *
     * @param customer the name of the customer
     */
    public void recordStart(String customer) {
        long window = windowAt(clusterTime.getAsLong());
        localCounts.computeIfAbsent(window, key -> new HashMap<>()).merge(customer, 1L, Long::sum);
        discardOldest(localCounts);
    }

    /**
     * Updates a count of a peer. Counts never decrease, so a lower value is ignored.
     *
     * @param peer the peer's name and incarnation
     * @param window the number of the window
     * @param customer the name of the customer
     * @param requests the number of requests that the peer has counted
     */
    public void update(String peer, long window, String customer, long requests) {
        peerCounts
                .computeIfAbsent(window, key -> new HashMap<>())
                .merge(new PeerCustomer(peer, customer), requests, Math::max);
        discardOldest(peerCounts);
    }

    /**
     * Returns the window that contains a time.
     *
     * @param timeMillis the time in milliseconds since the epoch
     * @return the number of the window
     */
    public long windowAt(long timeMillis) {
        return Math.floorDiv(timeMillis, windowMillis);
    }

    /**
     * Returns the end of a window.
     *
     * @param window the number of the window
     * @return the time in milliseconds since the epoch
     */
    public long endMillis(long window) {
        return (window + 1) * windowMillis;
    }

    /**
     * Returns the counts of this gateway for the latest windows.
     *
     * @param windows the maximum number of windows
     * @return the counts by window and customer
     */
    public Map<Long, Map<String, Long>> latestLocal(int windows) {
        Map<Long, Map<String, Long>> latest = new HashMap<>();
        for (Map.Entry<Long, Map<String, Long>> entry :
                localCounts.descendingMap().entrySet()) {
            if (latest.size() == windows) {
                break;
            }
            latest.put(entry.getKey(), entry.getValue());
        }
        return latest;
    }

    /**
     * Returns the counts of all gateways for a window.
     *
     * @param window the number of the window
     * @return the number of requests by customer
     */
    public Map<String, Long> total(long window) {
        Map<String, Long> total = new HashMap<>(localCounts.getOrDefault(window, Map.of()));
        peerCounts
                .getOrDefault(window, Map.of())
                .forEach((key, requests) -> total.merge(key.customer(), requests, Long::sum));
        return total;
    }

    /**
     * Returns the counts of the latest windows, excluding peers whose names start with a prefix.
     *
     * @param windows the maximum number of windows
     * @param prefix the prefix of the names of excluded peers
     * @return the counts by window and customer
     */
    public Map<Long, Map<String, Long>> latestExcept(int windows, String prefix) {
        TreeSet<Long> allWindows = new TreeSet<>(localCounts.keySet());
        allWindows.addAll(peerCounts.keySet());
        Map<Long, Map<String, Long>> latest = new HashMap<>();
        for (Long window : allWindows.descendingSet()) {
            if (latest.size() == windows) {
                break;
            }
            Map<String, Long> counts = new HashMap<>(localCounts.getOrDefault(window, Map.of()));
            peerCounts.getOrDefault(window, Map.of()).forEach((key, requests) -> {
                if (!key.peer().startsWith(prefix)) {
                    counts.merge(key.customer(), requests, Long::sum);
                }
            });
            latest.put(window, counts);
        }
        return latest;
    }

    private static void discardOldest(NavigableMap<Long, ?> windows) {
        while (windows.size() > MAX_WINDOWS) {
            windows.pollFirstEntry();
        }
    }
}
