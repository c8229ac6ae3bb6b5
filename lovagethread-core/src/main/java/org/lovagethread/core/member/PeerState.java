package org.lovagethread.core.member;

import java.util.List;
import java.util.Objects;
import org.lovagethread.core.Checks;
import org.lovagethread.core.upstream.UpstreamLoad;

/**
 * State that a node sends to its peers with each heartbeat.
 *
 * @param node the name of the node
 * @param incarnation the start time of the process; a larger number supersedes a smaller one
 * @param sequence the sequence number of the heartbeat within the incarnation
 * @param address the host and port for callers
 * @param peerAddress the host and port for peers
 * @param zone the availability zone
 * @param stopping whether the node is stopping
 * @param revision the active configuration revision; zero if none
 * @param loads the attempts that the node has in flight at upstreams
 * @param leavingUpstreams the upstreams that the node has marked as leaving
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

    /** Validates the fields and copies the lists. */
    public PeerState {
        Checks.notBlank(node, "node");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(peerAddress, "peer address");
        Objects.requireNonNull(zone, "zone");
        loads = List.copyOf(loads);
        leavingUpstreams = List.copyOf(leavingUpstreams);
    }

    /**
     * Returns whether this state supersedes another state of the same node.
     *
     * @param other the previous state
     * @return true if this state has a later incarnation, or the same incarnation and a higher sequence number
     */
    public boolean supersedes(PeerState other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return sequence > other.sequence;
    }
}
