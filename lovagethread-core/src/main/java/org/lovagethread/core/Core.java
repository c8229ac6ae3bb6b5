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
import org.lovagethread.core.lease.LeaseKeeper;
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
 * Makes every decision of one node.
 *
 * <p>The core is deterministic: the same settings and the same sequence of times and events give the same commands. It
 * does no input or output, reads no clock and is used by one thread.
 */
public final class Core {
    /** Time before the reclaim of this node's own instance at which streams are handed over, in milliseconds. */
    private static final long HAND_OVER_MARGIN_MILLIS = 3_000;

    private static final long STOP_SLACK_MILLIS = 2 * MemberTable.HEARTBEAT_PERIOD_MILLIS;

    private final CallManager calls;
    private final CustomerLimits limits = new CustomerLimits();
    private final LeaseKeeper lease;
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
    private boolean exited;

    /**
     * Creates a core that knows nothing yet.
     *
     * @param settings the settings of the node
     */
    public Core(CoreSettings settings) {
        this.settings = Objects.requireNonNull(settings, "settings");
        members = new MemberTable(settings);
        lease = new LeaseKeeper(settings, out);
        rollout = new Rollout(lease, upstreams, out);
        Router router = new Router(settings, new SplittableRandom(settings.seed()));
        calls = new CallManager(
                settings, () -> configuration, limits, router, upstreams, members, this::ownerGone, out);
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, or empty before the first one
     */
    public Optional<Configuration> configuration() {
        return configuration;
    }

    /**
     * Handles one event.
     *
     * @param nowMillis the present time in milliseconds since the epoch
     * @param event the event
     * @return the commands that follow, in order
     */
    public List<Command> handle(long nowMillis, Event event) {
        Objects.requireNonNull(event, "event");
        if (event instanceof Event.AttemptProgressed progressed) {
            calls.onAttemptProgressed(progressed, nowMillis);
        } else if (event instanceof Event.Ticked) {
            ticked(nowMillis);
        } else if (event instanceof Event.CallArrived arrived) {
            calls.onCallArrived(arrived.request(), nowMillis);
        } else if (event instanceof Event.AttemptEnded ended) {
            calls.onAttemptEnded(ended, nowMillis);
        } else if (event instanceof Event.ClaimReplied replied) {
            calls.onClaimReplied(replied, nowMillis);
        } else if (event instanceof Event.CallerLeft left) {
            calls.onCallerLeft(left.callId(), nowMillis);
        } else if (event instanceof Event.AddressAsked asked) {
            addressAsked(asked, nowMillis);
        } else {
            handleControl(nowMillis, event);
        }
        return out.drain();
    }

    private void handleControl(long nowMillis, Event event) {
        if (event instanceof Event.PeerHeard heard) {
            peerHeard(heard.state(), nowMillis);
        } else if (event instanceof Event.UpstreamsListed listed) {
            leaving(upstreams.list(listed.upstreams(), nowMillis), nowMillis);
        } else if (event instanceof Event.ReclaimNoticed noticed) {
            reclaimNoticed(new LeavingUpstream(noticed.upstream(), noticed.deadlineMillis()), nowMillis);
        } else if (event instanceof Event.ConfigurationOffered offered) {
            configurationOffered(offered.configuration(), nowMillis);
        } else if (event instanceof Event.NodesListed listed) {
            limits.setNodeCount(listed.nodes().size());
        } else if (event instanceof Event.LeaseReplied replied) {
            lease.replied(replied, nowMillis);
        } else if (event instanceof Event.OrderEnded ended) {
            rollout.orderEnded(ended);
        } else if (event instanceof Event.StatusAsked asked) {
            out.add(new Command.AnswerStatus(asked.callId(), status(nowMillis)));
        } else if (event instanceof Event.CallAdopted adopted) {
            calls.onCallAdopted(adopted, stopping, nowMillis);
        } else if (event instanceof Event.HandOverReplied replied) {
            calls.onHandOverReplied(replied, nowMillis);
        } else if (event instanceof Event.StopRequested) {
            stopRequested(nowMillis + settings.stopGraceMillis(), nowMillis);
        } else {
            throw new IllegalArgumentException(
                    "unknown event " + event.getClass().getName());
        }
    }

    private void addressAsked(Event.AddressAsked asked, long nowMillis) {
        List<String> addresses =
                members.addresses(asked.service(), asked.customer(), asked.session(), stopping, nowMillis);
        out.add(new Command.AnswerAddress(asked.callId(), addresses, nowMillis + settings.addressLifetimeMillis()));
    }

    private void configurationOffered(Configuration offered, long nowMillis) {
        long current = configuration.map(Configuration::revision).orElse(0L);
        if (offered.revision() <= current) {
            return;
        }
        configuration = Optional.of(offered);
        out.add(new Command.ActivateConfiguration(offered.revision()));
        heartbeat(nowMillis);
    }

    private void heartbeat(long nowMillis) {
        nextHeartbeatMillis = nowMillis + MemberTable.HEARTBEAT_PERIOD_MILLIS;
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
                upstreams.leaving())));
    }

    private void leaving(List<LeavingUpstream> fresh, long nowMillis) {
        if (!fresh.isEmpty()) {
            heartbeat(nowMillis);
            calls.onUpstreamsLeaving(fresh, nowMillis);
        }
    }

    private boolean ownerGone(String token, long nowMillis) {
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

    private void peerHeard(PeerState state, long nowMillis) {
        if (!members.heard(state, nowMillis)) {
            return;
        }
        upstreams.reported(members.loads(nowMillis));
        if (state.revision() > configuration.map(Configuration::revision).orElse(0L)) {
            out.add(new Command.RequestConfiguration(state.peerAddress(), state.revision()));
        }
        List<LeavingUpstream> fresh = state.leavingUpstreams().stream()
                .filter(mark -> upstreams.markLeaving(mark.upstream(), mark.deadlineMillis()))
                .toList();
        calls.onUpstreamsLeaving(fresh, nowMillis);
    }

    private void reclaimNoticed(LeavingUpstream mark, long nowMillis) {
        if (mark.upstream().equals(settings.node())) {
            stopRequested(mark.deadlineMillis() - HAND_OVER_MARGIN_MILLIS, nowMillis);
            return;
        }
        if (upstreams.markLeaving(mark.upstream(), mark.deadlineMillis())) {
            leaving(List.of(mark), nowMillis);
        }
    }

    private NodeStatus status(long nowMillis) {
        return new NodeStatus(
                settings.node(),
                settings.zone(),
                settings.incarnation(),
                stopping,
                configuration.map(Configuration::revision).orElse(0L),
                calls.unfinishedCount(),
                lease.held(nowMillis).map(held -> held.fence()).orElse(0L),
                members.views(nowMillis),
                upstreams.views());
    }

    private void stopRequested(long handOverBy, long nowMillis) {
        handOverAtMillis = stopping ? Math.min(handOverAtMillis, handOverBy) : handOverBy;
        if (stopping) {
            return;
        }
        stopping = true;
        serveUntilMillis = nowMillis + settings.addressLifetimeMillis() + STOP_SLACK_MILLIS;
        heartbeat(nowMillis);
    }

    private void ticked(long nowMillis) {
        boolean holds = lease.held(nowMillis).isPresent();
        lease.ticked(!stopping && (holds || members.first(nowMillis)), nowMillis);
        rollout.ticked(configuration, nowMillis);
        calls.onTick(nowMillis);
        if (nowMillis >= nextHeartbeatMillis) {
            upstreams.expire(nowMillis);
            heartbeat(nowMillis);
        }
        if (stopping && nowMillis >= handOverAtMillis) {
            calls.handOverStreams(nowMillis);
        }
        boolean quiet = stopping && nowMillis >= serveUntilMillis && calls.unfinishedCount() == 0;
        if (quiet && !exited) {
            exited = true;
            out.add(new Command.ExitProcess());
        }
    }
}
