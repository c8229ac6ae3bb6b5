package org.lovagethread.standins;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;

/** Collects the outcomes and latencies of a load run, and verifies them against the ledgers of the plain services. */
final class LoadReport {
    private static final int MAX_PROBLEM_TEXTS = 10;

    private final Map<String, AtomicLong> counts = new ConcurrentSkipListMap<>();
    private final Map<String, String> bookings = new ConcurrentHashMap<>();
    private final Map<String, Set<String>> refusals = new ConcurrentHashMap<>();
    private final List<Long> firstChunkLatenciesMicros = new ArrayList<>();
    private final List<Long> readLatenciesMicros = new ArrayList<>();
    private final List<String> problemTexts = new ArrayList<>();

    /** Records the response to a booking. All responses to the same key must name the same booking. */
    void recordBooking(String key, String booking) {
        String first = bookings.putIfAbsent(key, booking);
        if (first != null && !first.equals(booking)) {
            recordProblem("key " + key + " received booking " + first + " and then " + booking);
        }
    }

    void increment(String name) {
        counts.computeIfAbsent(name, unused -> new AtomicLong()).incrementAndGet();
    }

    long getCount(String name) {
        AtomicLong count = counts.get(name);
        return count == null ? 0 : count.get();
    }

    synchronized void recordFirstChunkLatency(long micros) {
        firstChunkLatenciesMicros.add(micros);
    }

    synchronized void recordProblem(String description) {
        increment("problems");
        if (problemTexts.size() < MAX_PROBLEM_TEXTS) {
            problemTexts.add(description);
        }
    }

    synchronized void recordReadLatency(long micros) {
        readLatenciesMicros.add(micros);
    }

    /**
     * Records an attempt at a booking that received no successful response.
     *
     * @param key the idempotency key
     * @param outcome the value of the field {@code run} of the error response, or {@code cut} if the connection failed
     */
    void recordRefusal(String key, String outcome) {
        refusals.computeIfAbsent(key, unused -> ConcurrentHashMap.newKeySet()).add(outcome);
    }

    /**
     * Verifies the recorded outcomes against the ledgers: no key is executed more than once, every acknowledged key is
     * executed, and a key whose attempts were all reported as not executed is in no ledger.
     *
     * @param executionsByKey the number of executions of each idempotency key
     */
    void verifyExecutions(Map<String, Integer> executionsByKey) {
        executionsByKey.forEach((key, executions) -> {
            if (executions > 1) {
                recordProblem("key " + key + " was executed " + executions + " times");
            }
        });
        bookings.keySet().forEach(key -> {
            if (!executionsByKey.containsKey(key)) {
                recordProblem("key " + key + " received a successful response but is in no ledger");
            }
        });
        refusals.forEach((key, outcomes) -> {
            boolean alwaysNotRun = outcomes.equals(Set.of("not-run")) && !bookings.containsKey(key);
            if (alwaysNotRun && executionsByKey.containsKey(key)) {
                recordProblem("key " + key + " was reported as not executed but is in a ledger");
            }
        });
    }

    synchronized Map<String, Object> summary() {
        Map<String, Object> summary = new TreeMap<>(counts);
        summary.put("firstChunkMicros", percentiles(firstChunkLatenciesMicros));
        summary.put("readMicros", percentiles(readLatenciesMicros));
        summary.put("problemTexts", List.copyOf(problemTexts));
        return summary;
    }

    private static Map<String, Long> percentiles(List<Long> values) {
        List<Long> sorted = values.stream().sorted().toList();
        Map<String, Long> result = new TreeMap<>();
        if (!sorted.isEmpty()) {
            result.put("p50", sorted.get(sorted.size() / 2));
            result.put("p95", sorted.get((int) (sorted.size() * 0.95)));
            result.put("p99", sorted.get((int) (sorted.size() * 0.99)));
        }
        return result;
    }
}
