package org.lovagethread.gateway.stream;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import org.lovagethread.gateway.upstream.Upstream;

/**
 * The software versions at which streams began at this gateway, and those that each service had lately.
 *
 * <p>A stream goes on only at the version that began it. What this gateway has listed proves nothing about streams that
 * began elsewhere, since the list has an age; see {@link VersionRecord}. Not thread-safe.
 */
public final class StreamVersions {
    /** Lifetimes are this many of the longest timeouts, since callers may wait for longer than a route allows. */
    private static final int TIMEOUTS_PER_LIFETIME = 2;

    /** Time for which a statement of a peer about the versions of a service holds, in milliseconds. */
    private static final long PEER_STATEMENT_MILLIS = 5_000;

    /** Age of a list of upstreams from which versions may have come and gone unseen, in milliseconds. */
    private static final long MAX_LIST_AGE_MILLIS = 5_000;

    private final Map<String, Service> byName = new HashMap<>();
    private long lifetimeMillis;
    private boolean isConfigured;
    private OptionalLong firstObservedMillis = OptionalLong.empty();
    private boolean complete;

    private static final class Service {
        private final BegunStreams streams = new BegunStreams();
        private final Map<String, Long> listedMillis = new HashMap<>();
        private final Map<String, Long> listedByPeersMillis = new HashMap<>();
        private OptionalLong mixedAtPeersMillis = OptionalLong.empty();

        private boolean isMixedAtPeers(long nowMillis) {
            return mixedAtPeersMillis.isPresent()
                    && nowMillis - mixedAtPeersMillis.getAsLong() <= PEER_STATEMENT_MILLIS;
        }

        /** Returns the versions that this gateway has listed in the last lifetime, and its peers state lately. */
        private Set<String> versions(long nowMillis) {
            listedByPeersMillis.values().removeIf(millis -> nowMillis - millis > PEER_STATEMENT_MILLIS);
            Set<String> all = new TreeSet<>(listedMillis.keySet());
            all.addAll(listedByPeersMillis.keySet());
            return all;
        }
    }

    /**
     * Sets the longest time that a route allows for a stream that may be taken up again. A shorter one than before
     * has no effect, since earlier streams may still be running.
     *
     * @param timeoutMillis the time in milliseconds
     */
    public void longestTimeout(long timeoutMillis) {
        isConfigured = true;
        lifetimeMillis = Math.max(lifetimeMillis, TIMEOUTS_PER_LIFETIME * timeoutMillis);
    }

    /**
     * Returns the time after its beginning for which a stream may be taken up again.
     *
     * @return the time in milliseconds
     */
    public long lifetimeMillis() {
        return lifetimeMillis;
    }

    /**
     * Records the upstreams that are listed.
     *
     * @param upstreams all upstreams of all services, including leaving ones
     * @param listedMillis the latest time at which the list was known to be up to date, in milliseconds; empty if it
     *     never was
     * @param nowMillis the current time in milliseconds
     */
    public void observe(Collection<Upstream> upstreams, OptionalLong listedMillis, long nowMillis) {
        for (Upstream upstream : upstreams) {
            service(upstream.entry().service())
                    .listedMillis
                    .put(upstream.entry().version(), nowMillis);
        }
        boolean isUpToDate = listedMillis.isPresent() && nowMillis - listedMillis.getAsLong() <= MAX_LIST_AGE_MILLIS;
        if (!isUpToDate) {
            complete = false;
            firstObservedMillis = OptionalLong.empty();
        } else if (isConfigured && !upstreams.isEmpty()) {
            firstObservedMillis = OptionalLong.of(firstObservedMillis.orElse(nowMillis));
            complete |= nowMillis - firstObservedMillis.getAsLong() > lifetimeMillis;
        }
        if (!isConfigured) {
            return;
        }
        long expiryMillis = nowMillis - lifetimeMillis;
        for (Service service : byName.values()) {
            service.listedMillis.values().removeIf(millis -> millis < expiryMillis);
            service.streams.expire(expiryMillis);
        }
    }

    /**
     * Records that no stream began before the start of this gateway, so that it knows all versions that had upstreams
     * during one.
     */
    public void markComplete() {
        complete = true;
    }

    /**
     * Records what a peer states about the versions of services.
     *
     * @param isPeerComplete whether the peer knows all versions that had upstreams in the last lifetime
     * @param mixedServices the names of the services of which it has seen several
     * @param versions the version that it has seen of each other service
     * @param nowMillis the current time in milliseconds
     */
    public void recordPeer(
            boolean isPeerComplete, Collection<String> mixedServices, Map<String, String> versions, long nowMillis) {
        mixedServices.forEach(name -> service(name).mixedAtPeersMillis = OptionalLong.of(nowMillis));
        versions.forEach((name, version) -> service(name).listedByPeersMillis.put(version, nowMillis));
        if (!complete && isPeerComplete && mixedServices.isEmpty() && firstObservedMillis.isPresent()) {
            // What this gateway lists from now on completes the knowledge of the peer.
            complete = true;
            versions.forEach((name, version) -> service(name).listedMillis.put(version, nowMillis));
        }
    }

