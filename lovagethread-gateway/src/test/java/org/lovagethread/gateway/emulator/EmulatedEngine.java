package org.lovagethread.gateway.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleUnaryOperator;
import org.lovagethread.gateway.policy.PromptPrefix;

/**
 * Emulates a model engine with continuous batching in virtual time.
 *
 * <p>Each step generates one token for each request whose prompt has been processed, and processes the next chunk of the
 * prompts of the others. Shared parts stay cached until memory runs out, the least recently used ones yield first.
 */
final class EmulatedEngine {
    private final EngineProfile profile;
    private final VirtualClock clock;
    private final DoubleUnaryOperator slowdown;
    private final Deque<Run> waiting = new ArrayDeque<>();
    private final List<Run> running = new ArrayList<>();
    private final Map<String, Integer> cachedParts = new LinkedHashMap<>(16, 0.75f, true);
    private long cachedTokens;
    private boolean busy;

    /** A request at the engine. */
    private static final class Run {
        private final PromptPrefix prefix;
        private final int outputTokens;
        private final Runnable onFirstEvent;
        private final Runnable onEnd;
        private double unreadTokens = -1;
        private int generatedTokens;

        private Run(PromptPrefix prefix, int outputTokens, Runnable onFirstEvent, Runnable onEnd) {
            this.prefix = prefix;
            this.outputTokens = outputTokens;
            this.onFirstEvent = onFirstEvent;
            this.onEnd = onEnd;
        }
    }

    EmulatedEngine(EngineProfile profile, VirtualClock clock) {
        this(profile, clock, millis -> 1);
    }

    /**
     * Creates an engine whose speed changes over time.
     *
     * @param profile the performance of the engine
     * @param clock the virtual clock
     * @param slowdown the factor by which the engine is slower than its profile, by the time in milliseconds
     */
    EmulatedEngine(EngineProfile profile, VirtualClock clock, DoubleUnaryOperator slowdown) {
        this.profile = profile;
        this.clock = clock;
        this.slowdown = slowdown;
    }

    void submit(PromptPrefix prefix, int outputTokens, Runnable onFirstEvent, Runnable onEnd) {
        waiting.add(new Run(prefix, outputTokens, onFirstEvent, onEnd));
        if (!busy) {
            startStep();
        }
    }

    private void startStep() {
        while (running.size() < profile.slots() && !waiting.isEmpty()) {
            running.add(waiting.poll());
        }
        busy = !running.isEmpty();
        if (!busy) {
            return;
        }
        double processed = processPrompts();
        double stepMillis = profile.stepMillis()
                + profile.stepMillisPerRequest() * running.size()
                + processed / profile.tokensPerMilli();
        clock.schedule(stepMillis * slowdown.applyAsDouble(clock.nowMillis()), this::endStep);
    }

    private double processPrompts() {
        double budget = profile.chunkTokens();
        for (Run run : running) {
            if (run.unreadTokens < 0) {
                run.unreadTokens = Math.max(1, uncachedTokens(run.prefix));
            }
            double tokens = Math.min(budget, run.unreadTokens);
            run.unreadTokens -= tokens;
            budget -= tokens;
        }
        return profile.chunkTokens() - budget;
    }

    private int uncachedTokens(PromptPrefix prefix) {
        int uncached = 0;
        for (PromptPrefix.Part part : prefix.parts()) {
            if (uncached > 0 || cachedParts.get(part.id()) == null) {
                uncached += part.tokens();
                cache(part);
            }
        }
        return uncached;
    }

    private void cache(PromptPrefix.Part part) {
        if (cachedParts.put(part.id(), part.tokens()) == null) {
            cachedTokens += part.tokens();
        }
        Iterator<Integer> eldest = cachedParts.values().iterator();
        while (cachedTokens > profile.memoryTokens()) {
            cachedTokens -= eldest.next();
            eldest.remove();
        }
    }

    private void endStep() {
        List<Runnable> notifications = new ArrayList<>();
        for (Iterator<Run> iterator = running.iterator(); iterator.hasNext(); ) {
            Run run = iterator.next();
            if (run.unreadTokens > 0) {
                continue;
            }
            run.generatedTokens++;
            if (run.generatedTokens == 1) {
                notifications.add(run.onFirstEvent);
            }
            if (run.generatedTokens >= run.outputTokens) {
                iterator.remove();
                notifications.add(run.onEnd);
            }
        }
        notifications.forEach(Runnable::run);
        startStep();
    }
}
