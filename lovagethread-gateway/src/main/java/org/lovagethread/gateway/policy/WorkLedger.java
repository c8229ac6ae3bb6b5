package org.lovagethread.gateway.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.lovagethread.core.Checks;

/**
 * Measures the work that customers demand from one service and the work that is served, over all gateways.
 *
 * <p>Work is counted in tokens. Rates are averages with exponentially decreasing weights. Reports of peers are totals
 * since the start of their process, so a lost, repeated or late report does not change the sum. Not thread-safe.
 */
public final class WorkLedger {
    /** Maximum number of entries in one report; the others follow when their rate is among the highest. */
    public static final int MAX_REPORTED = 48;

    /** Maximum number of entries that are kept, which bounds the memory: 1,000 customers with a few ranks each. */
    static final int MAX_ENTRIES = 4_096;

    /**
     * Time constant of the averages, in milliseconds. It covers several reports of a peer and some hundred requests,
     * and is short enough for a sudden increase to be noticed within a fraction of a second.
     */
    private static final double TIME_CONSTANT_MILLIS = 2_000;

    /** Age of the last report from which the totals of a peer are discarded, in milliseconds. */
    private static final long PEER_EXPIRY_MILLIS = 60_000;

    /** Rate below which an entry counts as unused, in tokens per millisecond. */
    private static final double MIN_RATE = 1e-4;

    private static final Comparator<Entry> BY_DESCENDING_RATE =
            Comparator.<Entry>comparingDouble(entry -> -entry.demandRate).thenComparingInt(entry -> entry.key.customer);

    private final Map<Key, Entry> entries = new HashMap<>();

    /**
     * Customer and rank of requests that share one entry.
     *
     * @param customer the hash code of the customer's name
     * @param rank the rank of the requests; zero is the most urgent
     */
    public record Key(int customer, int rank) {
        /** Number of ranks of routes for each rank of customers, and of ranks of customers. */
        private static final int RANKS = 10;

        /** Validates the components. */
        public Key {
            Checks.inRange(rank, 0, RANKS * RANKS - 1, "rank");
        }

        /**
         * Creates the key of a request. The rank of the customer goes before that of the route.
         *
         * @param customer the name of the customer
         * @param customerPriority the priority of the customer; zero is the highest, negative if it has none
         * @param routePriority the priority of the route; zero is the highest
         * @return the key
         */
        public static Key of(String customer, int customerPriority, int routePriority) {
            int customerRank = Math.max(0, Math.min(RANKS - 1, customerPriority));
            int routeRank = Math.max(0, Math.min(RANKS - 1, routePriority));
            return new Key(customer.hashCode(), customerRank * RANKS + routeRank);
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof Key key && key.customer == customer && key.rank == rank;
        }

        @Override
        public int hashCode() {
            return 31 * customer + rank;
        }
    }

    /**
     * Totals since the start of a process, as reported to peers.
     *
     * @param key the customer and the rank
     * @param demanded the tokens of all requests
     * @param served the tokens of the requests that produced an event
     */
    public record Totals(Key key, long demanded, long served) {
        /** Validates the components. */
        public Totals {
            Checks.inRange(demanded, 0, Long.MAX_VALUE, "demanded");
            Checks.inRange(served, 0, Long.MAX_VALUE, "served");
        }
    }

    /**
     * Current rates of an entry.
     *
     * @param key the customer and the rank
     * @param demanded the tokens of all requests, per millisecond
     * @param served the tokens of the requests that produced an event, per millisecond
     */
    public record Rates(Key key, double demanded, double served) {}

    private static final class PeerTotals {
        private long demanded;
        private long served;
        private long reportedMillis;
    }

    private static final class Entry {
        private final Key key;
        private final Map<String, PeerTotals> peers = new HashMap<>();
        private final long[] local = new long[2];
        private final Map<String, long[]> increases = new HashMap<>();
        private double demandRate;
        private double servedRate;
        private long updatedMillis;

        private Entry(Key key) {
            this.key = key;
        }

        private void decay(long nowMillis) {
            if (nowMillis > updatedMillis) {
                double factor = Math.exp((updatedMillis - nowMillis) / TIME_CONSTANT_MILLIS);
                demandRate *= factor;
                servedRate *= factor;
                updatedMillis = nowMillis;
            }
        }

        private void add(long demanded, long served, long nowMillis) {
            decay(nowMillis);
            demandRate += demanded / TIME_CONSTANT_MILLIS;
            servedRate += served / TIME_CONSTANT_MILLIS;
        }
    }

    /**
     * Records a request that reached this gateway.
     *
     * @param key the customer and the rank
     * @param tokens the work of the request
     * @param nowMillis the current time in milliseconds
     */
    public void recordDemand(Key key, long tokens, long nowMillis) {
        Checks.inRange(tokens, 0, Long.MAX_VALUE, "tokens");
        Entry entry = find(key);
        if (entry != null) {
            entry.local[0] += tokens;
            entry.add(tokens, 0, nowMillis);
        }
    }

