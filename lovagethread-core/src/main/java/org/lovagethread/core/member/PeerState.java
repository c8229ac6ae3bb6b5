package org.lovagethread.core.member;

import java.util.List;
import java.util.Objects;
import org.lovagethread.core.Checks;
import org.lovagethread.core.upstream.UpstreamLoad;

/**
 * Holds what one node tells its peers with each heartbeat.
 *
 * @param node the name of the node
 * @param incarnation the start time of the process; a larger number supersedes a smaller one
 * @param sequence the number of the heartbeat in this incarnation
 * @param address the host and port for callers
 * @param peerAddress the host and port for peers
 * @param zone the availability zone
 * @param stopping whether the node plans to stop
 * @param revision the configuration revision in force; zero if none
 * @param loads the attempts that the node has in flight at upstreams
 * @param leavingUpstreams the upstreams that the node knows to be leaving
 */
public record PeerState(
        String node,
        long incarnation,
        long sequence,
        String address,
        String peerAddress,
        String zone,
        boolean stopping,
        long revision,
        List<UpstreamLoad> loads,
        List<LeavingUpstream> leavingUpstreams) {

    /** Validates the fields and copies the list. */
    public PeerState {
        Checks.notBlank(node, "node");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(peerAddress, "peer address");
        Objects.requireNonNull(zone, "zone");
        loads = List.copyOf(loads);
        leavingUpstreams = List.copyOf(leavingUpstreams);
    }

    /**
     * Tests whether this state supersedes another one of the same node.
     *
     * @param other the state known so far
     * @return true if this state is of a later incarnation, or later in the same one
     */
    public boolean supersedes(PeerState other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return sequence > other.sequence;
    }
}
