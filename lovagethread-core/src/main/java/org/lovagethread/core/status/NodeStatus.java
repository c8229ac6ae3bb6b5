package org.lovagethread.core.status;

import java.util.List;

/**
 * Shows the state of one node.
 *
 * @param node the name of the node
 * @param zone the availability zone
 * @param incarnation the start time of the process
 * @param stopping whether the node plans to stop
 * @param revision the configuration revision in force; zero if none
 * @param unfinishedCalls the number of calls that have not ended
 * @param fence the fencing number of the lease that the node holds; zero if it holds none
 * @param members the peers
 * @param upstreams the upstreams
 */
public record NodeStatus(
        String node,
        String zone,
        long incarnation,
        boolean stopping,
        long revision,
        int unfinishedCalls,
        long fence,
        List<MemberView> members,
        List<UpstreamView> upstreams) {

    /** Copies the lists. */
    public NodeStatus {
        members = List.copyOf(members);
        upstreams = List.copyOf(upstreams);
    }

    /**
     * Shows one peer.
     *
     * @param node the name of the peer
     * @param status the judgement about it, in lower case
     * @param stopping whether it plans to stop
     * @param revision the configuration revision in force there
     */
    public record MemberView(String node, String status, boolean stopping, long revision) {}

    /**
     * Shows one upstream.
     *
     * @param id the identifier of the upstream
     * @param service the service
     * @param zone the availability zone
     * @param leaving whether it takes no new work
     * @param inFlight the attempts that this node has there
     */
    public record UpstreamView(String id, String service, String zone, boolean leaving, int inFlight) {}
}
