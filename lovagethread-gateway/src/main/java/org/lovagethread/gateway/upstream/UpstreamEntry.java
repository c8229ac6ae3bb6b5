package org.lovagethread.gateway.upstream;

import java.util.Objects;

/**
 * What an upstream says of itself.
 *
 * @param id the id of the upstream
 * @param service the service that it offers
 * @param host the IP address
 * @param port the port
 * @param zone the availability zone
 * @param slots the requests that it works on at once; zero if not stated
 * @param leaving whether it has announced that it leaves
 * @param reclaimable whether it runs on a reclaimable instance
 * @param startedAtMillis the start of its process in milliseconds since the epoch; zero if not stated
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
        long startedAtMillis) {

    /**
     * Returns the entry with the mark that the upstream leaves.
     *
     * @return a leaving entry
     */
    public UpstreamEntry asLeaving() {
        return new UpstreamEntry(id, service, host, port, zone, slots, true, reclaimable, startedAtMillis);
    }

    // Written out: the generated methods are linked at run time, which costs a restarted process tens of milliseconds.
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
                && startedAtMillis == entry.startedAtMillis;
    }

    @Override
    public int hashCode() {
        return Objects.hash(id, service, host, port, zone, slots, leaving, reclaimable, startedAtMillis);
    }
}
