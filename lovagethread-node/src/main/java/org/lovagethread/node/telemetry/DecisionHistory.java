package org.lovagethread.node.telemetry;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The decisions about the most recent requests, for the explanation of a request to operators. */
public final class DecisionHistory {
    private static final int MAX_DECISIONS_PER_REQUEST = 200;
    private static final int MAX_REQUESTS = 2_000;

    private final Map<String, List<Decision>> decisionsByRequest = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, List<Decision>> eldest) {
            return size() > MAX_REQUESTS;
        }
    };

    /**
     * One decision about a request.
     *
     * @param atMillis the time in milliseconds since the epoch
     * @param callId the identifier of the call on this node
     * @param decision the decision
     * @param detail further details; may be empty
     */
    public record Decision(long atMillis, long callId, String decision, String detail) {}

    /**
     * Returns the decisions about a request.
     *
     * @param requestId the identifier that the caller assigned to the request
     * @return the decisions, oldest first; empty if the history does not contain the request
     */
    public synchronized List<Decision> decisionsFor(String requestId) {
        return List.copyOf(decisionsByRequest.getOrDefault(requestId, List.of()));
    }

    /**
     * Adds a decision unless the maximum number of decisions about the request is reached.
     *
     * @param requestId the identifier that the caller assigned to the request
     * @param decision the decision
     */
    public synchronized void add(String requestId, Decision decision) {
        List<Decision> decisions = decisionsByRequest.computeIfAbsent(requestId, id -> new ArrayList<>());
        if (decisions.size() < MAX_DECISIONS_PER_REQUEST) {
            decisions.add(decision);
        }
    }
}
