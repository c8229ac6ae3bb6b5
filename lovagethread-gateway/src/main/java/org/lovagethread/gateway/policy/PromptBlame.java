package org.lovagethread.gateway.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.lovagethread.gateway.policy.PromptEvidence.CrashTime;
import org.lovagethread.gateway.upstream.Upstream;
import org.lovagethread.gateway.upstream.UpstreamTable;

/**
 * Decides which prompt part the crashes of upstreams are due to.
 *
 * <p>A part that crashes every upstream is in a request at each of several crashes, and no response to it gets further than
 * those that the crashes interrupted, while others of the service do. A sound part is answered soon after a crash, and
 * crashes that strike upstreams for another reason rarely meet the same rare part again and again. A crash that an already
 * blamed part explains counts against no other part.
 */
final class PromptBlame {
    /** Minimum number of episodes for which a part is blamed. */
    private static final int MIN_EPISODES = 3;

    /** Minimum number of episodes for which a part is suspected. */
    private static final int MIN_SUSPICIOUS_EPISODES = 2;

    /** Time from a crash in which further ones belong to the same episode, in milliseconds. */
    private static final long EPISODE_MILLIS = 250;

    /** Minimum time from the first crash to the decision, in which other responses are reported, in milliseconds. */
    private static final long MIN_OBSERVATION_MILLIS = 1_000;

    /** Minimum share of the crashes at which a part that causes crashes is assumed to be in an interrupted request. */
    private static final double MIN_CAUSE_SHARE = 0.5;

    /** Maximum share of the crashes at which a part that causes none is assumed to be in an interrupted request. */
    private static final double MAX_CHANCE_SHARE = 0.99;

    /** Logarithm of the minimum odds against blaming any sound part, of all that are known. */
    private static final double MIN_LOG_ODDS = 8.7;

    private final PromptEvidence evidence;
    private final ResponseLog localResponses;
    private final UpstreamTable upstreams;
    private final Map<Integer, Long> runningUpstreams = new HashMap<>();
    private final Map<CrashTime, Double> sharesOfUpstreams = new HashMap<>();
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

    PromptBlame(
            PromptEvidence evidence, ResponseLog localResponses, UpstreamTable upstreams, Set<String> alreadyBlamed) {
        this.evidence = evidence;
        this.localResponses = localResponses;
        this.upstreams = upstreams;
        alreadyBlamed.forEach(this::blame);
    }

    /** Returns when the latest responses to prompts with the part began and were complete, as far as this gateway knows. */
    static LatestResponses latestResponses(String part, PromptEvidence evidence, ResponseLog localResponses) {
        return localResponses.latest(part).latest(evidence.responses().getOrDefault(part, LatestResponses.NONE));
    }

    /** Returns the parts that were in interrupted requests at crashes in two or more episodes. */
    Set<String> suspectedParts() {
        return suspects().stream().map(Suspect::part).collect(Collectors.toSet());
    }

    private List<Suspect> suspects() {
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
        Comparator<Suspect> latestResponse = Comparator.comparingLong(
                suspect -> latestResponses(suspect.part()).completedMillis());
        return suspects().stream()
                .filter(suspect -> isToBlame(suspect, nowMillis))
                .max(Comparator.comparingInt(
                                (Suspect suspect) -> suspect.crashIds().size())
                        .thenComparing(latestResponse.reversed())
                        .thenComparing(Suspect::part));
    }

    private boolean isToBlame(Suspect suspect, long nowMillis) {
        return suspect.episodes() >= MIN_EPISODES
                && nowMillis - suspect.sinceMillis() >= MIN_OBSERVATION_MILLIS
                && logLikelihoodRatio(suspect, nowMillis) >= MIN_LOG_ODDS + Math.log(knownParts())
                && suspect.crashIds().stream().allMatch(id -> othersGetFurther(suspect, id));
    }

    /** Returns whether responses of the service get further than those that a crash interrupted. */
    private boolean othersGetFurther(Suspect suspect, int crashId) {
        int serviceHash = evidence.crashes().get(crashId).serviceHash();
        return isBegun(suspect.part(), crashId)
                ? localResponses.isCompleting(serviceHash, suspect.sinceMillis())
                : localResponses.isAnswering(serviceHash, suspect.sinceMillis());
    }

