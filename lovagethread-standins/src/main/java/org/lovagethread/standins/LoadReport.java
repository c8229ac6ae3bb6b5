package org.lovagethread.standins;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;

/** Collects what a load run saw, and judges it against the ledgers of the plain services. */
final class LoadReport {
    private static final int MOST_PROBLEMS = 10;

    private final Map<String, AtomicLong> counts = new ConcurrentSkipListMap<>();
    private final Map<String, String> answers = new ConcurrentHashMap<>();
    private final Map<String, Set<String>> refusals = new ConcurrentHashMap<>();
    private final List<Long> firstChunkMicros = new ArrayList<>();
    private final List<Long> readMicros = new ArrayList<>();
    private final List<String> problems = new ArrayList<>();

    /** Records an answer to a booking; a second answer to the same key must be the same. */
    void answered(String key, String booking) {
        String first = answers.putIfAbsent(key, booking);
        if (first != null && !first.equals(booking)) {
            problem("key " + key + " was answered " + first + " and then " + booking);
        }
    }

    void count(String name) {
        counts.computeIfAbsent(name, unused -> new AtomicLong()).incrementAndGet();
    }

    long counted(String name) {
        AtomicLong count = counts.get(name);
        return count == null ? 0 : count.get();
    }

    synchronized void firstChunk(long micros) {
        firstChunkMicros.add(micros);
    }

    synchronized void problem(String text) {
        count("problems");
        if (problems.size() < MOST_PROBLEMS) {
            problems.add(text);
        }
    }

    synchronized void read(long micros) {
        readMicros.add(micros);
    }

    /** Records how one try of a booking ended without an answer. */
    void refused(String key, String run) {
        refusals.computeIfAbsent(key, unused -> ConcurrentHashMap.newKeySet()).add(run);
    }

    /** Compares bookings with the ledgers. */
    void judge(Map<String, Integer> runs) {
        runs.forEach((key, times) -> {
            if (times > 1) {
                problem("key " + key + " ran " + times + " times");
            }
        });
        answers.keySet().forEach(key -> {
            if (!runs.containsKey(key)) {
                problem("key " + key + " was answered but is in no ledger");
            }
        });
        refusals.forEach((key, kinds) -> {
            boolean onlyNotRun = kinds.equals(Set.of("not-run")) && !answers.containsKey(key);
            if (onlyNotRun && runs.containsKey(key)) {
                problem("key " + key + " was refused as not run but ran");
            }
        });
    }

    synchronized Map<String, Object> summary() {
        Map<String, Object> summary = new TreeMap<>(counts);
        summary.put("firstChunkMicros", percentiles(firstChunkMicros));
        summary.put("readMicros", percentiles(readMicros));
        summary.put("problemTexts", List.copyOf(problems));
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
