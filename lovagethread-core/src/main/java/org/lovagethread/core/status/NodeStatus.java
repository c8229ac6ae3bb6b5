package org.lovagethread.core.status;

import java.util.List;

/**
 * Status of one node for operators.
 *
 * @param node the name of the node
 * @param zone the availability zone
 * @param incarnation the start time of the process
 * @param stopping whether the node is stopping
 * @param revision the active configuration revision; zero if none
 * @param unfinishedCalls the number of calls in progress
 * @param fence the fencing token of the lease that the node holds; zero if it holds none
 * @param members the status of the peers
 * @param upstreams the status of the upstreams
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
     * Status of one peer.
     *
     * @param node the name of the peer
     * @param status the name of its {@link org.lovagethread.core.member.MemberStatus}, in lower case
     * @param stopping whether the peer is stopping
     * @param revision the active configuration revision on the peer
     */
    public record MemberView(String node, String status, boolean stopping, long revision) {}

    /**
     * Status of one upstream.
     *
     * @param id the identifier of the upstream
     * @param service the service
     * @param zone the availability zone
     * @param leaving whether the upstream is marked as leaving and receives no new attempts
     * @param inFlight the number of attempts that this node has in flight at the upstream
     */
    public record UpstreamView(String id, String service, String zone, boolean leaving, int inFlight) {}
}
