package org.lovagethread.core.upstream;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.lovagethread.core.call.AttemptOutcome;
import org.lovagethread.core.member.LeavingUpstream;
import org.lovagethread.core.status.NodeStatus;

/**
 * Table of the upstreams from the instance list, with their load and leaving marks.
 *
 * <p>An upstream that is marked as leaving receives no new attempts, even if a stale source still lists it as live. The
 * mark is retained for {@link #LEAVING_RETENTION_MILLIS} after the reclaim deadline, which exceeds the lag of the
 * instance list.
 */
public final class UpstreamTable {
    /** Time for which a leaving mark is retained after the reclaim deadline, in milliseconds. */
    public static final long LEAVING_RETENTION_MILLIS = 600_000;

    /** Assumed time until the reclaim of an upstream that the instance list shows as leaving, in milliseconds. */
    private static final long DEFAULT_LEAVING_DEADLINE_MILLIS = 30_000;

    private final TreeMap<String, Upstream> upstreams = new TreeMap<>();
    private final TreeMap<String, Long> leavingUpstreams = new TreeMap<>();
    private long attemptCount;

    /**
     * Returns the upstreams that are eligible for a new attempt of a service.
     *
     * @param service the name of the service
     * @param excluded identifiers of upstreams to exclude
     * @return the upstreams, ordered by identifier; empty if there are none
     */
    public List<Upstream> candidates(String service, Set<String> excluded) {
        List<Upstream> found = new ArrayList<>();
        for (Upstream upstream : upstreams.values()) {
            boolean eligible = upstream.info().service().equals(service)
                    && !leavingUpstreams.containsKey(upstream.id())
                    && !excluded.contains(upstream.id());
            if (eligible) {
                found.add(upstream);
            }
        }
        return found;
    }

    /**
     * Records the end of an attempt.
     *
     * @param id the identifier of the upstream; an unknown one is ignored
     * @param outcome how the attempt ended
     * @param nowMillis the current time in milliseconds since the epoch
     */
    public void recordEnd(String id, AttemptOutcome outcome, long nowMillis) {
        Upstream upstream = upstreams.get(id);
        if (upstream == null) {
            return;
        }
        upstream.recordEnd();
        if (outcome == AttemptOutcome.COMPLETE) {
            upstream.recordSuccess();
        } else if (outcome != AttemptOutcome.CANCELLED) {
            upstream.recordFailure(nowMillis);
        }
    }

    /**
     * Removes leaving marks whose retention time has elapsed.
     *
     * @param nowMillis the current time in milliseconds since the epoch
     */
    public void removeExpiredMarks(long nowMillis) {
        leavingUpstreams.values().removeIf(deadline -> nowMillis > deadline + LEAVING_RETENTION_MILLIS);
    }

    /**
     * Returns an upstream by its identifier.
     *
     * @param id the identifier
     * @return the upstream, or empty if it is not in the table
     */
    public Optional<Upstream> find(String id) {
        return Optional.ofNullable(upstreams.get(id));
    }

    /**
     * Returns the upstreams that are marked as leaving.
     *
     * @return the marks with their reclaim deadlines, ordered by identifier
     */
    public List<LeavingUpstream> leavingUpstreams() {
        List<LeavingUpstream> marks = new ArrayList<>();
        leavingUpstreams.forEach((id, deadline) -> marks.add(new LeavingUpstream(id, deadline)));
        return marks;
    }

    /**
     * Replaces the entries of the instance list. Upstreams that are not listed are removed once they have no attempts.
     *
     * @param listed all instances on the list
     * @param nowMillis the current time in milliseconds since the epoch
     * @return the upstreams that the list marks as leaving for the first time
     */
    public List<LeavingUpstream> updateListing(List<UpstreamInfo> listed, long nowMillis) {
        List<LeavingUpstream> newlyLeaving = new ArrayList<>();
        Set<String> listedIds = new HashSet<>();
        for (UpstreamInfo info : listed) {
            listedIds.add(info.id());
            upstreams.computeIfAbsent(info.id(), id -> new Upstream(info)).update(info);
            long deadline = nowMillis + DEFAULT_LEAVING_DEADLINE_MILLIS;
            if (info.leaving() && markLeaving(info.id(), deadline)) {
                newlyLeaving.add(new LeavingUpstream(info.id(), deadline));
            }
        }
        upstreams.values().removeIf(upstream -> !listedIds.contains(upstream.id()) && upstream.inFlight() == 0);
        return newlyLeaving;
    }

    /**
     * Marks an upstream as leaving, whether or not it is in the table.
     *
     * @param id the identifier of the upstream
     * @param deadlineMillis the time at which it will be reclaimed, in milliseconds since the epoch
     * @return true if it was not marked before
     */
    public boolean markLeaving(String id, long deadlineMillis) {
        Long previousDeadline = leavingUpstreams.get(id);
        if (previousDeadline == null || deadlineMillis < previousDeadline) {
            leavingUpstreams.put(id, deadlineMillis);
        }
        return previousDeadline == null;
    }

    /**
     * Returns the number of attempts that this node has in flight at each upstream, as reported to its peers.
     *
     * @return the loads of the upstreams with attempts in flight, ordered by identifier
     */
    public List<UpstreamLoad> loads() {
        List<UpstreamLoad> loads = new ArrayList<>();
        for (Upstream upstream : upstreams.values()) {
            if (upstream.inFlight() > 0) {
                loads.add(new UpstreamLoad(upstream.id(), upstream.inFlight()));
            }
        }
        return loads;
    }

    /**
     * Records that an attempt has produced its first token or has ended without one.
     *
     * @param id the identifier of the upstream
     * @param promptTokens the number of prompt tokens of the attempt
     */
    public void recordPrefill(String id, int promptTokens) {
        find(id).ifPresent(upstream -> upstream.recordPrefill(promptTokens));
    }

    /**
     * Replaces the loads reported by peers.
     *
     * @param peerLoads the loads reported by all peers that are alive
     */
    public void updatePeerLoads(List<UpstreamLoad> peerLoads) {
        upstreams.values().forEach(upstream -> upstream.setPeersInFlight(0));
        for (UpstreamLoad peerLoad : peerLoads) {
            find(peerLoad.upstream())
                    .ifPresent(upstream -> upstream.setPeersInFlight(upstream.peersInFlight() + peerLoad.inFlight()));
        }
    }

    /**
     * Records the start of an attempt.
     *
     * @param id the identifier of the upstream
     * @param promptTokens the number of prompt tokens of the attempt
     */
    public void recordStart(String id, int promptTokens) {
        attemptCount++;
        find(id).ifPresent(upstream -> upstream.recordStart(promptTokens, attemptCount));
    }

    /**
     * Returns the status of the upstreams for operators.
     *
     * @return the upstreams, ordered by identifier
     */
    public List<NodeStatus.UpstreamView> views() {
        List<NodeStatus.UpstreamView> views = new ArrayList<>();
        for (Upstream upstream : upstreams.values()) {
            UpstreamInfo info = upstream.info();
            boolean isLeaving = leavingUpstreams.containsKey(info.id());
            views.add(new NodeStatus.UpstreamView(
                    info.id(), info.service(), info.zone(), isLeaving, upstream.inFlight()));
        }
        return views;
    }
}
