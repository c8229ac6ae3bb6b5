package org.lovagethread.gateway.upstream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lovagethread.gateway.store.StoreVersion;

/**
 * Stores the upstreams that can receive requests, from their entries in the store and from messages of peers.
 *
 * <p>An entry that expired during an outage of the store is removed only if it is still missing after a grace period
 * that starts when the store recovers. A leaving upstream receives no new requests unless its process has been
 * restarted.
 *
 * <p>Gateways exchange their {@link LeavingMark}s with the remaining lifetimes, so an upstream is also excluded at
 * gateways that have not received its entry. An entry that is listed again after its removal overrides the mark.
 */
public final class UpstreamTable {
    /** Grace period after a recovery of the store in which missing entries are kept, in milliseconds. */
    public static final long RECOVERY_GRACE_MILLIS = 2_000;

    /** Time for which a leaving mark is kept and sent to peers, in milliseconds. */
    public static final long LEAVING_MARK_MILLIS = 16_000;

    private final UpstreamPauses pauses = new UpstreamPauses(Math::random);
    private final BrittleUpstreams brittle = new BrittleUpstreams();
    private final Map<String, Upstream> byId = new LinkedHashMap<>();
    private final Map<String, Grace> graceById = new HashMap<>();
    private final Map<LeavingMark, Long> leavingMarkDeadlines = new LinkedHashMap<>();

    /** Period in which a missing entry is kept. */
    private record Grace(long endMillis, long removedRevision) {
        /** Returns the other period if the entry was found missing in a later era of the store, otherwise this one. */
        Grace inLaterEra(Grace other) {
            return StoreVersion.era(other.removedRevision) > StoreVersion.era(removedRevision) ? other : this;
        }
    }

    /**
     * Adds or updates an entry.
     *
     * @param entry the entry
     * @param revision the revision of the entry
     * @param nowMillis the current time in milliseconds
     * @return true if the table changed
     */
    public boolean put(UpstreamEntry entry, long revision, long nowMillis) {
        leavingMarkDeadlines.keySet().removeIf(mark -> mark.concerns(entry) && mark.isRefutedBy(revision));
        graceById.remove(entry.id());
        Upstream existing = byId.get(entry.id());
        boolean sameProcess = existing != null && existing.entry().startedAtMillis() == entry.startedAtMillis();
        boolean announced = entry.leaving() || (sameProcess && existing.hasAnnouncedLeaving());
        if (announced) {
            leavingMarkDeadlines.putIfAbsent(LeavingMark.announced(entry), nowMillis + LEAVING_MARK_MILLIS);
        }
        UpstreamEntry effective = announced || isMarked(entry, revision) ? entry.asLeaving() : entry;
        if (!sameProcess) {
            existing = new Upstream(effective);
            byId.put(entry.id(), existing);
        }
        boolean changed = !sameProcess || !existing.entry().equals(effective);
        existing.entry(effective);
        existing.listedEntry(entry);
        existing.revision(revision);
        existing.announcedLeaving(leavingMarkDeadlines.containsKey(LeavingMark.announced(entry)) || announced);
        return changed;
    }

    /**
     * Removes an entry, or keeps it for the grace period if the store has just recovered.
     *
     * @param id the identifier of the upstream
     * @param revision the revision of the store at which the entry is missing
     * @param storeRecoveredMillis when the store recovered from its latest outage, in milliseconds
     * @param nowMillis the current time in milliseconds
     * @return true if the upstream was removed; false if it was unknown or is kept for the grace period
     */
    public boolean remove(String id, long revision, long storeRecoveredMillis, long nowMillis) {
        if (!byId.containsKey(id)) {
            return false;
        }
        long graceEndMillis = storeRecoveredMillis + RECOVERY_GRACE_MILLIS;
        if (nowMillis < graceEndMillis) {
            graceById.merge(id, new Grace(graceEndMillis, revision), Grace::inLaterEra);
            return false;
        }
        delete(id, revision, nowMillis);
        return true;
    }

    /**
     * Replaces all entries by a complete list. Missing entries are removed as by {@link #remove}.
     *
     * @param entries the entries
     * @param revision the revision of the list
     * @param storeRecoveredMillis when the store recovered from its latest outage, in milliseconds
     * @param nowMillis the current time in milliseconds
     */
    public void replaceAll(
            Collection<UpstreamEntry> entries, long revision, long storeRecoveredMillis, long nowMillis) {
        Set<String> listed = new HashSet<>();
        for (UpstreamEntry entry : entries) {
            listed.add(entry.id());
            put(entry, revision, nowMillis);
        }
        for (String id : List.copyOf(byId.keySet())) {
            if (!listed.contains(id)) {
                remove(id, revision, storeRecoveredMillis, nowMillis);
            }
        }
    }

    /**
     * Marks an upstream as leaving, as reported by a peer.
     *
     * @param mark the leaving mark, as returned by {@link #leavingMarks} of the peer
     * @param remainingMillis the time for which the peer keeps the mark, in milliseconds
     * @param nowMillis the current time in milliseconds
     * @return true if an available upstream became leaving
     */
    public boolean markLeaving(LeavingMark mark, long remainingMillis, long nowMillis) {
        long deadlineMillis = nowMillis + Math.min(LEAVING_MARK_MILLIS, remainingMillis);
        if (leavingMarkDeadlines.putIfAbsent(mark, deadlineMillis) != null) {
            return false;
        }
        Upstream upstream = byId.get(mark.upstreamId());
        if (upstream == null || !mark.appliesTo(upstream.entry(), upstream.revision())) {
            return false;
        }
        boolean changed = !upstream.entry().leaving();
        upstream.entry(upstream.entry().asLeaving());
        upstream.announcedLeaving(upstream.hasAnnouncedLeaving() || mark.isAnnounced());
        return changed;
    }