    /**
     * Records that the first event of a request was received by this gateway.
     *
     * @param key the customer and the rank
     * @param tokens the work of the request
     * @param nowMillis the current time in milliseconds
     */
    public void recordServed(Key key, long tokens, long nowMillis) {
        Checks.inRange(tokens, 0, Long.MAX_VALUE, "tokens");
        Entry entry = find(key);
        if (entry != null) {
            entry.local[1] += tokens;
            entry.add(0, tokens, nowMillis);
        }
    }

    /**
     * Adds what a peer has counted since its last report. The first report of a process is only the reference for the
     * next one. Totals that are lower than known ones come from a late or repeated report and change nothing.
     *
     * @param peer the name of the peer and the incarnation of its process
     * @param totals the totals that the peer reports for one entry
     * @param nowMillis the current time in milliseconds
     */
    public void updatePeer(String peer, Totals totals, long nowMillis) {
        Entry entry = find(totals.key());
        if (entry == null) {
            return;
        }
        PeerTotals known = entry.peers.get(peer);
        if (known == null) {
            known = new PeerTotals();
            known.demanded = totals.demanded();
            known.served = totals.served();
            entry.peers.put(peer, known);
        }
        known.reportedMillis = nowMillis;
        long demanded = Math.max(0, totals.demanded() - known.demanded);
        long served = Math.max(0, totals.served() - known.served);
        known.demanded += demanded;
        known.served += served;
        if (demanded > 0 || served > 0) {
            entry.add(demanded, served, nowMillis);
            long[] increase = entry.increases.computeIfAbsent(peer, name -> new long[2]);
            increase[0] += demanded;
            increase[1] += served;
        }
    }

    /**
     * Returns the totals of this gateway, for a report to its peers.
     *
     * @param nowMillis the current time in milliseconds
     * @return the totals with the highest rates, at most {@link #MAX_REPORTED}
     */
    public List<Totals> localTotals(long nowMillis) {
        return busiest(nowMillis).stream()
                .filter(entry -> entry.local[0] > 0)
                .limit(MAX_REPORTED)
                .map(entry -> new Totals(entry.key, entry.local[0], entry.local[1]))
                .toList();
    }

    /**
     * Returns the totals of this gateway and of the peers whose names lack a given prefix, for the summary of a cell.
     *
     * @param prefix the prefix of the names of excluded peers
     * @param nowMillis the current time in milliseconds
     * @return the totals with the highest rates, at most {@link #MAX_REPORTED}
     */
    public List<Totals> totalsExcept(String prefix, long nowMillis) {
        List<Totals> totals = new ArrayList<>();
        for (Entry entry : busiest(nowMillis)) {
            long demanded = entry.local[0];
            long served = entry.local[1];
            for (Map.Entry<String, long[]> increase : entry.increases.entrySet()) {
                if (!increase.getKey().startsWith(prefix)) {
                    demanded += increase.getValue()[0];
                    served += increase.getValue()[1];
                }
            }
            if (demanded > 0 && totals.size() < MAX_REPORTED) {
                totals.add(new Totals(entry.key, demanded, served));
            }
        }
        return totals;
    }

    /**
     * Returns the current rates of all entries that are in use.
     *
     * @param nowMillis the current time in milliseconds
     * @return the rates
     */
    public List<Rates> rates(long nowMillis) {
        List<Rates> rates = new ArrayList<>(entries.size());
        for (Entry entry : entries.values()) {
            entry.decay(nowMillis);
            if (entry.demandRate >= MIN_RATE) {
                rates.add(new Rates(entry.key, entry.demandRate, entry.servedRate));
            }
        }
        return rates;
    }

    /**
     * Discards the totals of peers that have stopped reporting, and entries without any use.
     *
     * @param nowMillis the current time in milliseconds
     */
    public void expire(long nowMillis) {
        Iterator<Entry> iterator = entries.values().iterator();
        while (iterator.hasNext()) {
            Entry entry = iterator.next();
            entry.decay(nowMillis);
            entry.peers.values().removeIf(peer -> nowMillis - peer.reportedMillis > PEER_EXPIRY_MILLIS);
            if (entry.peers.isEmpty() && entry.demandRate < MIN_RATE) {
                iterator.remove();
            }
        }
    }

    private List<Entry> busiest(long nowMillis) {
        List<Entry> used = new ArrayList<>();
        for (Entry entry : entries.values()) {
            entry.decay(nowMillis);
            if (entry.demandRate >= MIN_RATE) {
                used.add(entry);
            }
        }
        used.sort(BY_DESCENDING_RATE);
        return used;
    }

    /** Returns the entry of a key, which is added if the limit permits it; otherwise null. */
    private Entry find(Key key) {
        Entry entry = entries.get(key);
        if (entry == null && entries.size() < MAX_ENTRIES) {
            entry = new Entry(key);
            entries.put(key, entry);
        }
        return entry;
    }
}
