package org.lovagethread.gateway.emulator;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.lovagethread.gateway.policy.PromptPrefix;
import org.lovagethread.gateway.upstream.UpstreamEntry;

/** Emulates an engine that reads prompts one after the other and that crashes and restarts. */
final class CrashingEngine {
    private final int index;
    private final String service;
    private final VirtualClock clock;
    private final double streamMillis;
    private final Set<Run> runs = new LinkedHashSet<>();
    private double busyUntilMillis;
    private double downUntilMillis;
    private long startedAtMillis = 1;

    /** Receives what becomes of a request. */
    interface Listener {
        void onFirstEvent();

        void onEnd();

        void onBroken(boolean answered);
    }

    private static final class Run {
        private final Listener listener;
        private boolean answered;
        private boolean cancelled;

        private Run(Listener listener) {
            this.listener = listener;
        }
    }

    CrashingEngine(int index, String service, VirtualClock clock, double streamMillis) {
        this.index = index;
        this.service = service;
        this.clock = clock;
        this.streamMillis = streamMillis;
    }

    UpstreamEntry entry() {
        return new UpstreamEntry("e" + index, service, "10.0.0." + index, 80, "a", 48, false, false, startedAtMillis);
    }

    boolean isUp() {
        return clock.nowMillis() >= downUntilMillis;
    }

    /** Returns an action that cancels the request. */
    Runnable submit(PromptPrefix prefix, double promptMillis, Runnable onBegin, Listener listener) {
        Run run = new Run(listener);
        runs.add(run);
        busyUntilMillis = Math.max(busyUntilMillis, clock.nowMillis()) + promptMillis;
        clock.schedule(busyUntilMillis - clock.nowMillis(), () -> begin(run, onBegin));
        return () -> {
            run.cancelled = true;
            runs.remove(run);
        };
    }

    private void begin(Run run, Runnable onBegin) {
        if (!runs.contains(run) || run.cancelled) {
            return;
        }
        onBegin.run();
        if (!runs.contains(run)) {
            return;
        }
        run.answered = true;
        run.listener.onFirstEvent();
        clock.schedule(streamMillis, () -> {
            if (runs.remove(run)) {
                run.listener.onEnd();
            }
        });
    }

    void crash(double downMillis) {
        startedAtMillis++;
        downUntilMillis = clock.nowMillis() + downMillis;
        busyUntilMillis = downUntilMillis;
        breakConnections();
    }

    void breakConnections() {
        List<Run> broken = new ArrayList<>(runs);
        runs.clear();
        broken.forEach(run -> run.listener.onBroken(run.answered));
    }
}
