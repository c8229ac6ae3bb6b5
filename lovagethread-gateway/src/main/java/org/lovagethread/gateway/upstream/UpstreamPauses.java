package org.lovagethread.gateway.upstream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.DoubleSupplier;

/**
 * Stores the pauses that upstreams have requested from this gateway, by process.
 *
 * <p>A paused upstream receives no request, retry or trial. The rule allows two from half a second after the response;
 * requests that are already being sent may still arrive. Not thread-safe.
 */
public final class UpstreamPauses {
    /** Maximum number of decisions that are kept until they are reported. */
    private static final int MAX_UNREPORTED = 200;

    private final Map<String, UpstreamPause> pauseByProcess = new HashMap<>();
    private final List<Decision> unreported = new ArrayList<>();
    private final DoubleSupplier random;
    private long omittedDecisions;

    /** Kinds of decisions about pauses. */
    public enum DecisionKind {
        /** A pause began, or its end was moved. */
        PAUSED("upstream-paused"),
        /** The requested pause changed nothing. */
        UNCHANGED("upstream-pause-unchanged"),
        /** A pause ended; requests return. */
        ENDED("upstream-pause-ended");

        private final String label;

        DecisionKind(String label) {
            this.label = label;
        }

        /**
         * Returns the name for logs.
         *
         * @return the name
         */
        public String label() {
            return label;
        }
    }

    /**
     * A decision about a pause.
     *
     * @param kind the kind of decision
     * @param upstream the upstream
     * @param request the request for the pause; the latest regular one of a pause that ended
     * @param remainingMillis the remaining duration of the pause, in milliseconds
     */
    public record Decision(DecisionKind kind, UpstreamEntry upstream, PauseRequest request, long remainingMillis) {}

    /**
     * Creates a table without pauses.
     *
     * @param random returns random numbers from zero to one
     */
    public UpstreamPauses(DoubleSupplier random) {
        this.random = random;
    }

    /**
     * Applies a pause that an upstream has requested.
     *
     * @param upstream the upstream that rejected a request
     * @param request the requested pause
     * @param sentMillis when the rejected request was sent, in milliseconds
     * @param nowMillis the current time in milliseconds
     */
    public void record(UpstreamEntry upstream, PauseRequest request, long sentMillis, long nowMillis) {
        UpstreamPause pause =
                pauseByProcess.computeIfAbsent(upstream.process(), key -> new UpstreamPause(upstream, nowMillis));
        boolean changed = pause.request(
                request.pauseMillis(), request.form().mayShorten() ? sentMillis : Long.MIN_VALUE, nowMillis);
        report(new Decision(
                changed ? DecisionKind.PAUSED : DecisionKind.UNCHANGED,
                upstream,
                request,
                pause.endMillis() - nowMillis));
    }

    /**
     * Returns whether an upstream is paused.
     *
     * @param upstream the upstream
     * @param nowMillis the current time in milliseconds
     * @return true before the end of its pause
     */
    public boolean isPaused(UpstreamEntry upstream, long nowMillis) {
        if (pauseByProcess.isEmpty()) {
            return false;
        }
        UpstreamPause pause = pauseByProcess.get(upstream.process());
        return pause != null && pause.isPaused(nowMillis);
    }

    /**
     * Returns whether an upstream is paused for at least some time.
     *
     * @param upstream the upstream
     * @param durationMillis the time in milliseconds
     * @param nowMillis the current time in milliseconds
     * @return true if its pause ends later
     */
    public boolean isPausedFor(UpstreamEntry upstream, long durationMillis, long nowMillis) {
        return isPaused(upstream, nowMillis + durationMillis);
    }

    /**
     * Returns the upstreams that are not paused.
     *
     * @param upstreams the upstreams
     * @param nowMillis the current time in milliseconds
     * @return the upstreams in the same order
     */
    public List<Upstream> withoutPaused(List<Upstream> upstreams, long nowMillis) {
        if (pauseByProcess.isEmpty()) {
            return upstreams;
        }
        return upstreams.stream()
                .filter(upstream -> !isPaused(upstream.entry(), nowMillis))
                .toList();
    }

