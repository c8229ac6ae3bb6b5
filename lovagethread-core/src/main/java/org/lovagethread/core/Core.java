package org.lovagethread.core;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.SplittableRandom;
import org.lovagethread.core.call.CallManager;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.command.Outbox;
import org.lovagethread.core.config.Configuration;
import org.lovagethread.core.event.Event;
import org.lovagethread.core.lease.LeaseManager;
import org.lovagethread.core.lease.Rollout;
import org.lovagethread.core.limit.CustomerLimits;
import org.lovagethread.core.member.LeavingUpstream;
import org.lovagethread.core.member.MemberStatus;
import org.lovagethread.core.member.MemberTable;
import org.lovagethread.core.member.PeerState;
import org.lovagethread.core.status.NodeStatus;
import org.lovagethread.core.upstream.Router;
import org.lovagethread.core.upstream.UpstreamTable;

/**
 * Decision logic of one node, implemented as a deterministic state machine.
 *
 * <p>The same settings and the same sequence of events with their times always produce the same commands. The core
 * performs no I/O and reads no clock. It is not thread-safe.
 */
public final class Core {
    /** Time before the reclaim deadline of this node's instance at which streams are handed over, in milliseconds. */
    private static final long HAND_OVER_MARGIN_MILLIS = 3_000;

    /** Time allowed for peers to receive the heartbeat of a stopping node, in milliseconds. */
    private static final long STOP_MARGIN_MILLIS = 2 * MemberTable.HEARTBEAT_INTERVAL_MILLIS;

    private final CallManager calls;
    private final CustomerLimits limits = new CustomerLimits();
    private final LeaseManager leaseManager;
    private final MemberTable members;
    private final Outbox out = new Outbox();
    private final Rollout rollout;
    private final CoreSettings settings;
    private final UpstreamTable upstreams = new UpstreamTable();
    private Optional<Configuration> configuration = Optional.empty();
    private long heartbeatSequence;
    private long nextHeartbeatMillis;
    private boolean stopping;
    private long handOverAtMillis;
    private long serveUntilMillis;
    private boolean exitRequested;

    /**
     * Creates a core without a configuration, peers or upstreams.
     *
     * @param settings the settings of the node
     */
    public Core(CoreSettings settings) {
        this.settings = Objects.requireNonNull(settings, "settings");
        members = new MemberTable(settings);
        leaseManager = new LeaseManager(settings, out);
        rollout = new Rollout(leaseManager, upstreams, out);
        Router router = new Router(settings, new SplittableRandom(settings.seed()));
        calls = new CallManager(
                settings, () -> configuration, limits, router, upstreams, members, this::hasOwnerFailed, out);
    }

    /**
     * Returns the active configuration.
     *
     * @return the configuration, or empty if none has been received
     */
    public Optional<Configuration> configuration() {
        return configuration;
    }

    /**
     * Handles one event.
     *
     * @param nowMillis the current time in milliseconds since the epoch
     * @param event the event
     * @return the commands to execute, in order
     */
    public List<Command> handle(long nowMillis, Event event) {
        Objects.requireNonNull(event, "event");
        if (event instanceof Event.AttemptProgressed progressed) {
            calls.onAttemptProgressed(progressed, nowMillis);
        } else if (event instanceof Event.Ticked) {
            onTick(nowMillis);
        } else if (event instanceof Event.CallArrived arrived) {
            calls.onCallArrived(arrived.request(), nowMillis);
        } else if (event instanceof Event.AttemptEnded ended) {
            calls.onAttemptEnded(ended, nowMillis);
        } else if (event instanceof Event.ClaimReplied replied) {
            calls.onClaimReplied(replied, nowMillis);
        } else if (event instanceof Event.CallerLeft left) {
            calls.onCallerLeft(left.callId(), nowMillis);
        } else if (event instanceof Event.AddressAsked asked) {
            onAddressRequest(asked, nowMillis);
        } else {
            handleControl(nowMillis, event);
        }
        return out.drain();
    }

    private void handleControl(long nowMillis, Event event) {
        if (event instanceof Event.PeerHeard heard) {
            onPeerState(heard.state(), nowMillis);
        } else if (event instanceof Event.UpstreamsListed listed) {
            onUpstreamsLeaving(upstreams.updateListing(listed.upstreams(), nowMillis), nowMillis);
        } else if (event instanceof Event.ReclaimNoticed noticed) {
            onReclaimNotice(new LeavingUpstream(noticed.upstream(), noticed.deadlineMillis()), nowMillis);
        } else if (event instanceof Event.ConfigurationOffered offered) {
            onConfigurationOffer(offered.configuration(), nowMillis);
        } else if (event instanceof Event.NodesListed listed) {
            limits.setNodeCount(listed.nodes().size());
        } else if (event instanceof Event.LeaseReplied replied) {
            leaseManager.onReply(replied, nowMillis);
        } else if (event instanceof Event.OrderEnded ended) {
            rollout.onOrderEnded(ended);
        } else if (event instanceof Event.StatusAsked asked) {
            out.add(new Command.AnswerStatus(asked.callId(), buildStatus(nowMillis)));
        } else if (event instanceof Event.CallAdopted adopted) {
            calls.onCallAdopted(adopted, stopping, nowMillis);
        } else if (event instanceof Event.HandOverReplied replied) {
            calls.onHandOverReplied(replied, nowMillis);
        } else if (event instanceof Event.StopRequested) {
            onStopRequest(nowMillis + settings.stopGraceMillis(), nowMillis);
        } else {
            throw new IllegalArgumentException(
                    "unknown event " + event.getClass().getName());
        }
    }

