package org.lovagethread.gateway.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.lovagethread.gateway.policy.PromptEvidence.CrashTime;
import org.lovagethread.gateway.policy.PromptEvidence.Quarantine;
import org.lovagethread.gateway.upstream.Upstream;
import org.lovagethread.gateway.upstream.UpstreamEntry;
import org.lovagethread.gateway.upstream.UpstreamTable;

/**
 * Keeps prompt parts that crash upstreams away from them. Not thread-safe.
 *
 * <p>Each gateway reports its own evidence to its peers and decides by the evidence of all. The decision of one gateway is
 * adopted by the others. A quarantine ends some time after the latest request with the part, or as soon as a response to
 * such a request begins.
 */
public final class PromptQuarantine {
    /** Time for which a quarantine outlasts the latest request with the part, in milliseconds. */
    public static final long QUARANTINE_MILLIS = 60_000;

    /** Maximum number of crashes and of parts in a report. */
    private static final int MAX_REPORTED = 64;

    private final CrashLog crashLog = new CrashLog();
    private final ResponseLog responses = new ResponseLog();
    private final Map<String, Quarantine> localQuarantines = new HashMap<>();
    private final Map<String, Received> evidenceByPeer = new HashMap<>();
    private PromptEvidence total = PromptEvidence.NONE;
    private Set<Integer> refutedCrashes = Set.of();
    private Map<String, Quarantine> active = Map.of();
    private Set<String> suspected = Set.of();

    /** Kinds of changes of a part's state. */
    public enum ChangeKind {
        /** Requests with the part were interrupted by crashes in two or more episodes. */
        SUSPECTED("prompt-part-suspected"),
        /** Requests with the part are refused from now on. */
        QUARANTINED("prompt-part-quarantined"),
        /** Requests with the part are accepted again. */
        RELEASED("prompt-part-released");

        private final String label;

        ChangeKind(String label) {
            this.label = label;
        }

        /**
         * Returns the name of the change in the log.
         *
         * @return the name of the event
         */
        public String label() {
            return label;
        }
    }

    /**
     * A change of a part's state.
     *
     * @param kind the kind of change
     * @param part the identifier of the part
     * @param crashIds the crashes with which the part is connected
     */
    public record Change(ChangeKind kind, String part, Set<Integer> crashIds) {}

    private record Received(PromptEvidence evidence, long expiryMillis) {}

    /**
     * Returns the crashes that this gateway noticed.
     *
     * @return the log of crashes
     */
    public CrashLog crashLog() {
        return crashLog;
    }

    /**
     * Records that the connection of a request broke.
     *
     * @param upstream the upstream
     * @param prefix the parts of the prompt
     * @param answered whether the request had received an event
     * @param sentMillis when the request was sent, in milliseconds
     * @param nowMillis the current time in milliseconds
     */
    public void recordBreak(
            UpstreamEntry upstream, PromptPrefix prefix, boolean answered, long sentMillis, long nowMillis) {
        crashLog.recordBreak(upstream, prefix, answered, sentMillis, nowMillis);
    }

    /**
     * Records that the response to a request began, which does not show yet that its parts are sound.
     *
     * @param service the name of the service
     * @param prefix the parts of the prompt
     * @param nowMillis the current time in milliseconds
     */
    public void recordBeginning(String service, PromptPrefix prefix, long nowMillis) {
        responses.recordBeginning(service, prefix, nowMillis);
    }

    /**
     * Records that the response to a request is complete, which shows that its parts are sound.
     *
     * @param service the name of the service
     * @param prefix the parts of the prompt
     * @param nowMillis the current time in milliseconds
     */
    public void recordCompletion(String service, PromptPrefix prefix, long nowMillis) {
        responses.recordCompletion(service, prefix, nowMillis);
    }

    /**
     * Returns whether requests with a prompt are refused.
     *
     * @param prefix the parts of the prompt
     * @return true if a shared part is quarantined
     */
    public boolean isQuarantined(PromptPrefix prefix) {
        return !active.isEmpty() && prefix.sharedParts().stream().anyMatch(part -> active.containsKey(part.id()));
    }

    /**
     * Returns whether a prompt may have crashed upstreams repeatedly, so that it should not be retried.
     *
     * @param prefix the parts of the prompt
     * @return true if a shared part is quarantined or has been in requests at repeated crashes
     */
    public boolean isSuspected(PromptPrefix prefix) {
        return isQuarantined(prefix)
                || (!suspected.isEmpty()
                        && prefix.sharedParts().stream().anyMatch(part -> suspected.contains(part.id())));
    }

