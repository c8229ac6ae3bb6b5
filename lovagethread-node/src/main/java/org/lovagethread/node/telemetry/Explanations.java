package org.lovagethread.node.telemetry;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Keeps the decisions about the latest requests, for operators who ask why. */
public final class Explanations {
    private static final int MOST_DECISIONS = 200;
    private static final int MOST_REQUESTS = 2_000;

    private final Map<String, List<Decision>> requests = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, List<Decision>> eldest) {
            return size() > MOST_REQUESTS;
        }
    };

    /**
     * One decision about a request.
     *
     * @param atMillis the time in milliseconds since the epoch
     * @param callId the number of the call on this node
     * @param decision the decision
     * @param detail more about it; may be empty
     */
    public record Decision(long atMillis, long callId, String decision, String detail) {}

    /**
     * Returns the decisions about a request.
     *
     * @param requestId the caller's identifier of the request
     * @return the decisions, oldest first; empty if the request is not known any more
     */
    public synchronized List<Decision> of(String requestId) {
        return List.copyOf(requests.getOrDefault(requestId, List.of()));
    }

    /**
     * Adds a decision.
     *
     * @param requestId the caller's identifier of the request
     * @param decision the decision
     */
    public synchronized void add(String requestId, Decision decision) {
        List<Decision> known = requests.computeIfAbsent(requestId, id -> new ArrayList<>());
        if (known.size() < MOST_DECISIONS) {
            known.add(decision);
        }
    }
}
