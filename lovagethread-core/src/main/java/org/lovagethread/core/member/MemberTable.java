package org.lovagethread.core.member;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.TreeMap;
import org.lovagethread.core.CoreSettings;
import org.lovagethread.core.RendezvousHash;
import org.lovagethread.core.status.NodeStatus;
import org.lovagethread.core.upstream.UpstreamLoad;

/**
 * Table of the latest state received from each peer, with failure detection by heartbeats.
 *
 * <p>Liveness depends only on heartbeats between nodes and never on the Object API.
 */
public final class MemberTable {
    /** Time between two heartbeats of a node, in milliseconds. */
    public static final long HEARTBEAT_INTERVAL_MILLIS = 1_000;

    /** Time without a heartbeat after which a peer is suspected to have failed, in milliseconds. */
    public static final long SUSPECT_TIMEOUT_MILLIS = 2_500;

    /** Time without a heartbeat after which a peer is considered dead, in milliseconds. */
    public static final long DEAD_TIMEOUT_MILLIS = 6_000;

    private static final int MAX_ADDRESSES = 3;

    private final CoreSettings settings;
    private final TreeMap<String, Member> members = new TreeMap<>();

    /**
     * Creates an empty table.
     *
     * @param settings the settings of this node
     */
    public MemberTable(CoreSettings settings) {
        this.settings = settings;
    }

    private static final class Member {
        private PeerState state;
        private long receivedAtMillis;

        private MemberStatus status(long nowMillis) {
            long elapsedMillis = nowMillis - receivedAtMillis;
            if (elapsedMillis >= DEAD_TIMEOUT_MILLIS) {
                return MemberStatus.DEAD;
            }
            return elapsedMillis >= SUSPECT_TIMEOUT_MILLIS ? MemberStatus.SUSPECT : MemberStatus.ALIVE;
        }
    }

    private record RankedAddress(String address, long rank) {}

    /**
     * Returns the addresses of nodes that a caller may use, in order of preference.
     *
     * <p>The order is given by a rendezvous hash of service, customer and session. A session therefore stays on its
     * node while that node is available, and sessions are spread evenly. Nodes that are stopping or not alive are
     * excluded.
     *
     * @param service the service to call
     * @param customer the customer
     * @param session the session, or an empty string
     * @param selfStopping whether this node is stopping
     * @param nowMillis the current time in milliseconds since the epoch
     * @return at most three addresses; empty if this node is stopping and no other node is alive
     */
    public List<String> addresses(
            String service, String customer, String session, boolean selfStopping, long nowMillis) {
        String key = service + '\n' + customer + '\n' + session;
        List<RankedAddress> candidates = new ArrayList<>();
        if (!selfStopping) {
            candidates.add(new RankedAddress(settings.address(), RendezvousHash.rank(key, settings.node())));
        }
        for (Member member : members.values()) {
            if (!member.state.stopping() && member.status(nowMillis) == MemberStatus.ALIVE) {
                candidates.add(
                        new RankedAddress(member.state.address(), RendezvousHash.rank(key, member.state.node())));
            }
        }
        return candidates.stream()
                .sorted(Comparator.comparingLong(RankedAddress::rank).thenComparing(RankedAddress::address))
                .limit(MAX_ADDRESSES)
                .map(RankedAddress::address)
                .toList();
    }

    /**
     * Returns the peers that can take over a stream of this node, in order of preference.
     *
     * @param key the key that identifies the stream
     * @param nowMillis the current time in milliseconds since the epoch
     * @return the states of peers that are alive and not stopping; empty if there are none
     */
    public List<PeerState> handOverTargets(String key, long nowMillis) {
        return members.values().stream()
                .filter(member -> !member.state.stopping() && member.status(nowMillis) == MemberStatus.ALIVE)
                .map(member -> member.state)
                .sorted(Comparator.comparingLong((PeerState state) -> RendezvousHash.rank(key, state.node())))
                .toList();
    }

    /**
     * Returns whether this node has the lexicographically first name of all nodes that are alive and not stopping.
     *
     * @param nowMillis the current time in milliseconds since the epoch
     * @return true if no such peer has a name that sorts before this node's
     */
    public boolean isFirstLiveNode(long nowMillis) {
        return members.values().stream()
                .filter(member -> !member.state.stopping() && member.status(nowMillis) == MemberStatus.ALIVE)
                .noneMatch(member -> member.state.node().compareTo(settings.node()) < 0);
    }

    /**
     * Updates the state of a peer from a heartbeat.
     *
     * @param state the state of the peer
     * @param nowMillis the current time in milliseconds since the epoch
     * @return true if the state supersedes the previous one; false if it is outdated, repeated or this node's own
     */
    public boolean update(PeerState state, long nowMillis) {
        if (state.node().equals(settings.node())) {
            return false;
        }
        Member member = members.computeIfAbsent(state.node(), node -> new Member());
        if (member.state != null && !state.supersedes(member.state)) {
            return false;
        }
        member.state = state;
        member.receivedAtMillis = nowMillis;
        return true;
    }

    /**
     * Returns the upstream loads reported by the peers that are alive.
     *
     * @param nowMillis the current time in milliseconds since the epoch
     * @return the loads of all these peers
     */
    public List<UpstreamLoad> loads(long nowMillis) {
        return members.values().stream()
                .filter(member -> member.status(nowMillis) == MemberStatus.ALIVE)
                .flatMap(member -> member.state.loads().stream())
                .toList();
    }

    /**
     * Returns the latest state received from each peer.
     *
     * @return the states, ordered by node name
     */
    public List<PeerState> states() {
        return members.values().stream().map(member -> member.state).toList();
    }

    /**
     * Returns the status of a peer.
     *
     * @param node the name of the peer
     * @param nowMillis the current time in milliseconds since the epoch
     * @return the status, or empty if no heartbeat of the peer has been received
     */
    public Optional<MemberStatus> status(String node, long nowMillis) {
        return Optional.ofNullable(members.get(node)).map(member -> member.status(nowMillis));
    }

    /**
     * Returns the status of the peers for operators.
     *
     * @param nowMillis the current time in milliseconds since the epoch
     * @return the peers, ordered by name
     */
    public List<NodeStatus.MemberView> views(long nowMillis) {
        List<NodeStatus.MemberView> views = new ArrayList<>();
        for (Member member : members.values()) {
            String status = member.status(nowMillis).name().toLowerCase(Locale.ROOT);
            PeerState state = member.state;
            views.add(new NodeStatus.MemberView(state.node(), status, state.stopping(), state.revision()));
        }
        return views;
    }
}