    /**
     * Compares how likely the crashes are if the part causes crashes and if they meet parts by chance. A cause is assumed to
     * be at the share of the crashes at which the part was seen, if that is most of them.
     */
    private double logLikelihoodRatio(Suspect suspect, long nowMillis) {
        List<Map.Entry<Integer, CrashTime>> crashes = evidence.crashes().entrySet().stream()
                .filter(entry -> entry.getValue().atMillis() >= suspect.sinceMillis())
                .filter(entry -> !explained.contains(entry.getKey()))
                .toList();
        double causeShare = Math.max(MIN_CAUSE_SHARE, (suspect.crashIds().size() + 1.0) / (crashes.size() + 2.0));
        Map<Integer, Long> crashesByService = new HashMap<>();
        double sum = 0;
        for (var entry : crashes) {
            boolean isInterrupted = suspect.crashIds().contains(entry.getKey());
            CrashTime crash = entry.getValue();
            double crashesOfService = crashesByService.computeIfAbsent(
                    crash.serviceHash(), service -> crashes(service, suspect.sinceMillis(), nowMillis));
            double chanceShare = isBegun(suspect.part(), entry.getKey())
                    ? chanceShareBegun(crash)
                    : chanceShareUnanswered(crash, crashesOfService, nowMillis - suspect.sinceMillis());
            sum += isInterrupted ? Math.log(causeShare / chanceShare) : Math.log((1 - causeShare) / (1 - chanceShare));
        }
        return sum;
    }

    private boolean isBegun(String part, int crashId) {
        return evidence.begun().getOrDefault(part, Set.of()).contains(crashId);
    }

    /**
     * Returns how likely it is that a part that causes no crashes is in a request without an event at a crash. Each of three
     * estimates bounds it: other parts are in such requests, too; the upstream that crashes need not be the one that has the
     * request; and an upstream need not crash just in the time for which a request waits.
     */
    private double chanceShareUnanswered(CrashTime crash, double crashesOfService, long durationMillis) {
        double shareOfParts = Math.max(1, crash.unansweredParts()) / knownParts();
        double crashesPerMilli =
                crashesOfService / (Math.max(1, running(crash)) * Math.max(MIN_OBSERVATION_MILLIS, durationMillis));
        double shareOfWaits =
                crash.longestWaitMillis() > 0 ? 1 - Math.exp(-crashesPerMilli * crash.longestWaitMillis()) : 1;
        return Math.min(MAX_CHANCE_SHARE, Math.min(shareOfParts, Math.min(shareOfUpstreams(crash), shareOfWaits)));
    }

    /** Returns how likely it is that a part that causes no crashes is in any request that a crash interrupts. */
    private double chanceShareBegun(CrashTime crash) {
        double shareOfParts = Math.max(1, crash.interruptedParts()) / knownParts();
        return Math.min(MAX_CHANCE_SHARE, Math.min(shareOfParts, shareOfUpstreams(crash)));
    }

    private double shareOfUpstreams(CrashTime crash) {
        return sharesOfUpstreams.computeIfAbsent(crash, this::computeShareOfUpstreams);
    }

    private double computeShareOfUpstreams(CrashTime crash) {
        double crashing =
                crashes(crash.serviceHash(), crash.atMillis() - EPISODE_MILLIS, crash.atMillis() + EPISODE_MILLIS);
        return crashing / (crashing + running(crash));
    }

    private double running(CrashTime crash) {
        return runningUpstreams.computeIfAbsent(crash.serviceHash(), this::countRunningUpstreams);
    }

    private long crashes(int serviceHash, long fromMillis, long toMillis) {
        return evidence.crashes().values().stream()
                .filter(crash -> crash.serviceHash() == serviceHash
                        && crash.atMillis() >= fromMillis
                        && crash.atMillis() <= toMillis)
                .count();
    }

    private long countRunningUpstreams(int serviceHash) {
        return upstreams.all().stream()
                .map(Upstream::entry)
                .filter(entry -> entry.service().hashCode() == serviceHash
                        && !evidence.crashes().containsKey(CrashLog.idOf(entry)))
                .count();
    }

    private LatestResponses latestResponses(String part) {
        return latestResponses(part, evidence, localResponses);
    }

    private double knownParts() {
        return localResponses.parts() + evidence.suspects().size();
    }

    private Suspect suspect(String part) {
        LatestResponses latest = latestResponses(part);
        List<Integer> crashIds = evidence.suspects().get(part).stream()
                .filter(id -> evidence.crashes().containsKey(id) && !explained.contains(id))
                .filter(id -> !latest.clears(
                        isBegun(part, id), evidence.crashes().get(id).atMillis()))
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
