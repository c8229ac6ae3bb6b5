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
 * Holds the upstreams that this node knows.
 *
 * <p>An upstream once known to be leaving never takes new work again, even when a lagging source still shows it as
 * live. The mark outlives the reclaim deadline by {@link #LEAVING_RETENTION_MILLIS}, which exceeds the lag of the
 * instance list.
 */
public final class UpstreamTable {
    /** Time for which a leaving mark is kept after the reclaim deadline, in milliseconds. */
    public static final long LEAVING_RETENTION_MILLIS = 600_000;

    private static final long DEFAULT_LEAVING_DEADLINE_MILLIS = 30_000;

    private final TreeMap<String, Upstream> upstreams = new TreeMap<>();
    private final TreeMap<String, Long> leavingUpstreams = new TreeMap<>();
    private long attemptCount;

    /**
     * Returns the upstreams that may take a new attempt for a service.
     *
     * @param service the name of the service
     * @param excluded identifiers of upstreams to leave out
     * @return the upstreams in the order of their identifiers; empty if there are none
     */
    public List<Upstream> candidates(String service, Set<String> excluded) {
        List<Upstream> found = new ArrayList<>();
        for (Upstream upstream : upstreams.values()) {
            boolean suits = upstream.info().service().equals(service)
                    && !leavingUpstreams.containsKey(upstream.id())
                    && !excluded.contains(upstream.id());
            if (suits) {
                found.add(upstream);
            }
        }
        return found;
    }

    /**
     * Records the end of an attempt.
     *
     * @param id the identifier of the upstream; an unknown one is passed over
     * @param outcome how the attempt ended
     * @param nowMillis the present time in milliseconds since the epoch
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

    /** Drops leaving marks that are older than the memory for them. */
    public void removeExpiredMarks(long nowMillis) {
        leavingUpstreams.values().removeIf(deadline -> nowMillis > deadline + LEAVING_RETENTION_MILLIS);
    }

    /**
     * Finds an upstream.
     *
     * @param id the identifier
     * @return the upstream, or empty if it is not known
     */
    public Optional<Upstream> find(String id) {
        return Optional.ofNullable(upstreams.get(id));
    }

    /**
     * Returns the upstreams that take no new work.
     *
     * @return identifiers with their reclaim deadlines, in the order of the identifiers
     */
    public List<LeavingUpstream> leavingUpstreams() {
        List<LeavingUpstream> marks = new ArrayList<>();
        leavingUpstreams.forEach((id, deadline) -> marks.add(new LeavingUpstream(id, deadline)));
        return marks;
    }

    /**
     * Replaces what the instance list says.
     *
     * @param listed all instances on the list
     * @param nowMillis the present time in milliseconds since the epoch
     * @return the upstreams that the list newly shows as leaving
     */
    public List<LeavingUpstream> updateListing(List<UpstreamInfo> listed, long nowMillis) {
        List<LeavingUpstream> fresh = new ArrayList<>();
        Set<String> present = new HashSet<>();
        for (UpstreamInfo info : listed) {
            present.add(info.id());
            upstreams.computeIfAbsent(info.id(), id -> new Upstream(info)).update(info);
            long deadline = nowMillis + DEFAULT_LEAVING_DEADLINE_MILLIS;
            if (info.leaving() && markLeaving(info.id(), deadline)) {
                fresh.add(new LeavingUpstream(info.id(), deadline));
            }
        }
        upstreams.values().removeIf(upstream -> !present.contains(upstream.id()) && upstream.inFlight() == 0);
        return fresh;
    }

    /**
     * Marks an upstream as leaving, whether it is known yet or not.
     *
     * @param id the identifier of the upstream
     * @param deadlineMillis the time at which it will be gone, in milliseconds since the epoch
     * @return true if it was not marked before
     */
    public boolean markLeaving(String id, long deadlineMillis) {
        Long known = leavingUpstreams.get(id);
        if (known == null || deadlineMillis < known) {
            leavingUpstreams.put(id, deadlineMillis);
        }
        return known == null;
    }

    /**
     * Returns the attempts that this node has in flight, for its peers.
     *
     * @return the upstreams with attempts in flight, in the order of the identifiers
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
     * Records that an attempt has given its first token, or has ended without one.
     *
     * @param id the identifier of the upstream
     * @param promptTokens the prompt tokens of the attempt
     */
    public void recordPrefill(String id, int promptTokens) {
        find(id).ifPresent(upstream -> upstream.recordPrefill(promptTokens));
    }

    /**
     * Replaces what the peers reported to have in flight.
     *
     * @param reports the reports of all peers that are alive
     */
    public void updatePeerLoads(List<UpstreamLoad> reports) {
        upstreams.values().forEach(upstream -> upstream.setPeersInFlight(0));
        for (UpstreamLoad report : reports) {
            find(report.upstream())
                    .ifPresent(upstream -> upstream.setPeersInFlight(upstream.peersInFlight() + report.inFlight()));
        }
    }

    /**
     * Records the start of an attempt.
     *
     * @param id the identifier of the upstream
     * @param promptTokens the prompt tokens of the attempt
     */
    public void recordStart(String id, int promptTokens) {
        attemptCount++;
        find(id).ifPresent(upstream -> upstream.recordStart(promptTokens, attemptCount));
    }

    /**
     * Returns the upstreams as operators see them.
     *
     * @return the upstreams in the order of their identifiers
     */
    public List<NodeStatus.UpstreamView> views() {
        List<NodeStatus.UpstreamView> views = new ArrayList<>();
        for (Upstream upstream : upstreams.values()) {
            UpstreamInfo info = upstream.info();
            boolean marked = leavingUpstreams.containsKey(info.id());
            views.add(new NodeStatus.UpstreamView(info.id(), info.service(), info.zone(), marked, upstream.inFlight()));
        }
        return views;
    }
}
