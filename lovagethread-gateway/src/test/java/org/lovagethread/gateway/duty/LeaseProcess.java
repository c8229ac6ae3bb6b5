package org.lovagethread.gateway.duty;

import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.store.EraStore;
import org.lovagethread.gateway.store.ObjectKind;
import org.lovagethread.gateway.store.StoreVersion;

/** Process of a gateway, which ticks its lease and sends duty calls while it holds it. */
final class LeaseProcess {
    private static final long TICK_MILLIS = 100;
    private static final int TICKS_PER_EXCHANGE = 5;
    private static final long PEER_TIMEOUT_MILLIS = 2_000;
    private static final int MAX_PEER_DELAY_MILLIS = 400;
    private static final double DUTY_SHARE = 0.3;
    private static final int FAST_DUTY_MILLIS = 50;
    private static final int SLOW_DUTY_MILLIS = 900;
    private static final EventLog LOG = new EventLog("model", OutputStream.nullOutputStream());

    private final LeaseModel model;
    private final LeaseNode node;
    private final String name;
    private final long startedMillis;
    private final VirtualTime time;
    private final SplittableRandom random;
    private final EraStore store;
    private final DutyLease lease;
    private final Map<LeaseNode, PeerState> peers = new HashMap<>();
    private final List<Runnable> undelivered = new ArrayList<>();
    private boolean isAlive = true;
    private boolean isStopping;
    private boolean isStoreReachable;
    private long frozenUntilMillis;
    private long releasedMillis = -1;
    private long ticks;

    /** What a process tells its peers. */
    private record PeerState(LeaseProcess sender, boolean isLeader, boolean isEligible, long receivedMillis) {}

    LeaseProcess(LeaseModel model, LeaseNode node, String name) {
        this.model = model;
        this.node = node;
        this.name = name;
        this.time = model.time();
        this.random = model.random();
        this.startedMillis = time.nowMillis();
        this.store = new EraStore(node.link().client(this), LOG);
        this.lease = new DutyLease(store, store::era, name, node, processed -> isStoreReachable = processed);
        time.after(random.nextLong(TICK_MILLIS), this::tick);
    }

    /** Returns the instance. */
    LeaseNode node() {
        return node;
    }

    /** Returns the lease. */
    DutyLease lease() {
        return lease;
    }

    /** Returns whether the process exists. */
    boolean isAlive() {
        return isAlive;
    }

    /** Returns the time at which the lease was released; negative if it was not. */
    long releasedMillis() {
        return releasedMillis;
    }

    /** Returns whether the process or its links were stopped so recently that calls may arrive late. */
    boolean isExcused() {
        return node.isExcused();
    }

    /** Ends the process. */
    void kill() {
        isAlive = false;
    }

    /** Releases the lease, as a process does that is going to stop. */
    void release() {
        deliver(() -> {
            isStopping = true;
            releasedMillis = time.nowMillis();
            lease.release();
        });
    }

    /** Stops the process until a time. */
    void freeze(long untilMillis) {
        frozenUntilMillis = Math.max(frozenUntilMillis, untilMillis);
        time.after(untilMillis - time.nowMillis(), this::thaw);
    }

    private void thaw() {
        if (isAlive && !isFrozen()) {
            node.excuse();
            List<Runnable> actions = List.copyOf(undelivered);
            undelivered.clear();
            actions.forEach(action -> time.after(random.nextInt(10), () -> deliver(action)));
        }
    }

    private boolean isFrozen() {
        return time.nowMillis() < frozenUntilMillis;
    }

    /** Runs an action on the event loop of this process, after its thaw if it is frozen. */
    void deliver(Runnable action) {
        if (isAlive && isFrozen()) {
            undelivered.add(action);
        } else if (isAlive) {
            action.run();
        }
    }

    private void tick() {
        if (!isAlive) {
            return;
        }
        time.after(TICK_MILLIS, this::tick);
        if (isFrozen()) {
            return;
        }
        ticks++;
        if (random.nextBoolean()) {
            performDuty();
        }
        lease.tick(!isStopping && isCandidate());
        performDuty();
        if (ticks % TICKS_PER_EXCHANGE == 0) {
            exchange();
        }
    }

    private void performDuty() {
        OptionalLong token = lease.fencingToken();
        if (token.isPresent() && random.nextDouble() < DUTY_SHARE) {
            checkEraStart(StoreVersion.era(token.getAsLong()));
            boolean isSlow = random.nextDouble() < model.slowDutyShare();
            long delayMillis = isSlow ? random.nextInt(FAST_DUTY_MILLIS, SLOW_DUTY_MILLIS) : duration(FAST_DUTY_MILLIS);
            DutyPlatform.Call call = new DutyPlatform.Call(token.getAsLong(), this, time.nowMillis());
            time.after(delayMillis, () -> node.pass(call));
        }
    }

    private void checkEraStart(long era) {
        long startMillis = model.store().eraStartMillis(era);
        if (lease.eraSinceMillis() < startMillis) {
            model.platform()
                    .report(
                            DutyPlatform.Violation.ERA_START_TOO_EARLY,
                            name + " takes era " + era + " to have begun by " + lease.eraSinceMillis()
                                    + " ms, but it began at " + startMillis + " ms");
        }
    }

    private boolean isCandidate() {
        return switch (model.candidacy()) {
            case ALL -> true;
            case PREFERRED -> isPreferred();
            case CHANGING -> model.isCandidateByChance(node);
        };
    }

    private boolean isPreferred() {
        return peers.values().stream()
                .filter(peer -> time.nowMillis() - peer.receivedMillis() < PEER_TIMEOUT_MILLIS)
                .filter(PeerState::isEligible)
                .noneMatch(peer -> peer.isLeader() || peer.sender().isOlderThan(this));
    }

    private boolean isOlderThan(LeaseProcess other) {
        return startedMillis == other.startedMillis
                ? name.compareTo(other.name) < 0
                : startedMillis < other.startedMillis;
    }

    /** Tells the peers the state of this process, and reads an object of another kind, as gateways do. */
    private void exchange() {
        boolean isLeader = lease.isHeld();
        boolean isEligible = !isStopping && isStoreReachable;
        String resignedTerm = lease.resignedTerm().orElse("");
        for (LeaseNode peer : model.nodes()) {
            if (peer != node) {
                time.after(duration(MAX_PEER_DELAY_MILLIS), () -> peer.process()
                        .ifPresent(receiver ->
                                receiver.deliver(() -> receiver.hear(this, isLeader, isEligible, resignedTerm))));
            }
        }
        if (model.readsOtherObjects()) {
            store.read(ObjectKind.GATEWAYS, name, reply -> isStoreReachable = reply.isProcessed());
        }
    }

    private void hear(LeaseProcess sender, boolean isLeader, boolean isEligible, String resignedTerm) {
        peers.put(sender.node, new PeerState(sender, isLeader, isEligible, time.nowMillis()));
        lease.recordPeerResignation(resignedTerm);
    }

    private long duration(int maxMillis) {
        return random.nextInt(1, maxMillis);
    }

    @Override
    public String toString() {
        return name;
    }
}
