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
 * Holds the last state heard from each peer and judges which peers are alive.
 *
 * <p>Liveness depends on heartbeats between nodes alone and never on the Object API.
 */
public final class MemberTable {
    /** Time between two heartbeats of a node, in milliseconds. */
    public static final long HEARTBEAT_INTERVAL_MILLIS = 1_000;

    /** Silence after which a peer is suspected, in milliseconds. */
    public static final long SUSPECT_TIMEOUT_MILLIS = 2_500;

    /** Silence after which a peer is taken for dead, in milliseconds. */
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
            long silence = nowMillis - receivedAtMillis;
            if (silence >= DEAD_TIMEOUT_MILLIS) {
                return MemberStatus.DEAD;
            }
            return silence >= SUSPECT_TIMEOUT_MILLIS ? MemberStatus.SUSPECT : MemberStatus.ALIVE;
        }
    }

    private record RankedAddress(String address, long rank) {}

    /**
     * Returns the addresses for a caller, best first.
     *
     * <p>The order is a rendezvous hash of service, customer and session, so a session keeps its node while that node
     * stays, and sessions spread evenly. Nodes that are stopping or silent are left out.
     *
     * @param service the service to be called
     * @param customer the customer
     * @param session the session, or an empty text
     * @param selfStopping whether this node plans to stop
     * @param nowMillis the present time in milliseconds since the epoch
     * @return at most three addresses; empty if this node is stopping and no other node is alive
     */
    public List<String> addresses(
            String service, String customer, String session, boolean selfStopping, long nowMillis) {
        String key = service + '\n' + customer + '\n' + session;
        List<RankedAddress> choices = new ArrayList<>();
        if (!selfStopping) {
            choices.add(new RankedAddress(settings.address(), RendezvousHash.rank(key, settings.node())));
        }
        for (Member member : members.values()) {
            if (!member.state.stopping() && member.status(nowMillis) == MemberStatus.ALIVE) {
                choices.add(new RankedAddress(member.state.address(), RendezvousHash.rank(key, member.state.node())));
            }
        }
        return choices.stream()
                .sorted(Comparator.comparingLong(RankedAddress::rank).thenComparing(RankedAddress::address))
                .limit(MAX_ADDRESSES)
                .map(RankedAddress::address)
                .toList();
    }

    /**
     * Returns the peers that can carry on a stream of this node, best first.
     *
     * @param key a text that identifies the stream
     * @param nowMillis the present time in milliseconds since the epoch
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
     * Tests whether this node comes first among the nodes that are alive and not stopping.
     *
     * @param nowMillis the present time in milliseconds since the epoch
     * @return true if no such peer has a name before this node's
     */
    public boolean isFirstLiveNode(long nowMillis) {
        return members.values().stream()
                .filter(member -> !member.state.stopping() && member.status(nowMillis) == MemberStatus.ALIVE)
                .noneMatch(member -> member.state.node().compareTo(settings.node()) < 0);
    }

    /**
     * Takes in a heartbeat.
     *
     * @param state the state of the peer
     * @param nowMillis the present time in milliseconds since the epoch
     * @return true if the state supersedes what was known; false for this node's own, old or repeated states
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
     * Returns what the peers that are alive have in flight at upstreams.
     *
     * @param nowMillis the present time in milliseconds since the epoch
     * @return the reports of all these peers
     */
    public List<UpstreamLoad> loads(long nowMillis) {
        return members.values().stream()
                .filter(member -> member.status(nowMillis) == MemberStatus.ALIVE)
                .flatMap(member -> member.state.loads().stream())
                .toList();
    }

    /**
     * Returns the state last heard from each peer.
     *
     * @return the states in the order of the names
     */
    public List<PeerState> states() {
        return members.values().stream().map(member -> member.state).toList();
    }

    /**
     * Returns the status of a peer.
     *
     * @param node the name of the peer
     * @param nowMillis the present time in milliseconds since the epoch
     * @return the status, or empty if the peer was never heard
     */
    public Optional<MemberStatus> status(String node, long nowMillis) {
        return Optional.ofNullable(members.get(node)).map(member -> member.status(nowMillis));
    }

    /**
     * Returns the peers as operators see them.
     *
     * @param nowMillis the present time in milliseconds since the epoch
     * @return the peers in the order of their names
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
