package org.lovagethread.gateway.upstream;

import java.util.Objects;

/**
 * The registration of an upstream, as the upstream publishes it.
 *
 * @param id the identifier of the upstream
 * @param service the name of the service that it provides
 * @param host the IP address
 * @param port the port
 * @param zone the availability zone
 * @param slots the maximum number of requests that it processes concurrently; zero if unknown
 * @param leaving whether it has announced its shutdown
 * @param reclaimable whether it runs on an instance that the provider may reclaim
 * @param startedAtMillis the start time of its process in milliseconds since the epoch; zero if unknown
 * @param version the version of its software; an empty string if unknown
 */
public record UpstreamEntry(
        String id,
        String service,
        String host,
        int port,
        String zone,
        int slots,
        boolean leaving,
        boolean reclaimable,
        long startedAtMillis,
        String version) {

    /** Creates an entry of an upstream whose version is unknown. */
    public UpstreamEntry(
            String id,
            String service,
            String host,
            int port,
            String zone,
            int slots,
            boolean leaving,
            boolean reclaimable,
            long startedAtMillis) {
        this(id, service, host, port, zone, slots, leaving, reclaimable, startedAtMillis, "");
    }

    /**
     * Returns a copy of this entry that is marked as leaving.
     *
     * @return the leaving entry
     */
    public UpstreamEntry asLeaving() {
        return new UpstreamEntry(id, service, host, port, zone, slots, true, reclaimable, startedAtMillis, version);
    }

    /**
     * Returns the name of the process, which is another one after each start.
     *
     * @return the identifier and the start time, separated by a number sign
     */
    public String process() {
        return id + '#' + startedAtMillis;
    }

    // Implemented explicitly, because linking the generated methods at run time delays the start of the process by
    // tens of milliseconds.
    @Override
    public boolean equals(Object other) {
        return other instanceof UpstreamEntry entry
                && id.equals(entry.id)
                && service.equals(entry.service)
                && host.equals(entry.host)
                && port == entry.port
                && zone.equals(entry.zone)
                && slots == entry.slots
                && leaving == entry.leaving
                && reclaimable == entry.reclaimable
                && startedAtMillis == entry.startedAtMillis
                && version.equals(entry.version);
    }

    @Override
    public int hashCode() {
        return Objects.hash(id, service, host, port, zone, slots, leaving, reclaimable, startedAtMillis, version);
    }
}
