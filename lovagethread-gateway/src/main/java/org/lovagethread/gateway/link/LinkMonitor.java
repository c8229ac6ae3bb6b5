package org.lovagethread.gateway.link;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.DoubleSupplier;
import org.lovagethread.gateway.upstream.UpstreamEntry;

/**
 * Decides whether this gateway as a whole is cut off from the upstreams. Not thread-safe.
 *
 * <p>New connections decide, since open ones may live on or be silent for reasons of their upstreams. The gateway is
 * isolated when connections to several different upstreams have failed, none has succeeded since the first of them, and a
 * peer has reached an upstream meanwhile. Silence and resets of open connections only cause probes: connections that are
 * opened to see whether they succeed.
 *
 * <p>A gateway that stood still concludes nothing from that time: neither from connections begun before its end, nor from
 * what had been waiting to be read.
 */
public final class LinkMonitor {
    /** Time after which a probe without a result counts as failed, in milliseconds. */
    public static final int PROBE_TIMEOUT_MILLIS = 300;

    /** Time between two calls from which the gateway is assumed to have stood still, in milliseconds. */
    private static final long STANDSTILL_MILLIS = 250;

    /** Time after a standstill for which what is read may have been waiting, in milliseconds. */
    private static final long BACKLOG_MILLIS = 250;

    /** Time without bytes, while requests are under way, from which the links are probed, in milliseconds. */
    private static final long MAX_SILENCE_MILLIS = 400;

    /** Minimum time without bytes, while peers reach upstreams, from which the links are probed, in milliseconds. */
    private static final long MIN_IDLE_MILLIS = 1_500;

    /** Maximum random addition to {@link #MIN_IDLE_MILLIS}, in milliseconds. */
    private static final long IDLE_JITTER_MILLIS = 500;

    /** Age of the latest contact of a peer with an upstream up to which idle links are probed, in milliseconds. */
    private static final long PEER_CONTACT_MILLIS = 3_000;

    /** Time for which an established connection makes probes because of resets unnecessary, in milliseconds. */
    private static final long FRESH_CONNECTION_MILLIS = 300;

    /** Time without a result from which a probe causes others, in milliseconds. */
    private static final long PROBE_SILENCE_MILLIS = 150;

    /** Maximum number of probes under way until it is known whether all upstreams fail. */
    private static final int MAX_PROBES = 5;

    /** Maximum number of probes under way afterwards. */
    private static final int MAX_FURTHER_PROBES = 2;

    /** Minimum time between further probes, in milliseconds. */
    private static final long MIN_PROBE_INTERVAL_MILLIS = 150;

    /** Maximum random addition to {@link #MIN_PROBE_INTERVAL_MILLIS}, in milliseconds. */
    private static final long PROBE_JITTER_MILLIS = 150;

    /** Time after the failures from which contacts of peers contradict them, in milliseconds. */
    private static final long CONTRADICTION_MILLIS = 100;

    /** Number of upstreams that must fail after the contact of a peer, if there are as many. */
    private static final int MIN_CONFIRMATIONS = 2;

    /** Minimum duration of the failures if there are so few upstreams that all may be silent, in milliseconds. */
    private static final long FEW_UPSTREAMS_MILLIS = 1_500;

    /** Number of upstreams up to which all may be silent at the same time. */
    private static final int FEW_UPSTREAMS = 2;

    private final DoubleSupplier random;
    private final LinkTrouble trouble = new LinkTrouble();
    private final PeerLinks peers = new PeerLinks();
    private final LinkRecovery recovery = new LinkRecovery();
    private final LinkProbes probes;
    private Optional<LinkChange> change = Optional.empty();
    private OptionalLong connectedMillis = OptionalLong.empty();
    private OptionalLong receivedMillis = OptionalLong.empty();
    private OptionalLong waitingSinceMillis = OptionalLong.empty();
    private OptionalLong observedMillis = OptionalLong.empty();
    private OptionalLong contradictedMillis = OptionalLong.empty();
    private Collection<UpstreamEntry> known = List.of();
    private boolean isolated;
    private boolean resetSuspected;
    private long quietSinceMillis;
    private long idleDeadlineMillis;
    private long nextProbeMillis;
    private long trustedFromMillis;

    /**
     * Creates a monitor of a gateway that is not isolated.
     *
     * @param random supplies random numbers from 0 to 1
     */
    public LinkMonitor(DoubleSupplier random) {
        this.random = random;
        this.probes = new LinkProbes(random);
    }

    /**
     * Records that a connection to an upstream was established.
     *
     * @param upstream the upstream
     * @param beganMillis when the connection was begun, in milliseconds
     * @param nowMillis the current time in milliseconds
     */
    public void recordConnected(UpstreamEntry upstream, long beganMillis, long nowMillis) {
        observe(nowMillis);
        probes.end(upstream.id());
        if (beganMillis < trustedFromMillis) {
            return;
        }
        connectedMillis = OptionalLong.of(nowMillis);
        endQuiet(nowMillis);
        resetSuspected = false;
        trouble.clear();
        if (isolated) {
            recovery.recordConnected(upstream.id());
        }
    }