    /**
     * Returns the upstreams to which one request may be sent. Upstreams to which requests are returning are included for
     * an increasing share of the requests, and for all if there is no other upstream.
     *
     * @param upstreams the upstreams that accept requests
     * @param excluded the identifiers of the upstreams to which the request has already been sent
     * @param nowMillis the current time in milliseconds
     * @return the candidates in the same order
     */
    public List<Upstream> candidates(List<Upstream> upstreams, Set<String> excluded, long nowMillis) {
        if (pauseByProcess.isEmpty()) {
            return upstreams;
        }
        List<Upstream> open = withoutPaused(upstreams, nowMillis);
        List<Upstream> admitted = open.stream()
                .filter(upstream -> isAdmitted(upstream.entry(), nowMillis))
                .toList();
        boolean hasChoice = admitted.stream()
                .anyMatch(upstream -> !excluded.contains(upstream.entry().id()));
        return hasChoice ? admitted : open;
    }

    /**
     * Returns the time after which a request should be sent again if all upstreams are paused. It is spread over the
     * time in which requests return to the upstream whose pause ends first.
     *
     * @param upstreams the upstreams that accept requests
     * @param nowMillis the current time in milliseconds
     * @return the time in milliseconds; empty if there is no upstream, or one is not paused
     */
    public OptionalLong retryAfterMillis(List<Upstream> upstreams, long nowMillis) {
        UpstreamPause first = null;
        for (Upstream upstream : upstreams) {
            UpstreamPause pause = pauseByProcess.get(upstream.entry().process());
            if (pause == null || !pause.isPaused(nowMillis)) {
                return OptionalLong.empty();
            }
            first = first == null || pause.endMillis() < first.endMillis() ? pause : first;
        }
        if (first == null) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(first.endMillis() - nowMillis + (long) (random.getAsDouble() * first.returnMillis()));
    }

    /**
     * Returns the number of paused processes by service.
     *
     * @param upstreams the known upstreams
     * @param nowMillis the current time in milliseconds
     * @return the numbers by the name of the service; zero for services without paused upstreams
     */
    public Map<String, Integer> pausedByService(Collection<Upstream> upstreams, long nowMillis) {
        Map<String, Integer> counts = new TreeMap<>();
        for (Upstream upstream : upstreams) {
            counts.merge(upstream.entry().service(), isPaused(upstream.entry(), nowMillis) ? 1 : 0, Integer::sum);
        }
        return counts;
    }

    /**
     * Removes the pauses that have ended.
     *
     * @param nowMillis the current time in milliseconds
     */
    public void expire(long nowMillis) {
        pauseByProcess.values().removeIf(pause -> {
            boolean over = pause.isOver(nowMillis);
            if (over) {
                report(new Decision(DecisionKind.ENDED, pause.upstream(), PauseRequest.ofSeconds(0), 0));
            }
            return over;
        });
    }

    /**
     * Returns the decisions since the last call.
     *
     * @return the decisions in their order
     */
    public List<Decision> takeUnreported() {
        List<Decision> decisions = List.copyOf(unreported);
        unreported.clear();
        return decisions;
    }

    /**
     * Returns the number of decisions that were not kept because too many were unreported.
     *
     * @return the number since the gateway was started
     */
    public long omittedDecisions() {
        return omittedDecisions;
    }

    private boolean isAdmitted(UpstreamEntry upstream, long nowMillis) {
        UpstreamPause pause = pauseByProcess.get(upstream.process());
        return pause == null || random.getAsDouble() < pause.admittedShare(nowMillis);
    }

    private void report(Decision decision) {
        if (unreported.size() < MAX_UNREPORTED) {
            unreported.add(decision);
        } else {
            omittedDecisions++;
        }
    }
}
