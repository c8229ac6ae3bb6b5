package org.lovagethread.bench;

import java.util.LinkedHashMap;
import java.util.Map;

/** Models one engine: prompts are processed in order at a fixed rate, prefixes are cached in limited memory. */
final class EngineModel {
    static final double PREFILL_TOKENS_PER_MILLI = 10;

    private static final int CACHE_TOKENS = 40_000;
    private static final double STEP_MILLIS = 25;
    private static final int SLOTS = 16;

    private final String id;
    private final String zone;
    private final Map<String, Integer> cache = new LinkedHashMap<>(16, 0.75f, true);
    private int cachedTokens;
    private double prefillBusyUntil;
    private int running;
    private boolean alive = true;

    EngineModel(String id, String zone) {
        this.id = id;
        this.zone = zone;
    }

    /**
     * Tells how an engine will serve one stream.
     *
     * @param firstTokenMillis the time of the first token
     * @param stepMillis the time between tokens
     * @param computedTokens the prompt tokens that were not in the cache
     */
    record Service(double firstTokenMillis, double stepMillis, int computedTokens) {}

    boolean alive() {
        return alive;
    }

    /** Takes a stream whose prompt starts with a shared prefix. */
    Service begin(double now, String prefix, int prefixTokens, int promptTokens) {
        boolean hit = cache.get(prefix) != null;
        int computed = hit ? promptTokens - prefixTokens : promptTokens;
        if (!hit) {
            remember(prefix, prefixTokens);
        }
        running++;
        double contention = Math.max(1.0, (double) running / SLOTS);
        double start = Math.max(now, prefillBusyUntil);
        prefillBusyUntil = start + computed / PREFILL_TOKENS_PER_MILLI;
        double step = STEP_MILLIS * (1 + 0.5 * running / SLOTS) * contention;
        return new Service(prefillBusyUntil + step, step, computed);
    }

    void end() {
        running--;
    }

    String id() {
        return id;
    }

    void kill() {
        alive = false;
    }

    String zone() {
        return zone;
    }

    private void remember(String prefix, int tokens) {
        cache.put(prefix, tokens);
        cachedTokens += tokens;
        var oldest = cache.entrySet().iterator();
        while (cachedTokens > CACHE_TOKENS && oldest.hasNext()) {
            cachedTokens -= oldest.next().getValue();
            oldest.remove();
        }
    }
}
