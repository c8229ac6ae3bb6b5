package org.lovagethread.gateway.policy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** Records the responses to prompts, by prompt part and by service. Not thread-safe. */
public final class ResponseLog {
    private static final int MAX_PARTS = 8_192;

    /** Number of responses that have begun at a service that goes on answering. */
    private static final int BEGINNING_SAMPLES = 5;

    /** Number of complete responses of such a service, of which there are fewer while upstreams crash. */
    private static final int COMPLETION_SAMPLES = 2;

    private final Map<String, LatestResponses> byPart = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, LatestResponses> eldest) {
            return size() > MAX_PARTS;
        }
    };
    private final Map<Integer, Deque<Long>> beginningsByService = new HashMap<>();
    private final Map<Integer, Deque<Long>> completionsByService = new HashMap<>();

    /**
     * Records that a response began.
     *
     * @param service the name of the service
     * @param prefix the parts of the prompt
     * @param nowMillis the current time in milliseconds
     */
    public void recordBeginning(String service, PromptPrefix prefix, long nowMillis) {
        record(prefix, new LatestResponses(nowMillis, LatestResponses.NEVER));
        add(beginningsByService, service, nowMillis, BEGINNING_SAMPLES);
    }

    /**
     * Records that a response has been received completely.
     *
     * @param service the name of the service
     * @param prefix the parts of the prompt
     * @param nowMillis the current time in milliseconds
     */
    public void recordCompletion(String service, PromptPrefix prefix, long nowMillis) {
        record(prefix, new LatestResponses(nowMillis, nowMillis));
        add(completionsByService, service, nowMillis, COMPLETION_SAMPLES);
    }

    private static void add(Map<Integer, Deque<Long>> timesByService, String service, long nowMillis, int samples) {
        Deque<Long> times = timesByService.computeIfAbsent(service.hashCode(), key -> new ArrayDeque<>());
        times.addLast(nowMillis);
        if (times.size() > samples) {
            times.removeFirst();
        }
    }

    private void record(PromptPrefix prefix, LatestResponses responses) {
        prefix.sharedParts().forEach(part -> byPart.merge(part.id(), responses, LatestResponses::latest));
    }

    /**
     * Returns when the latest responses to prompts with a part began and were complete.
     *
     * @param part the identifier of the part
     * @return the times
     */
    public LatestResponses latest(String part) {
        return byPart.getOrDefault(part, LatestResponses.NONE);
    }

    /**
     * Returns the number of different parts.
     *
     * @return the parts of prompts to which responses have begun
     */
    public int parts() {
        return byPart.size();
    }

    /**
     * Returns whether responses of a service go on to begin.
     *
     * @param serviceHash the hash code of the name of the service
     * @param sinceMillis the time in milliseconds since which some must have begun
     * @return true if enough responses have begun
     */
    public boolean isAnswering(int serviceHash, long sinceMillis) {
        return hasSince(beginningsByService.get(serviceHash), BEGINNING_SAMPLES, sinceMillis);
    }

    /**
     * Returns whether responses of a service go on to be complete.
     *
     * @param serviceHash the hash code of the name of the service
     * @param sinceMillis the time in milliseconds since which some must have been completed
     * @return true if enough responses were complete
     */
    public boolean isCompleting(int serviceHash, long sinceMillis) {
        return hasSince(completionsByService.get(serviceHash), COMPLETION_SAMPLES, sinceMillis);
    }

    private static boolean hasSince(Deque<Long> times, int samples, long sinceMillis) {
        return times != null && times.size() == samples && times.getFirst() > sinceMillis;
    }
}