    /**
     * Returns whether this gateway knows all versions that had upstreams in the last lifetime.
     *
     * @return false for some time after its start, and after its list was out of date
     */
    public boolean isComplete() {
        return complete;
    }

    /**
     * Returns whether a service has had upstreams of several versions in the last lifetime.
     *
     * @param service the name of the service
     * @param nowMillis the current time in milliseconds
     * @return true if this gateway or a peer has seen several versions
     */
    public boolean isMixed(String service, long nowMillis) {
        Service known = byName.get(service);
        return known != null && (known.versions(nowMillis).size() > 1 || known.isMixedAtPeers(nowMillis));
    }

    /**
     * Returns the versions that services had in the last lifetime, as far as this gateway or its peers have seen them.
     *
     * @param services the names of the services
     * @param nowMillis the current time in milliseconds
     * @return the versions
     */
    Set<ServiceVersion> lately(Collection<String> services, long nowMillis) {
        Set<ServiceVersion> lately = new HashSet<>();
        for (String name : services) {
            Service known = byName.get(name);
            if (known != null) {
                known.versions(nowMillis).forEach(version -> lately.add(new ServiceVersion(name, version)));
            }
        }
        return lately;
    }

    /**
     * Returns the version of a service that has had upstreams of only one here.
     *
     * @param service the name of the service
     * @return the version; empty if there is none, or if there are several
     */
    public Optional<String> onlyVersion(String service) {
        Service known = byName.get(service);
        return known == null || known.listedMillis.size() != 1
                ? Optional.empty()
                : Optional.of(known.listedMillis.keySet().iterator().next());
    }

    /**
     * Returns the version of each service of which this gateway itself has seen one only, for its peers.
     *
     * @return the versions by the names of the services
     */
    public Map<String, String> onlyVersionsSeenHere() {
        Map<String, String> versions = new HashMap<>();
        byName.keySet().forEach(name -> onlyVersion(name).ifPresent(version -> versions.put(name, version)));
        return versions;
    }

    /**
     * Returns the services that have several versions.
     *
     * @param nowMillis the current time in milliseconds
     * @return the names of the services for which {@link #isMixed} is true, sorted
     */
    public Set<String> mixedServices(long nowMillis) {
        Set<String> mixed = new TreeSet<>();
        for (String service : byName.keySet()) {
            if (isMixed(service, nowMillis)) {
                mixed.add(service);
            }
        }
        return mixed;
    }

    /**
     * Returns the services of which this gateway itself has seen several versions, for its peers.
     *
     * @return the names of the services, sorted
     */
    public Set<String> mixedServicesSeenHere() {
        Set<String> mixed = new TreeSet<>();
        byName.forEach((name, service) -> {
            if (service.listedMillis.size() > 1) {
                mixed.add(name);
            }
        });
        return mixed;
    }

    /**
     * Records that the first event of a stream is forwarded.
     *
     * @param service the name of the service
     * @param streamId the identifier under which the stream is taken up again
     * @param version the version of the software of the upstream that sent the event
     * @param nowMillis the current time in milliseconds
     */
    public void recordBeginning(String service, String streamId, String version, long nowMillis) {
        Service known = service(service);
        known.listedMillis.put(version, nowMillis);
        known.streams.record(BegunStream.keyOf(streamId), version, nowMillis);
    }

    /**
     * Returns the version at which a stream began here.
     *
     * @param service the name of the service
     * @param streamId the identifier under which the stream is taken up again
     * @return the version, or empty if the stream is unknown here
     */
    public Optional<String> version(String service, String streamId) {
        return version(service, BegunStream.keyOf(streamId));
    }

    /** Returns the version at which a stream with a key began here. */
    Optional<String> version(String service, long key) {
        return Optional.ofNullable(byName.get(service)).flatMap(known -> known.streams.version(key));
    }

    /**
     * Returns the streams that began here after another one.
     *
     * @param service the name of the service
     * @param sequence the sequence number of that stream; zero for all
     * @return the streams in the order of their sequence numbers
     */
    public List<BegunStream> begunSince(String service, long sequence) {
        Service known = byName.get(service);
        return known == null ? List.of() : known.streams.since(sequence);
    }

    private Service service(String name) {
        return byName.computeIfAbsent(name, key -> new Service());
    }
}