    /**
     * Records that a connection to an upstream could not be established.
     *
     * @param upstream the upstream
     * @param beganMillis when the connection was begun, in milliseconds
     * @param nowMillis the current time in milliseconds
     */
    public void recordFailed(UpstreamEntry upstream, long beganMillis, long nowMillis) {
        observe(nowMillis);
        probes.end(upstream.id());
        boolean outdated = connectedMillis.isPresent() && beganMillis < connectedMillis.getAsLong();
        if (beganMillis < trustedFromMillis || outdated) {
            return;
        }
        trouble.record(upstream, beganMillis, nowMillis);
        recovery.recordFailed(upstream.id());
    }

    /**
     * Records that a connection to an upstream was given up for other reasons, which says nothing about the links.
     *
     * @param upstream the upstream
     */
    public void recordAbandoned(UpstreamEntry upstream) {
        probes.end(upstream.id());
    }

    /**
     * Records that bytes were received from an upstream.
     *
     * @param nowMillis the current time in milliseconds
     */
    public void recordReceived(long nowMillis) {
        observe(nowMillis);
        endQuiet(nowMillis);
        if (nowMillis >= trustedFromMillis) {
            receivedMillis = OptionalLong.of(nowMillis);
        }
    }

    /**
     * Records that an established connection to an upstream was reset.
     *
     * @param nowMillis the current time in milliseconds
     */
    public void recordReset(long nowMillis) {
        observe(nowMillis);
        resetSuspected = true;
    }

    /**
     * Records what a peer has stated about its links.
     *
     * @param peer the name of the peer
     * @param statement the statement
     * @param nowMillis the current time in milliseconds
     */
    public void recordPeer(String peer, LinkStatement statement, long nowMillis) {
        observe(nowMillis);
        if (nowMillis >= trustedFromMillis) {
            peers.update(peer, statement, nowMillis);
        }
    }

    /**
     * Draws conclusions. To be called several times in {@link #STANDSTILL_MILLIS}, since a longer pause counts as a
     * standstill of the gateway.
     *
     * @param upstreams the upstreams of all services that can be tried
     * @param requestsUnderWay whether upstreams have yet to complete responses
     * @param nowMillis the current time in milliseconds
     */
    public void tick(Collection<UpstreamEntry> upstreams, boolean requestsUnderWay, long nowMillis) {
        observe(nowMillis);
        known = upstreams;
        peers.expire(nowMillis);
        trouble.expire(nowMillis);
        if (!requestsUnderWay) {
            waitingSinceMillis = OptionalLong.empty();
        } else if (waitingSinceMillis.isEmpty()) {
            waitingSinceMillis = OptionalLong.of(nowMillis);
        }
        if (isolated) {
            concludeRestored(nowMillis);
        } else {
            concludeLost(nowMillis);
        }
    }

    /**
     * Begins the probes that are due. Each must be recorded as connected or failed.
     *
     * @param nowMillis the current time in milliseconds
     * @return the upstreams to which a connection is to be opened
     */
    public List<UpstreamEntry> beginProbes(long nowMillis) {
        int wanted = wantedProbes(nowMillis);
        if (wanted <= probes.underWay()) {
            return List.of();
        }
        List<UpstreamEntry> begun = probes.begin(wanted, known, trouble, nowMillis);
        resetSuspected = false;
        nextProbeMillis = nowMillis + MIN_PROBE_INTERVAL_MILLIS + jitter(PROBE_JITTER_MILLIS);
        return begun;
    }

    /**
     * Returns whether this gateway is cut off from all upstreams although others should be reachable.
     *
     * @return true from the loss of its links until they are restored
     */
    public boolean isIsolated() {
        return isolated;
    }

    /**
     * Returns whether a peer reaches upstreams, so that it could serve requests in the place of this gateway.
     *
     * @param nowMillis the current time in milliseconds
     * @return true if a peer has reached an upstream lately and is not isolated
     */
    public boolean isPeerConnected(long nowMillis) {
        return peers.reachingSince(nowMillis - PEER_CONTACT_MILLIS) > 0;
    }

    /**
     * Returns what this gateway states to its peers.
     *
     * @param nowMillis the current time in milliseconds
     * @return the statement
     */
    public LinkStatement statement(long nowMillis) {
        boolean failsWidely = trouble.wideSinceMillis(known).isPresent();
        long reachedMillis = Math.max(
                connectedMillis.orElse(Long.MIN_VALUE),
                failsWidely ? Long.MIN_VALUE : receivedMillis.orElse(Long.MIN_VALUE));
        return new LinkStatement(
                isolated,
                reachedMillis == Long.MIN_VALUE ? OptionalLong.empty() : OptionalLong.of(nowMillis - reachedMillis));
    }

