package org.lovagethread.gateway.duty;

import java.util.Optional;
import java.util.SplittableRandom;

/** Instance of a gateway with its clocks and links. Its processes come and go. */
final class LeaseNode implements DutyLease.Clocks {
    /** Time after a thaw or the end of a cut in which calls with lower tokens are allowed, in milliseconds. */
    private static final long THAW_MILLIS = 300;

    /** Time after which a duty call is given up, in milliseconds. */
    private static final long DUTY_TIMEOUT_MILLIS = 900;

    private static final int HELD_DUTY_MILLIS = 50;

    private final LeaseModel model;
    private final VirtualTime time;
    private final StoreLink link;
    private final String name;
    private final long monotonicOffsetMillis;
    private long wallOffsetMillis;
    private long stoodStillMillis;
    private long suspendedSinceMillis;
    private long suspendedUntilMillis = -1;
    private long dutiesCutUntilMillis = -1;
    private long excusedUntilMillis = -1;
    private int processCount;
    private Optional<LeaseProcess> process = Optional.empty();

    LeaseNode(LeaseModel model, int index, SplittableRandom random) {
        this.model = model;
        this.time = model.time();
        this.link = model.createLink();
        this.name = "node-" + index;
        this.monotonicOffsetMillis = random.nextLong(100_000);
        this.wallOffsetMillis = random.nextLong(1_000_000_000);
    }

    /** Starts a process unless one exists. */
    void start() {
        if (process.isEmpty()) {
            processCount++;
            LeaseProcess started = new LeaseProcess(model, this, name + '#' + processCount);
            process = Optional.of(started);
            if (isSuspended()) {
                started.freeze(suspendedUntilMillis);
            }
        }
    }

    /** Ends the process and starts another one later. */
    void kill(long restartDelayMillis) {
        process.ifPresent(LeaseProcess::kill);
        process = Optional.empty();
        time.after(restartDelayMillis, this::start);
    }

    /** Returns the process. */
    Optional<LeaseProcess> process() {
        return process;
    }

    /** Returns whether the process holds the lease. */
    boolean isHolder() {
        return process.filter(found -> found.lease().isHeld()).isPresent();
    }

    /** Returns the link to the store. */
    StoreLink link() {
        return link;
    }

    /** Suspends the instance, and with it the monotonic clock. */
    void suspend(long durationMillis) {
        if (!isSuspended()) {
            suspendedSinceMillis = time.nowMillis();
        }
        suspendedUntilMillis = Math.max(suspendedUntilMillis, time.nowMillis() + durationMillis);
        process.ifPresent(found -> found.freeze(suspendedUntilMillis));
        time.after(suspendedUntilMillis - time.nowMillis(), this::resume);
    }

    private void resume() {
        if (suspendedUntilMillis == time.nowMillis()) {
            stoodStillMillis += time.nowMillis() - suspendedSinceMillis;
            suspendedUntilMillis = -1;
        }
    }

    private boolean isSuspended() {
        return suspendedUntilMillis >= 0;
    }

    /** Lets the wall clock jump. */
    void stepWallClock(long stepMillis) {
        wallOffsetMillis += stepMillis;
    }

    /** Cuts the links to the store and perhaps to the receiver of duty calls. */
    void cut(StoreLink.Cut kind, boolean includesDuties, long durationMillis) {
        link.cut(kind, durationMillis);
        if (includesDuties) {
            dutiesCutUntilMillis = Math.max(dutiesCutUntilMillis, time.nowMillis() + durationMillis);
            time.after(durationMillis, this::excuse);
        }
    }

    /** Passes a duty call on, after the end of a cut unless the call is given up before. */
    void pass(DutyPlatform.Call call) {
        if (time.nowMillis() >= dutiesCutUntilMillis) {
            model.platform().receive(call);
        } else if (dutiesCutUntilMillis - call.sentMillis() < DUTY_TIMEOUT_MILLIS) {
            long delayMillis = model.random().nextInt(HELD_DUTY_MILLIS);
            time.after(dutiesCutUntilMillis - time.nowMillis() + delayMillis, () -> pass(call));
        }
    }

    /** Allows late calls for a time. */
    void excuse() {
        excusedUntilMillis = time.nowMillis() + THAW_MILLIS;
    }

    /** Returns whether late calls are allowed. */
    boolean isExcused() {
        return time.nowMillis() <= excusedUntilMillis;
    }

    @Override
    public long monotonicMillis() {
        long standingMillis = isSuspended() ? time.nowMillis() - suspendedSinceMillis : 0;
        return monotonicOffsetMillis + time.nowMillis() - stoodStillMillis - standingMillis;
    }

    @Override
    public long wallMillis() {
        return wallOffsetMillis + time.nowMillis();
    }

    @Override
    public long clusterMillis() {
        return time.nowMillis();
    }

    @Override
    public String toString() {
        return name;
    }
}
