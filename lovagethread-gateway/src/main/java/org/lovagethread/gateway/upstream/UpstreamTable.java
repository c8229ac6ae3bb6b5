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

/**
 * Keeps the upstreams that may get requests, from entries in the store and the word of peers.
 *
 * <p>An entry that lapsed while the store was away counts as gone only when it is still missing some time after the
 * store's return. A leaving upstream never gets new requests again unless its process starts anew.
 */
public final class UpstreamTable {
    /** Time after the store's return within which missing entries may come back, in milliseconds. */
    public static final long RETURN_MILLIS = 2_000;

    /** Time for which the mark of a leaving upstream is told to peers, in milliseconds. */
    private static final long LEAVING_TOLD_MILLIS = 8_000;

    private final Map<String, Upstream> byId = new LinkedHashMap<>();
    private final Map<String, Long> missingUntil = new HashMap<>();
    private final Map<String, Long> leavingUntil = new LinkedHashMap<>();

    /**
     * Takes an entry that was added or changed.
     *
     * @param entry the entry
     * @param nowMillis the present time in milliseconds
     * @return true if the gateway's belief changed
     */
    public boolean put(UpstreamEntry entry, long nowMillis) {
        missingUntil.remove(entry.id());
        Upstream known = byId.get(entry.id());
        boolean restarted = known != null && known.entry().startedAtMillis() != entry.startedAtMillis();
        UpstreamEntry taken = entry;
        if (known != null && !restarted && known.entry().leaving()) {
            taken = entry.asLeaving();
        }
        if (taken.leaving()) {
            leavingUntil.putIfAbsent(mark(taken), nowMillis + LEAVING_TOLD_MILLIS);
        } else if (leavingUntil.containsKey(mark(taken))) {
            taken = taken.asLeaving();
        }
        if (known == null || restarted) {
            byId.put(entry.id(), new Upstream(taken));
            return true;
        }
        boolean changed = !known.entry().equals(taken);
        known.entry(taken);
        return changed;
    }

    /**
     * Takes the removal of an entry.
     *
     * @param id the id of the upstream
     * @param storeReturnedMillis when the store was last found to answer again after an outage, in milliseconds
     * @param nowMillis the present time in milliseconds
     * @return true if the upstream is gone; false if it was unknown or may come back
     */
    public boolean remove(String id, long storeReturnedMillis, long nowMillis) {
        if (!byId.containsKey(id)) {
            return false;
        }
        long graceEnd = storeReturnedMillis + RETURN_MILLIS;
        if (nowMillis < graceEnd) {
            missingUntil.putIfAbsent(id, graceEnd);
            return false;
        }
        forget(id, nowMillis);
        return true;
    }

    /**
     * Replaces all entries by a complete list.
     *
     * @param entries the entries
     * @param storeReturnedMillis when the store was last found to answer again after an outage, in milliseconds
     * @param nowMillis the present time in milliseconds
     */
    public void replaceAll(Collection<UpstreamEntry> entries, long storeReturnedMillis, long nowMillis) {
        Set<String> listed = new HashSet<>();
        for (UpstreamEntry entry : entries) {
            listed.add(entry.id());
            put(entry, nowMillis);
        }
        for (String id : List.copyOf(byId.keySet())) {
            if (!listed.contains(id)) {
                remove(id, storeReturnedMillis, nowMillis);
            }
        }
    }

    /**
     * Takes a peer's word that an upstream leaves.
     *
     * @param mark the mark, as {@link #leavingMarks} of the peer returned it
     * @param nowMillis the present time in milliseconds
     * @return true if that was news
     */
    public boolean leaving(String mark, long nowMillis) {
        if (leavingUntil.putIfAbsent(mark, nowMillis + LEAVING_TOLD_MILLIS) != null) {
            return false;
        }
        for (Upstream upstream : byId.values()) {
            if (mark(upstream.entry()).equals(mark) && !upstream.entry().leaving()) {
                upstream.entry(upstream.entry().asLeaving());
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the marks of upstreams that lately began to leave.
     *
     * @return marks for {@link #leaving} of peers
     */
    public List<String> leavingMarks() {
        return new ArrayList<>(leavingUntil.keySet());
    }

    /**
     * Forgets upstreams that did not come back in time, and old marks.
     *
     * @param nowMillis the present time in milliseconds
     * @return the ids of the upstreams that are gone now
     */
    public List<String> expire(long nowMillis) {
        List<String> gone = new ArrayList<>();
        missingUntil.forEach((id, deadline) -> {
            if (nowMillis >= deadline) {
                gone.add(id);
            }
        });
        gone.forEach(id -> forget(id, nowMillis));
        leavingUntil.values().removeIf(deadline -> nowMillis >= deadline + LEAVING_TOLD_MILLIS);
        return gone;
    }

    /**
     * Returns an upstream by its id.
     *
     * @param id the id
     * @return the upstream, or empty if it is not known
     */
    public Optional<Upstream> find(String id) {
        return Optional.ofNullable(byId.get(id));
    }

    /**
     * Returns the upstreams of a service that may get new requests.
     *
     * @param service the name of the service
     * @return the upstreams, in the order in which they were first seen
     */
    public List<Upstream> available(String service) {
        List<Upstream> found = new ArrayList<>();
        for (Upstream upstream : byId.values()) {
            UpstreamEntry entry = upstream.entry();
            if (entry.service().equals(service) && !entry.leaving()) {
                found.add(upstream);
            }
        }
        return found;
    }

    /**
     * Returns all upstreams.
     *
     * @return all upstreams, also those that leave
     */
    public Collection<Upstream> all() {
        return byId.values();
    }

    private void forget(String id, long nowMillis) {
        missingUntil.remove(id);
        Upstream upstream = byId.remove(id);
        if (upstream != null) {
            leavingUntil.putIfAbsent(mark(upstream.entry()), nowMillis + LEAVING_TOLD_MILLIS);
        }
    }

    private static String mark(UpstreamEntry entry) {
        return entry.id() + '@' + entry.startedAtMillis();
    }
}