    /**
     * Returns the latest change that has not been taken.
     *
     * @return the change; empty if there was none since the last call
     */
    public Optional<LinkChange> takeChange() {
        Optional<LinkChange> taken = change;
        change = Optional.empty();
        return taken;
    }

    private void concludeLost(long nowMillis) {
        findContradiction();
        if (contradictedMillis.isEmpty() || !isConfirmed(contradictedMillis.getAsLong())) {
            return;
        }
        long sinceMillis = trouble.sinceMillis().orElse(nowMillis);
        if (known.size() <= FEW_UPSTREAMS && nowMillis - sinceMillis < FEW_UPSTREAMS_MILLIS) {
            return;
        }
        isolated = true;
        recovery.onLost(nowMillis);
        int reachingPeers = peers.reachingSince(contradictedMillis.getAsLong() - 1);
        change = Optional.of(new LinkChange.Lost(trouble.size(), known.size(), reachingPeers, nowMillis - sinceMillis));
    }

    /** Looks for the first contact of a peer with an upstream since all upstreams that were tried here have failed. */
    private void findContradiction() {
        OptionalLong wideSinceMillis = trouble.wideSinceMillis(known);
        if (wideSinceMillis.isEmpty()) {
            contradictedMillis = OptionalLong.empty();
        } else if (contradictedMillis.isEmpty()) {
            contradictedMillis = peers.firstContactAfter(wideSinceMillis.getAsLong() + CONTRADICTION_MILLIS);
        }
    }

    /** Returns whether upstreams have failed here after a peer has reached one, which may have recovered before. */
    private boolean isConfirmed(long peerContactMillis) {
        return trouble.failedSince(peerContactMillis) >= Math.min(MIN_CONFIRMATIONS, known.size());
    }

    private void concludeRestored(long nowMillis) {
        if (recovery.isComplete(known.size(), isPeerConnected(nowMillis), nowMillis)) {
            isolated = false;
            contradictedMillis = OptionalLong.empty();
            change = Optional.of(
                    new LinkChange.Restored(recovery.answeredUpstreams(), recovery.isolatedMillis(nowMillis)));
            recovery.onRestored(nowMillis);
        }
    }

    /** Returns the number of probes that should be under way. */
    private int wantedProbes(long nowMillis) {
        if (isolated) {
            return furtherProbes(nowMillis);
        }
        if (trouble.size() > 1 || (!trouble.isEmpty() && isProbeSilent(nowMillis))) {
            if (contradictedMillis.isPresent()) {
                return probes.underWay() + MIN_CONFIRMATIONS - probes.begunSince(contradictedMillis.getAsLong());
            }
            return trouble.wideSinceMillis(known).isPresent() ? furtherProbes(nowMillis) : MAX_PROBES;
        }
        if (isProbeSilent(nowMillis)) {
            return MAX_PROBES;
        }
        boolean suspected = resetSuspected || !trouble.isEmpty() || isQuiet(nowMillis);
        boolean provenFresh =
                connectedMillis.isPresent() && nowMillis - connectedMillis.getAsLong() < FRESH_CONNECTION_MILLIS;
        return suspected && !provenFresh && nowMillis >= nextProbeMillis ? 1 : 0;
    }

    private boolean isProbeSilent(long nowMillis) {
        return probes.isSilent(PROBE_SILENCE_MILLIS, nowMillis);
    }

    /** Returns one more probe than are under way if the interval since the last one is over. */
    private int furtherProbes(long nowMillis) {
        return nowMillis < nextProbeMillis ? 0 : Math.min(MAX_FURTHER_PROBES, probes.underWay() + 1);
    }

    private boolean isQuiet(long nowMillis) {
        boolean silent = waitingSinceMillis.isPresent()
                && nowMillis - Math.max(quietSinceMillis, waitingSinceMillis.getAsLong()) >= MAX_SILENCE_MILLIS;
        return silent || (nowMillis >= idleDeadlineMillis && isPeerConnected(nowMillis));
    }

    private void endQuiet(long nowMillis) {
        quietSinceMillis = nowMillis;
        idleDeadlineMillis = nowMillis + MIN_IDLE_MILLIS + jitter(IDLE_JITTER_MILLIS);
    }

    private long jitter(long maxMillis) {
        return (long) (random.getAsDouble() * maxMillis);
    }

    /** Forgets what was concluded before a standstill of the gateway. */
    private void observe(long nowMillis) {
        boolean stoodStill = observedMillis.isPresent() && nowMillis - observedMillis.getAsLong() > STANDSTILL_MILLIS;
        if (observedMillis.isEmpty()) {
            endQuiet(nowMillis);
        } else if (stoodStill) {
            trustedFromMillis = nowMillis + BACKLOG_MILLIS;
            trouble.clear();
            peers.clear();
            contradictedMillis = OptionalLong.empty();
            recovery.forgetAnswers();
            resetSuspected = false;
            waitingSinceMillis = OptionalLong.empty();
            endQuiet(nowMillis);
        }
        observedMillis = OptionalLong.of(nowMillis);
    }
}