    /**
     * Prolongs the quarantine of the parts of a refused request.
     *
     * @param prefix the parts of the prompt
     * @param nowMillis the current time in milliseconds
     */
    public void recordRefusal(PromptPrefix prefix, long nowMillis) {
        for (PromptPrefix.Part part : prefix.sharedParts()) {
            Quarantine quarantine = active.get(part.id());
            if (quarantine != null) {
                localQuarantines.put(
                        part.id(), new Quarantine(quarantine.sinceMillis(), nowMillis + QUARANTINE_MILLIS));
            }
        }
    }

    /**
     * Replaces the evidence of a peer.
     *
     * @param peer the name of the peer
     * @param evidence what the peer reported
     * @param nowMillis the current time in milliseconds
     */
    public void updatePeer(String peer, PromptEvidence evidence, long nowMillis) {
        evidenceByPeer.put(peer, new Received(evidence, nowMillis + CrashLog.RETENTION_MILLIS));
    }

    /**
     * Returns the evidence of this gateway alone.
     *
     * @param nowMillis the current time in milliseconds
     * @return the evidence to report to peers
     */
    public PromptEvidence localEvidence(long nowMillis) {
        return limited(collectLocal().unexpired(nowMillis));
    }

    /**
     * Returns the evidence of this gateway and of some peers.
     *
     * @param isIncluded selects peers by name
     * @param nowMillis the current time in milliseconds
     * @return the combined evidence
     */
    public PromptEvidence combinedEvidence(Predicate<String> isIncluded, long nowMillis) {
        return limited(combine(isIncluded, nowMillis));
    }

    /**
     * Returns the evidence that must outlive all gateways: that against the parts that are suspected or quarantined.
     *
     * @param nowMillis the current time in milliseconds
     * @return the evidence of all gateways, as of the latest evaluation
     */
    public PromptEvidence durableEvidence(long nowMillis) {
        Set<String> parts = new HashSet<>(suspected);
        parts.addAll(active.keySet());
        Map<String, Set<Integer>> suspects = new HashMap<>(total.suspects());
        suspects.keySet().retainAll(parts);
        Map<String, LatestResponses> latest = new HashMap<>(total.responses());
        latest.keySet().retainAll(parts);
        Map<Integer, CrashTime> crashes = parts.isEmpty() ? Map.of() : total.crashes();
        return limited(new PromptEvidence(crashes, suspects, total.begun(), latest, active, refutedCrashes)
                .unexpired(nowMillis));
    }

    /**
     * Evaluates the evidence.
     *
     * @param upstreams the known upstreams
     * @param nowMillis the current time in milliseconds
     * @return the changes since the latest call
     */
    public List<Change> evaluate(UpstreamTable upstreams, long nowMillis) {
        crashLog.update(upstreams, nowMillis);
        localQuarantines.values().removeIf(quarantine -> nowMillis >= quarantine.deadlineMillis());
        evidenceByPeer.values().removeIf(received -> nowMillis >= received.expiryMillis());
        total = combine(peer -> true, nowMillis);
        refutedCrashes = findRefutedCrashes(upstreams);
        total.crashes().keySet().removeAll(refutedCrashes);
        total.crashes().keySet().removeAll(total.refutedCrashes());
        crashLog.exonerate(this::latestResponses);
        localQuarantines.entrySet().removeIf(entry -> isVoid(entry.getKey(), entry.getValue()));
        Map<String, Quarantine> newlyActive = new HashMap<>(total.quarantines());
        newlyActive.entrySet().removeIf(entry -> isVoid(entry.getKey(), entry.getValue()));
        PromptBlame blame = new PromptBlame(total, responses, upstreams, newlyActive.keySet());
        for (PromptBlame.Suspect suspect : blame.blame(nowMillis)) {
            Quarantine quarantine = new Quarantine(suspect.sinceMillis(), nowMillis + QUARANTINE_MILLIS);
            localQuarantines.put(suspect.part(), quarantine);
            newlyActive.put(suspect.part(), quarantine);
        }
        Set<String> newlySuspected = blame.suspectedParts();
        List<Change> changes = changes(newlyActive.keySet(), newlySuspected);
        active = newlyActive;
        suspected = newlySuspected;
        return changes;
    }

    /**
     * Returns the quarantined parts.
     *
     * @return the identifiers of the parts
     */
    public Set<String> quarantinedParts() {
        return active.keySet();
    }