    private void onAddressRequest(Event.AddressAsked asked, long nowMillis) {
        List<String> addresses =
                members.addresses(asked.service(), asked.customer(), asked.session(), stopping, nowMillis);
        out.add(new Command.AnswerAddress(asked.callId(), addresses, nowMillis + settings.addressLifetimeMillis()));
    }

    private void onConfigurationOffer(Configuration offered, long nowMillis) {
        long current = configuration.map(Configuration::revision).orElse(0L);
        if (offered.revision() <= current) {
            return;
        }
        configuration = Optional.of(offered);
        out.add(new Command.ActivateConfiguration(offered.revision()));
        sendHeartbeat(nowMillis);
    }

    private void sendHeartbeat(long nowMillis) {
        nextHeartbeatMillis = nowMillis + MemberTable.HEARTBEAT_INTERVAL_MILLIS;
        heartbeatSequence++;
        out.add(new Command.TellPeers(new PeerState(
                settings.node(),
                settings.incarnation(),
                heartbeatSequence,
                settings.address(),
                settings.peerAddress(),
                settings.zone(),
                stopping,
                configuration.map(Configuration::revision).orElse(0L),
                upstreams.loads(),
                upstreams.leavingUpstreams())));
    }

    private void onUpstreamsLeaving(List<LeavingUpstream> newlyLeaving, long nowMillis) {
        if (!newlyLeaving.isEmpty()) {
            sendHeartbeat(nowMillis);
            calls.onUpstreamsLeaving(newlyLeaving, nowMillis);
        }
    }

    private boolean hasOwnerFailed(String token, long nowMillis) {
        String[] parts = token.split("#", -1);
        if (parts.length != 3) {
            return false;
        }
        long incarnation = Long.parseLong(parts[1]);
        if (parts[0].equals(settings.node())) {
            return incarnation != settings.incarnation();
        }
        boolean restarted = members.states().stream()
                .anyMatch(state -> state.node().equals(parts[0]) && state.incarnation() > incarnation);
        return restarted || members.status(parts[0], nowMillis).orElse(MemberStatus.ALIVE) == MemberStatus.DEAD;
    }

    private void onPeerState(PeerState state, long nowMillis) {
        if (!members.update(state, nowMillis)) {
            return;
        }
        upstreams.updatePeerLoads(members.loads(nowMillis));
        if (state.revision() > configuration.map(Configuration::revision).orElse(0L)) {
            out.add(new Command.RequestConfiguration(state.peerAddress(), state.revision()));
        }
        List<LeavingUpstream> newlyLeaving = state.leavingUpstreams().stream()
                .filter(mark -> upstreams.markLeaving(mark.upstream(), mark.deadlineMillis()))
                .toList();
        calls.onUpstreamsLeaving(newlyLeaving, nowMillis);
    }

    private void onReclaimNotice(LeavingUpstream mark, long nowMillis) {
        if (mark.upstream().equals(settings.node())) {
            onStopRequest(mark.deadlineMillis() - HAND_OVER_MARGIN_MILLIS, nowMillis);
            return;
        }
        if (upstreams.markLeaving(mark.upstream(), mark.deadlineMillis())) {
            onUpstreamsLeaving(List.of(mark), nowMillis);
        }
    }

    private NodeStatus buildStatus(long nowMillis) {
        return new NodeStatus(
                settings.node(),
                settings.zone(),
                settings.incarnation(),
                stopping,
                configuration.map(Configuration::revision).orElse(0L),
                calls.unfinishedCount(),
                leaseManager.heldLease(nowMillis).map(held -> held.fence()).orElse(0L),
                members.views(nowMillis),
                upstreams.views());
    }

    private void onStopRequest(long handOverMillis, long nowMillis) {
        handOverAtMillis = stopping ? Math.min(handOverAtMillis, handOverMillis) : handOverMillis;
        if (stopping) {
            return;
        }
        stopping = true;
        serveUntilMillis = nowMillis + settings.addressLifetimeMillis() + STOP_MARGIN_MILLIS;
        sendHeartbeat(nowMillis);
    }

    private void onTick(long nowMillis) {
        boolean holdsLease = leaseManager.heldLease(nowMillis).isPresent();
        leaseManager.onTick(!stopping && (holdsLease || members.isFirstLiveNode(nowMillis)), nowMillis);
        rollout.onTick(configuration, nowMillis);
        calls.onTick(nowMillis);
        if (nowMillis >= nextHeartbeatMillis) {
            upstreams.removeExpiredMarks(nowMillis);
            sendHeartbeat(nowMillis);
        }
        if (stopping && nowMillis >= handOverAtMillis) {
            calls.handOverStreams(nowMillis);
        }
        boolean drained = stopping && nowMillis >= serveUntilMillis && calls.unfinishedCount() == 0;
        if (drained && !exitRequested) {
            exitRequested = true;
            out.add(new Command.ExitProcess());
        }
    }
}