    /**
     * Returns the current leaving marks.
     *
     * @param nowMillis the current time in milliseconds
     * @return the remaining lifetimes of the marks in milliseconds, for {@link #markLeaving} of peers
     */
    public Map<LeavingMark, Long> leavingMarks(long nowMillis) {
        Map<LeavingMark, Long> remaining = new LinkedHashMap<>();
        leavingMarkDeadlines.forEach((mark, deadline) -> {
            if (deadline > nowMillis) {
                remaining.put(mark, deadline - nowMillis);
            }
        });
        return remaining;
    }

    /**
     * Removes the upstreams whose grace period has ended, and expired leaving marks. A grace period starts again when
     * the store recovers from a further outage.
     *
     * @param storeReachable whether the store is reachable; no grace period ends while it is not
     * @param storeRecoveredMillis when the store recovered from its latest outage, in milliseconds
     * @param nowMillis the current time in milliseconds
     * @return the identifiers of the removed upstreams
     */
    public List<String> expire(boolean storeReachable, long storeRecoveredMillis, long nowMillis) {
        List<String> removed = new ArrayList<>();
        if (storeReachable && nowMillis >= storeRecoveredMillis + RECOVERY_GRACE_MILLIS) {
            graceById.forEach((id, grace) -> {
                if (nowMillis >= grace.endMillis()) {
                    removed.add(id);
                }
            });
        }
        removed.forEach(id -> delete(id, graceById.get(id).removedRevision(), nowMillis));
        expireMarks(nowMillis);
        return removed;
    }

    /**
     * Removes expired marks. An upstream that is still listed although a mark of an earlier era applied has not left.
     */
    private void expireMarks(long nowMillis) {
        List<LeavingMark> expired = leavingMarkDeadlines.entrySet().stream()
                .filter(entry -> nowMillis >= entry.getValue())
                .map(Map.Entry::getKey)
                .toList();
        leavingMarkDeadlines.keySet().removeAll(expired);
        for (LeavingMark mark : expired) {
            find(mark.upstreamId())
                    .filter(upstream -> mark.concerns(upstream.entry()) && !upstream.hasAnnouncedLeaving())
                    .filter(upstream -> mark.isOfEarlierEra(upstream.revision()))
                    .filter(upstream -> !isMarked(upstream.entry(), upstream.revision()))
                    .ifPresent(upstream -> upstream.entry(upstream.listedEntry()));
        }
    }

    /**
     * Returns an upstream by its id.
     *
     * @param id the identifier
     * @return the upstream, or empty if it is unknown
     */
    public Optional<Upstream> find(String id) {
        return Optional.ofNullable(byId.get(id));
    }

    /**
     * Returns an upstream by its process.
     *
     * @param process the process, as returned by {@link UpstreamEntry#process}
     * @return the upstream, or empty if it is unknown or has another process
     */
    public Optional<Upstream> findProcess(String process) {
        return find(process.substring(0, Math.max(0, process.lastIndexOf('#'))))
                .filter(upstream -> upstream.entry().process().equals(process));
    }

    /**
     * Returns the upstreams of a service that can receive new requests.
     *
     * @param service the name of the service
     * @return the upstreams in the order in which they were added
     */
    public List<Upstream> available(String service) {
        List<Upstream> available = new ArrayList<>();
        for (Upstream upstream : byId.values()) {
            UpstreamEntry entry = upstream.entry();
            if (entry.service().equals(service) && !entry.leaving()) {
                available.add(upstream);
            }
        }
        return available;
    }

    /**
     * Returns the upstreams of a service that can receive new requests and have not requested a pause.
     *
     * @param service the name of the service
     * @param nowMillis the current time in milliseconds
     * @return the upstreams in the order in which they were added
     */
    public List<Upstream> unpaused(String service, long nowMillis) {
        return pauses.withoutPaused(available(service), nowMillis);
    }

    /**
     * Returns the pauses that upstreams have requested.
     *
     * @return the pauses
     */
    public UpstreamPauses pauses() {
        return pauses;
    }

    /**
     * Returns the limits of upstreams that fall over when they have to reject too many requests.
     *
     * @return the brittle upstreams
     */
    public BrittleUpstreams brittle() {
        return brittle;
    }

    /**
     * Returns all upstreams.
     *
     * @return all upstreams, including leaving ones
     */
    public Collection<Upstream> all() {
        return byId.values();
    }

    private void delete(String id, long revision, long nowMillis) {
        graceById.remove(id);
        Upstream upstream = byId.remove(id);
        if (upstream != null) {
            LeavingMark mark = upstream.hasAnnouncedLeaving()
                    ? LeavingMark.announced(upstream.entry())
                    : LeavingMark.removed(upstream.entry(), revision);
            leavingMarkDeadlines.putIfAbsent(mark, nowMillis + LEAVING_MARK_MILLIS);
        }
    }

    private boolean isMarked(UpstreamEntry entry, long revision) {
        return leavingMarkDeadlines.keySet().stream().anyMatch(mark -> mark.appliesTo(entry, revision));
    }
}