    private List<Change> changes(Set<String> newlyActive, Set<String> newlySuspected) {
        Stream<Change> quarantined = newlyActive.stream()
                .filter(part -> !active.containsKey(part))
                .map(part -> change(ChangeKind.QUARANTINED, part));
        Stream<Change> released = active.keySet().stream()
                .filter(part -> !newlyActive.contains(part))
                .map(part -> change(ChangeKind.RELEASED, part));
        Stream<Change> becameSuspected = newlySuspected.stream()
                .filter(part -> !suspected.contains(part))
                .map(part -> change(ChangeKind.SUSPECTED, part));
        return Stream.of(becameSuspected, quarantined, released)
                .flatMap(changes -> changes)
                .toList();
    }

    private Change change(ChangeKind kind, String part) {
        return new Change(kind, part, Set.copyOf(total.suspects().getOrDefault(part, Set.of())));
    }

    private boolean isVoid(String part, Quarantine quarantine) {
        return latestResponses(part).clears(true, quarantine.sinceMillis());
    }

    private LatestResponses latestResponses(String part) {
        return PromptBlame.latestResponses(part, total, responses);
    }

    private PromptEvidence combine(Predicate<String> isIncluded, long nowMillis) {
        Collection<PromptEvidence> sources = new ArrayList<>();
        sources.add(collectLocal());
        evidenceByPeer.forEach((peer, received) -> {
            if (isIncluded.test(peer)) {
                sources.add(received.evidence());
            }
        });
        return PromptEvidence.merge(sources).unexpired(nowMillis);
    }

    private PromptEvidence collectLocal() {
        PromptEvidence local = PromptEvidence.empty();
        local.quarantines().putAll(localQuarantines);
        local.refutedCrashes().addAll(refutedCrashes);
        for (CrashLog.Crash crash : crashLog.crashes()) {
            local.crashes()
                    .put(
                            crash.id(),
                            new CrashTime(
                                    crash.atMillis(),
                                    crash.upstream().service().hashCode(),
                                    crash.interruptedParts().size(),
                                    crash.unansweredParts().size(),
                                    crash.longestWaitMillis()));
            for (String part : crash.suspectedParts()) {
                local.suspects().computeIfAbsent(part, key -> new HashSet<>()).add(crash.id());
                if (crash.begunParts().contains(part)) {
                    local.begun().computeIfAbsent(part, key -> new HashSet<>()).add(crash.id());
                }
            }
        }
        Stream.concat(total.suspects().keySet().stream(), total.quarantines().keySet().stream())
                .filter(part -> !responses.latest(part).equals(LatestResponses.NONE))
                .forEach(part -> local.responses().put(part, responses.latest(part)));
        return local;
    }

    /** Returns the crashes of incarnations from which this gateway has received data since. */
    private Set<Integer> findRefutedCrashes(UpstreamTable upstreams) {
        Set<Integer> refuted = new HashSet<>();
        for (Upstream upstream : upstreams.all()) {
            int id = CrashLog.idOf(upstream.entry());
            CrashTime crash = total.crashes().get(id);
            if (crash != null && upstream.lastReceivedMillis() > crash.atMillis() + CrashLog.SETTLING_MILLIS) {
                refuted.add(id);
            }
        }
        return refuted;
    }

    /** Limits the evidence to the newest crashes and to the parts that explain most of them. */
    private static PromptEvidence limited(PromptEvidence evidence) {
        Map<Integer, CrashTime> crashes = evidence.crashes().entrySet().stream()
                .sorted(Comparator.comparingLong((Map.Entry<Integer, CrashTime> entry) ->
                                entry.getValue().atMillis())
                        .reversed())
                .limit(MAX_REPORTED)
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
        Map<String, Set<Integer>> suspects = evidence.suspects().entrySet().stream()
                .sorted(Comparator.comparingInt((Map.Entry<String, Set<Integer>> entry) ->
                                entry.getValue().size())
                        .reversed())
                .limit(MAX_REPORTED)
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
        Map<String, Set<Integer>> begun = new HashMap<>(evidence.begun());
        begun.keySet().retainAll(suspects.keySet());
        Map<String, LatestResponses> responses = evidence.responses().entrySet().stream()
                .sorted(Comparator.comparingLong((Map.Entry<String, LatestResponses> entry) ->
                                entry.getValue().begunMillis())
                        .reversed())
                .limit(MAX_REPORTED)
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
        return new PromptEvidence(
                crashes, suspects, begun, responses, evidence.quarantines(), evidence.refutedCrashes());
    }
}
