package org.lovagethread.gateway.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.lovagethread.gateway.policy.PromptEvidence.CrashTime;

/**
 * Decides which prompt part the crashes of upstreams are due to.
 *
 * <p>A part that crashes every upstream is unanswered at each of several crashes while the service goes on answering
 * other prompts. A sound part is answered soon after a crash, and crashes that strike upstreams for another reason rarely
 * meet the same rare part again and again. A crash that an already blamed part explains counts against no other part.
 */
final class PromptBlame {
    /** Minimum number of episodes for which a part is blamed. */
    private static final int MIN_EPISODES = 3;

    /** Minimum number of episodes for which a part is suspected. */
    private static final int MIN_SUSPICIOUS_EPISODES = 2;

    /** Time from a crash in which further ones belong to the same episode, in milliseconds. */
    private static final long EPISODE_MILLIS = 250;

    /** Minimum time from the first crash to the decision, in which first events are reported, in milliseconds. */
    private static final long MIN_OBSERVATION_MILLIS = 1_000;

    /** Share of the crashes at which a part that causes crashes is assumed to be unanswered. */
    private static final double CAUSE_SHARE = 0.5;

    /** Maximum share of the crashes at which a part that causes none is assumed to be unanswered. */
    private static final double MAX_CHANCE_SHARE = 0.99;

    /** Minimum logarithm of the likelihood ratio for which a part is blamed. */
    private static final double MIN_LOG_LIKELIHOOD_RATIO = 14;

    private final PromptEvidence evidence;
    private final FirstEventLog localFirstEvents;
    private final Set<Integer> explained = new HashSet<>();
    private final Set<String> blamed = new HashSet<>();

    /**
     * A part and the crashes for which it may be responsible.
     *
     * @param part the identifier of the part
     * @param crashIds the crashes in the order of their times
     * @param sinceMillis the time of the first one, in milliseconds
     * @param episodes the number of episodes in which they occurred
     */
    record Suspect(String part, List<Integer> crashIds, long sinceMillis, int episodes) {}

    PromptBlame(PromptEvidence evidence, FirstEventLog localFirstEvents, Set<String> alreadyBlamed) {
        this.evidence = evidence;
        this.localFirstEvents = localFirstEvents;
        alreadyBlamed.forEach(this::blame);
    }

    /** Returns when the latest response to a prompt with the part began, as far as this gateway knows. */
    static long latestFirstEvent(String part, PromptEvidence evidence, FirstEventLog localFirstEvents) {
        return Math.max(localFirstEvents.latest(part), evidence.firstEvents().getOrDefault(part, FirstEventLog.NEVER));
    }

    /** Returns the parts that have been unanswered at crashes in two or more episodes. */
    List<Suspect> suspects() {
        return evidence.suspects().keySet().stream()
                .filter(part -> !blamed.contains(part))
                .map(this::suspect)
                .filter(suspect -> suspect.episodes() >= MIN_SUSPICIOUS_EPISODES)
                .toList();
    }

    /**
     * Blames the parts that meet the criteria, the one that explains most crashes first.
     *
     * @return the newly blamed parts
     */
    List<Suspect> blame(long nowMillis) {
        List<Suspect> newlyBlamed = new ArrayList<>();
        Optional<Suspect> next = mostSuspicious(nowMillis);
        while (next.isPresent()) {
            newlyBlamed.add(next.get());
            blame(next.get().part());
            next = mostSuspicious(nowMillis);
        }
        return newlyBlamed;
    }

    private void blame(String part) {
        blamed.add(part);
        explained.addAll(evidence.suspects().getOrDefault(part, Set.of()));
    }

    private Optional<Suspect> mostSuspicious(long nowMillis) {
        Comparator<Suspect> latestAnswer =
                Comparator.comparingLong(suspect -> latestFirstEvent(suspect.part(), evidence, localFirstEvents));
        return suspects().stream()
                .filter(suspect -> isToBlame(suspect, nowMillis))
                .max(Comparator.comparingInt(
                                (Suspect suspect) -> suspect.crashIds().size())
                        .thenComparing(latestAnswer.reversed())
                        .thenComparing(Suspect::part));
    }

    private boolean isToBlame(Suspect suspect, long nowMillis) {
        return suspect.episodes() >= MIN_EPISODES
                && nowMillis - suspect.sinceMillis() >= MIN_OBSERVATION_MILLIS
                && logLikelihoodRatio(suspect) >= MIN_LOG_LIKELIHOOD_RATIO
                && suspect.crashIds().stream()
                        .allMatch(id -> localFirstEvents.isAnswering(
                                evidence.crashes().get(id).serviceHash(), suspect.sinceMillis()));
    }

    /**
     * Compares how likely the crashes are if the part causes crashes and if they meet parts by chance. By chance a part is
     * unanswered at a crash the more often, the more of all parts are.
     */
    private double logLikelihoodRatio(Suspect suspect) {
        double parts = localFirstEvents.parts() + evidence.suspects().size();
        double sum = 0;
        for (var entry : evidence.crashes().entrySet()) {
            CrashTime crash = entry.getValue();
            if (crash.atMillis() < suspect.sinceMillis() || explained.contains(entry.getKey())) {
                continue;
            }
            double chanceShare = Math.min(MAX_CHANCE_SHARE, Math.max(1, crash.unansweredParts()) / parts);
            sum += suspect.crashIds().contains(entry.getKey())
                    ? Math.log(CAUSE_SHARE / chanceShare)
                    : Math.log((1 - CAUSE_SHARE) / (1 - chanceShare));
        }
        return sum;
    }

    private Suspect suspect(String part) {
        long answeredMillis = latestFirstEvent(part, evidence, localFirstEvents);
        List<Integer> crashIds = evidence.suspects().get(part).stream()
                .filter(id -> evidence.crashes().containsKey(id) && !explained.contains(id))
                .filter(id -> evidence.crashes().get(id).atMillis() > answeredMillis)
                .sorted(Comparator.comparingLong(
                        (Integer id) -> evidence.crashes().get(id).atMillis()))
                .toList();
        int episodes = 0;
        long episodeEndMillis = Long.MIN_VALUE;
        for (int id : crashIds) {
            long atMillis = evidence.crashes().get(id).atMillis();
            if (atMillis >= episodeEndMillis) {
                episodes++;
                episodeEndMillis = atMillis + EPISODE_MILLIS;
            }
        }
        long sinceMillis = crashIds.isEmpty()
                ? Long.MAX_VALUE
                : evidence.crashes().get(crashIds.get(0)).atMillis();
        return new Suspect(part, crashIds, sinceMillis, episodes);
    }
}
