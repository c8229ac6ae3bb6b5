package org.lovagethread.gateway.policy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** Records when responses began, by prompt part and by service. Not thread-safe. */
public final class FirstEventLog {
    /** Time of a part whose responses have never begun. */
    public static final long NEVER = Long.MIN_VALUE;

    private static final int MAX_PARTS = 8_192;

    private final int samplesPerService;
    private final Map<String, Long> latestByPart = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_PARTS;
        }
    };
    private final Map<Integer, Deque<Long>> latestByService = new HashMap<>();

    /**
     * Creates a log.
     *
     * @param samplesPerService the number of first events whose times are kept for each service
     */
    public FirstEventLog(int samplesPerService) {
        this.samplesPerService = samplesPerService;
    }

    /**
     * Records a first event.
     *
     * @param service the name of the service
     * @param prefix the parts of the prompt
     * @param nowMillis the current time in milliseconds
     */
    public void record(String service, PromptPrefix prefix, long nowMillis) {
        prefix.sharedParts().forEach(part -> latestByPart.put(part.id(), nowMillis));
        Deque<Long> latest = latestByService.computeIfAbsent(service.hashCode(), key -> new ArrayDeque<>());
        latest.addLast(nowMillis);
        if (latest.size() > samplesPerService) {
            latest.removeFirst();
        }
    }

    /**
     * Returns when the latest response to a prompt with a part began.
     *
     * @param part the identifier of the part
     * @return the time in milliseconds, or {@link #NEVER}
     */
    public long latest(String part) {
        return latestByPart.getOrDefault(part, NEVER);
    }

    /**
     * Returns the number of different parts.
     *
     * @return the parts of prompts to which responses have begun
     */
    public int parts() {
        return latestByPart.size();
    }

    /**
     * Returns whether as many responses as are kept have begun at a service since a time.
     *
     * @param serviceHash the hash code of the name of the service
     * @param sinceMillis the time in milliseconds
     * @return true if the service keeps answering
     */
    public boolean isAnswering(int serviceHash, long sinceMillis) {
        Deque<Long> latest = latestByService.get(serviceHash);
        return latest != null && latest.size() == samplesPerService && latest.getFirst() > sinceMillis;
    }
}
