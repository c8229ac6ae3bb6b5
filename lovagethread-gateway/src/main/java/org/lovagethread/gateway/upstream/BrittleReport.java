package org.lovagethread.gateway.upstream;

/**
 * What one gateway, or all gateways of a cell together, report about a brittle upstream.
 *
 * @param process the process of the upstream, as returned by {@link UpstreamEntry#process}
 * @param maxRejections the number of rejections in a second beyond which it falls over
 * @param ageMillis the time since the latest response that stated the number, in milliseconds
 * @param rejections the rejections in the last second
 * @param inFlight the requests in progress
 * @param waiting the requests that wait for room
 * @param claim the requests that may be in progress until the next report
 * @param room the number of requests in progress of all gateways that is assumed to be safe
 * @param gateways the number of gateways that share the claim
 */
public record BrittleReport(
        String process,
        int maxRejections,
        long ageMillis,
        int rejections,
        int inFlight,
        int waiting,
        int claim,
        int room,
        int gateways) {

    /**
     * Returns the report of two groups of gateways together.
     *
     * @param other the report of the other group about the same process
     * @return the sums, with the later statement and the smaller room
     */
    BrittleReport plus(BrittleReport other) {
        return new BrittleReport(
                process,
                ageMillis <= other.ageMillis ? maxRejections : other.maxRejections,
                Math.min(ageMillis, other.ageMillis),
                rejections + other.rejections,
                inFlight + other.inFlight,
                waiting + other.waiting,
                claim + other.claim,
                Math.min(room, other.room),
                gateways + other.gateways);
    }
}
