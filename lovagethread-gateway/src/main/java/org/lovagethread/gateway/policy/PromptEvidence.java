package org.lovagethread.gateway.policy;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * What one or several gateways know about prompts that crash upstreams. Times are those of the clock of this gateway.
 *
 * @param crashes the recent crashes by identifier
 * @param suspects the crashes, by prompt part, that interrupted a request with the part
 * @param begun those of the crashes of a part that interrupted a response which had begun
 * @param responses the latest responses to prompts with a suspected or quarantined part
 * @param quarantines the quarantined parts
 * @param refutedCrashes the crashes whose upstreams have sent data since, so that they have not crashed
 */
public record PromptEvidence(
        Map<Integer, CrashTime> crashes,
        Map<String, Set<Integer>> suspects,
        Map<String, Set<Integer>> begun,
        Map<String, LatestResponses> responses,
        Map<String, Quarantine> quarantines,
        Set<Integer> refutedCrashes) {
    /** No evidence. */
    public static final PromptEvidence NONE =
            new PromptEvidence(Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), Set.of());

    /**
     * A crash of an upstream.
     *
     * @param atMillis when its first connection broke, in milliseconds
     * @param serviceHash the hash code of the name of its service
     * @param interruptedParts the number of prompt parts in the requests that it interrupted
     * @param unansweredParts the number of prompt parts in those of the requests that had received no event
     * @param longestWaitMillis the longest time for which such a request had waited, in milliseconds; zero if unknown
     */
    public record CrashTime(
            long atMillis, int serviceHash, int interruptedParts, int unansweredParts, long longestWaitMillis) {
        private CrashTime plus(CrashTime other) {
            return new CrashTime(
                    Math.min(atMillis, other.atMillis),
                    serviceHash,
                    interruptedParts + other.interruptedParts,
                    unansweredParts + other.unansweredParts,
                    Math.max(longestWaitMillis, other.longestWaitMillis));
        }
    }

    /**
     * The quarantine of a part.
     *
     * @param sinceMillis the time of the first crash for which it is blamed, in milliseconds
     * @param deadlineMillis when the quarantine ends unless another request with the part arrives, in milliseconds
     */
    public record Quarantine(long sinceMillis, long deadlineMillis) {}

    /**
     * Returns evidence that can be added to.
     *
     * @return no evidence
     */
    public static PromptEvidence empty() {
        return new PromptEvidence(
                new HashMap<>(), new HashMap<>(), new HashMap<>(), new HashMap<>(), new HashMap<>(), new HashSet<>());
    }

    /**
     * Combines evidence.
     *
     * @param sources the evidence of each source
     * @return the union, with the earliest time of each crash, the sums of their parts, and the latest times of responses and deadlines
     */
    public static PromptEvidence merge(Collection<PromptEvidence> sources) {
        PromptEvidence merged = empty();
        for (PromptEvidence source : sources) {
            source.crashes.forEach((id, crash) -> merged.crashes.merge(id, crash, CrashTime::plus));
            source.suspects.forEach((part, ids) -> merged.suspects
                    .computeIfAbsent(part, key -> new HashSet<>())
                    .addAll(ids));
            source.begun.forEach((part, ids) ->
                    merged.begun.computeIfAbsent(part, key -> new HashSet<>()).addAll(ids));
            source.responses.forEach((part, latest) -> merged.responses.merge(part, latest, LatestResponses::latest));
            source.quarantines.forEach(
                    (part, quarantine) -> merged.quarantines.merge(part, quarantine, PromptEvidence::longer));
            merged.refutedCrashes.addAll(source.refutedCrashes);
        }
        return merged;
    }

    /**
     * Removes what is no longer in force.
     *
     * @param nowMillis the current time in milliseconds
     * @return the evidence without old crashes and ended quarantines
     */
    public PromptEvidence unexpired(long nowMillis) {
        return new PromptEvidence(
                filter(crashes, crash -> nowMillis < crash.atMillis() + CrashLog.RETENTION_MILLIS),
                suspects,
                begun,
                responses,
                filter(quarantines, quarantine -> nowMillis < quarantine.deadlineMillis()),
                refutedCrashes);
    }

    private static <K, V> Map<K, V> filter(Map<K, V> map, Predicate<V> predicate) {
        Map<K, V> filtered = new HashMap<>();
        map.forEach((key, value) -> {
            if (predicate.test(value)) {
                filtered.put(key, value);
            }
        });
        return filtered;
    }

    private static Quarantine longer(Quarantine first, Quarantine second) {
        return first.deadlineMillis() >= second.deadlineMillis() ? first : second;
    }
}
