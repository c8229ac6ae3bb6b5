package org.lovagethread.bench;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Performance model of one engine. It processes prompts one after another at a fixed rate, caches prompt prefixes in an
 * LRU cache of limited size, and generates tokens more slowly the more streams it runs.
 */
final class EngineModel {
    static final double PREFILL_TOKENS_PER_MILLI = 10;

    private static final int MAX_CACHED_TOKENS = 40_000;
    private static final double BASE_STEP_MILLIS = 25;
    private static final int BATCH_SLOTS = 16;

    private final String id;
    private final String zone;
    private final Map<String, Integer> prefixCache = new LinkedHashMap<>(16, 0.75f, true);
    private int cachedTokens;
    private double prefillBusyUntilMillis;
    private int runningStreams;
    private boolean alive = true;

    EngineModel(String id, String zone) {
        this.id = id;
        this.zone = zone;
    }

    /**
     * The predicted timing of one stream.
     *
     * @param firstTokenAtMillis the time at which the first token is generated
     * @param stepMillis the time between two tokens
     * @param computedTokens the number of prompt tokens that were not cached
     */
    record StreamTiming(double firstTokenAtMillis, double stepMillis, int computedTokens) {}

    boolean isAlive() {
        return alive;
    }

    /** Starts a stream whose prompt begins with a prefix that other prompts share. */
    StreamTiming startStream(double nowMillis, String prefix, int prefixTokens, int promptTokens) {
        boolean prefixCached = prefixCache.get(prefix) != null;
        int computedTokens = prefixCached ? promptTokens - prefixTokens : promptTokens;
        if (!prefixCached) {
            addToCache(prefix, prefixTokens);
        }
        runningStreams++;
        double contention = Math.max(1.0, (double) runningStreams / BATCH_SLOTS);
        double startMillis = Math.max(nowMillis, prefillBusyUntilMillis);
        prefillBusyUntilMillis = startMillis + computedTokens / PREFILL_TOKENS_PER_MILLI;
        double stepMillis = BASE_STEP_MILLIS * (1 + 0.5 * runningStreams / BATCH_SLOTS) * contention;
        return new StreamTiming(prefillBusyUntilMillis + stepMillis, stepMillis, computedTokens);
    }

    void endStream() {
        runningStreams--;
    }

    String id() {
        return id;
    }

    void terminate() {
        alive = false;
    }

    String zone() {
        return zone;
    }

    private void addToCache(String prefix, int tokens) {
        prefixCache.put(prefix, tokens);
        cachedTokens += tokens;
        var oldestEntries = prefixCache.entrySet().iterator();
        while (cachedTokens > MAX_CACHED_TOKENS && oldestEntries.hasNext()) {
            cachedTokens -= oldestEntries.next().getValue();
            oldestEntries.remove();
        }
    }
}
